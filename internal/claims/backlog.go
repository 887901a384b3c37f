package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Bounds of the background writes.
const (
	maxBacklog   = 512             // writes that wait; with claim.MaxReplayBytes it bounds their memory
	writers      = 4               // writes made at once
	recordWithin = 5 * time.Minute // after which a write is given up
)

// job is one write that is made in the background.
type job struct {
	name    string
	purpose purpose
	op      *claim.Operation
	until   time.Time
}

// backlog holds the writes that wait.
type backlog struct {
	jobs    chan job
	pending atomic.Int64 // waiting or being made
}

func newBacklog() *backlog { return &backlog{jobs: make(chan job, maxBacklog)} }

// Finish records the answer of a run whose claim is held.
func (l *Ledger) Finish(name string, held claim.Verdict, a claim.Answer) {
	l.enqueue(name, recording, claim.NewFinish(held, a))
}

// Break records that a run whose claim is held ended without an answer.
func (l *Ledger) Break(name string, held claim.Verdict, reason outcome.Reason) {
	l.enqueue(name, recording, claim.NewBreak(held, reason))
}

// Release gives back a claim that is held, or may be, of an attempt that has
// not started and never will.
func (l *Ledger) Release(name string, a claim.Attempt, digest []byte) {
	l.enqueue(name, releasing, claim.NewRelease(claim.Claim{Attempt: a, Writer: l.opts.Self, Digest: digest}))
}

// Pending returns the number of writes that are not done.
func (l *Ledger) Pending() int { return int(l.backlog.pending.Load()) }

// enqueue puts a write into the backlog. When it is full the write is dropped:
// the record stays claimed, which later requests hear as an unknown outcome.
func (l *Ledger) enqueue(name string, p purpose, op *claim.Operation) {
	l.backlog.pending.Add(1)
	select {
	case l.backlog.jobs <- job{name: name, purpose: p, op: op, until: time.Now().Add(recordWithin)}:
	default:
		l.drop(name, p, nil)
	}
}

func (l *Ledger) drop(name string, p purpose, err error) {
	l.backlog.pending.Add(-1)
	l.opts.Log.At(event.ClaimWriteDropped).Str("claim", name).Str("purpose", string(p)).Err(err).Send()
	l.opts.Scope.Counter("claim_writes_dropped").Inc(1)
}

// Run makes the background writes until ctx is done.
func (l *Ledger) Run(ctx context.Context) {
	for range writers {
		go l.writeAll(ctx)
	}
	l.expireAll(ctx)
}

func (l *Ledger) writeAll(ctx context.Context) {
	for {
		select {
		case j := <-l.backlog.jobs:
			l.finish(ctx, j)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Ledger) finish(ctx context.Context, j job) {
	ctx, cancel := context.WithDeadline(ctx, j.until)
	defer cancel()
	v, err := l.perform(ctx, j.name, j.purpose, j.op)
	if err != nil {
		l.drop(j.name, j.purpose, err)
		return
	}
	l.kept.add(time.Now(), j.name, v.Version)
	l.backlog.pending.Add(-1)
}
