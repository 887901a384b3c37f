package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/claim"
)

// Timeouts and backoffs of the calls to the object API.
const (
	callTimeout    = time.Second // for one call
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second // between failed calls of one operation
)

// purpose is the label of a call's purpose in metrics, logs and errors.
type purpose string

const (
	purposeAcquire purpose = "take"
	purposeVoid    purpose = "void"
	purposeOutcome purpose = "outcome"
	purposeRelease purpose = "release"
	purposeExpire  purpose = "expire"
)

// Store is the part of the object API that claims need.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
	Delete(ctx context.Context, kind objects.ObjectKind, name string, expect objects.Version) error
}

// Options configure a Client.
type Options struct {
	Store           Store // for claims, voids and reads, which callers wait for
	BackgroundStore Store // for outcomes, releases and deletions, which run in the background
	Self            claim.Writer
	Retention       time.Duration // how long records are kept after their last write by this process
	Log             event.Log
	Scope           tally.Scope
}

// Client performs the claim operations of one process. Its methods are safe for
// concurrent use.
type Client struct {
	opts        Options
	writeQueue  *writeQueue
	expiryQueue *expiryQueue
}

// New returns a client. Its background writes are made while Run runs.
func New(opts Options) *Client {
	return &Client{opts: opts, writeQueue: newWriteQueue(), expiryQueue: newExpiryQueue(opts.Retention)}
}

// Acquire claims the key of an attempt before it runs. It retries until ctx is
// done. The error is of kind Unavailable or Uncertain; the request must then
// not run. After Uncertain, the caller must call Acquire again or Release.
func (cl *Client) Acquire(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error) {
	op := claim.NewAcquire(claim.Claim{Attempt: a, Writer: cl.opts.Self, Digest: digest})
	return cl.perform(ctx, name, purposeAcquire, op)
}

// Void determines whether a lost attempt has run and, if not, prevents it from
// ever running. It retries until ctx is done. The error is of kind Unavailable
// or Uncertain.
func (cl *Client) Void(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error) {
	v, err := cl.perform(ctx, name, purposeVoid, claim.NewVoid(a, digest))
	if err == nil && v.Record.State == claim.Void {
		cl.expiryQueue.add(time.Now(), name, v.Version)
	}
	return v, err
}

// Read returns the record of a key, with a single call, which is counted under the
// purpose of Void. If there is no record, the error is of kind Unavailable. Errors
// of the store and of claim.Decode are returned unchanged.
func (cl *Client) Read(ctx context.Context, name string) (claim.Record, error) {
	r, err := cl.read(ctx, name, purposeVoid)
	if err == nil && r.Kind != claim.Done {
		err = &Error{Op: "read", Kind: Unavailable}
	}
	return r.Record, err
}

// perform makes the calls of op until op has ended or ctx is done.
func (cl *Client) perform(ctx context.Context, name string, p purpose, op *claim.Operation) (claim.Verdict, error) {
	var lastErr error
	for failures := 0; ; {
		call, ok := op.Next()
		if !ok {
			return op.Verdict(), nil
		}
		if ctx.Err() != nil {
			return claim.Verdict{}, &Error{Op: string(p), Kind: errorKind(op), Err: lastErr}
		}
		reply, err := cl.call(ctx, name, p, call)
		op.ApplyReply(reply)
		if err != nil {
			lastErr = err
			backOff(ctx, failures)
			failures++
		}
	}
}

// errorKind returns the kind of error for an operation that is given up.
func errorKind(op *claim.Operation) Kind {
	if op.MayHaveWritten() {
		return Uncertain
	}
	return Unavailable
}

// backOff waits after a failed call, with exponential backoff and jitter.
func backOff(ctx context.Context, failures int) {
	pause := min(initialBackoff<<min(failures, 10), maxBackoff)
	timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (cl *Client) call(ctx context.Context, name string, p purpose, c claim.Call) (claim.Reply, error) {
	if c.Kind == claim.Read {
		return cl.read(ctx, name, p)
	}
	return cl.write(ctx, name, p, c)
}

func (cl *Client) read(ctx context.Context, name string, p purpose) (claim.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl.count(p, "get")
	o, err := cl.store(p).Get(ctx, objects.Claims, name)
	if objects.IsKind(err, objects.NotFound) {
		return claim.Reply{Kind: claim.Missing}, nil
	}
	if err != nil {
		return claim.Reply{Kind: claim.Failed}, err
	}
	r, err := claim.Decode(o.Value)
	if err != nil {
		return claim.Reply{Kind: claim.Failed}, err
	}
	return claim.Reply{Kind: claim.Done, Version: uint64(o.Version), Record: r}, nil
}

func (cl *Client) write(ctx context.Context, name string, p purpose, c claim.Call) (claim.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cl.count(p, "put")
	version, err := cl.store(p).Put(ctx, objects.Claims, name, claim.Encode(c.Record), objects.Version(c.Expect))
	switch {
	case err == nil:
		return claim.Reply{Kind: claim.Done, Version: uint64(version)}, nil
	case objects.IsKind(err, objects.Conflict):
		return claim.Reply{Kind: claim.Conflict}, nil
	case objects.IsKind(err, objects.Unavailable):
		return claim.Reply{Kind: claim.Refused}, err
	}
	return claim.Reply{Kind: claim.Failed}, err
}

// store returns the object API client for calls of a purpose.
func (cl *Client) store(p purpose) Store {
	if p == purposeAcquire || p == purposeVoid {
		return cl.opts.Store
	}
	return cl.opts.BackgroundStore
}

func (cl *Client) count(p purpose, method string) {
	cl.opts.Scope.Tagged(map[string]string{"purpose": string(p), "method": method}).Counter("claim_calls").Inc(1)
}
