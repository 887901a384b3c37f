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

// Times of the calls.
const (
	callTimeout = time.Second // for one call of the object API
	firstPause  = 50 * time.Millisecond
	maxPause    = time.Second // between two failed calls of one operation
)

// purpose says in the metrics what a call is for.
type purpose string

const (
	taking    purpose = "take"
	voiding   purpose = "void"
	recording purpose = "outcome"
	releasing purpose = "release"
	expiring  purpose = "expire"
)

// Store is the part of the object API that claims need.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
	Delete(ctx context.Context, kind objects.ObjectKind, name string, expect objects.Version) error
}

// Options are what a Ledger needs.
type Options struct {
	Store     Store // for claims and voids, which callers wait for
	Later     Store // for outcomes and deletions, which can wait
	Self      claim.Writer
	Retention time.Duration // how long records are kept after the run
	Log       event.Log
	Scope     tally.Scope
}

// Ledger keeps the claims of one process. Its methods are safe for concurrent
// use.
type Ledger struct {
	opts    Options
	backlog *backlog
	kept    *kept
}

// New returns a ledger; Run must run for its background writes.
func New(opts Options) *Ledger {
	return &Ledger{opts: opts, backlog: newBacklog(), kept: newKept(opts.Retention)}
}

// Take claims an attempt before it runs, trying until ctx is done. The error
// is of kind Unavailable or Unsettled: the request must not run. After
// Unsettled, either Take is tried again or Release called.
func (l *Ledger) Take(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error) {
	op := claim.NewTake(claim.Claim{Attempt: a, Writer: l.opts.Self, Digest: digest})
	return l.perform(ctx, name, taking, op)
}

// Void finds out whether a lost attempt has run and, if not, keeps it from
// ever running. It tries until ctx is done.
func (l *Ledger) Void(ctx context.Context, name string, a claim.Attempt, digest []byte) (claim.Verdict, error) {
	v, err := l.perform(ctx, name, voiding, claim.NewVoid(a, digest))
	if err == nil && v.Record.State == claim.Void {
		l.kept.add(time.Now(), name, v.Version)
	}
	return v, err
}

// Read returns the record of a key.
func (l *Ledger) Read(ctx context.Context, name string) (claim.Record, error) {
	r, err := l.read(ctx, name, voiding)
	if err == nil && r.Kind != claim.Done {
		err = &Error{Op: "read", Kind: Unavailable}
	}
	return r.Record, err
}

// perform makes the calls of op until it ends or ctx is done.
func (l *Ledger) perform(ctx context.Context, name string, p purpose, op *claim.Operation) (claim.Verdict, error) {
	var last error
	for failures := 0; ; {
		call, ok := op.Next()
		if !ok {
			return op.Verdict(), nil
		}
		if ctx.Err() != nil {
			return claim.Verdict{}, &Error{Op: string(p), Kind: unsettledKind(op), Err: last}
		}
		reply, err := l.call(ctx, name, p, call)
		op.Tell(reply)
		if err != nil {
			last = err
			rest(ctx, failures)
			failures++
		}
	}
}

func unsettledKind(op *claim.Operation) Kind {
	if op.MayHaveWritten() {
		return Unsettled
	}
	return Unavailable
}

// rest waits after a failed call, longer after each one.
func rest(ctx context.Context, failures int) {
	pause := min(firstPause<<min(failures, 10), maxPause)
	timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (l *Ledger) call(ctx context.Context, name string, p purpose, c claim.Call) (claim.Reply, error) {
	if c.Kind == claim.Read {
		return l.read(ctx, name, p)
	}
	return l.write(ctx, name, p, c)
}

func (l *Ledger) read(ctx context.Context, name string, p purpose) (claim.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.count(p, "get")
	o, err := l.store(p).Get(ctx, objects.Claims, name)
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

func (l *Ledger) write(ctx context.Context, name string, p purpose, c claim.Call) (claim.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.count(p, "put")
	version, err := l.store(p).Put(ctx, objects.Claims, name, claim.Encode(c.Record), objects.Version(c.Expect))
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

// store returns the client for calls of a purpose.
func (l *Ledger) store(p purpose) Store {
	if p == taking || p == voiding {
		return l.opts.Store
	}
	return l.opts.Later
}

func (l *Ledger) count(p purpose, method string) {
	l.opts.Scope.Tagged(map[string]string{"purpose": string(p), "method": method}).Counter("claim_calls").Inc(1)
}
