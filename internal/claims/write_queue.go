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
	maxQueuedWrites    = 512             // with claim.MaxReplayBytes it bounds the queue's bodies to 4 MiB
	writeWorkers       = 4               // concurrent writes
	queuedWriteTimeout = 5 * time.Minute // from queueing to giving a write up
)

// queuedWrite is an operation that is performed in the background.
type queuedWrite struct {
	name     string
	purpose  purpose
	op       *claim.Operation
	deadline time.Time
}

// writeQueue is a bounded queue of background writes.
type writeQueue struct {
	writes  chan queuedWrite
	pending atomic.Int64 // writes that are queued or in progress
}

func newWriteQueue() *writeQueue { return &writeQueue{writes: make(chan queuedWrite, maxQueuedWrites)} }

// RecordAnswer queues the record of the answer of a run whose claim is held.
func (cl *Client) RecordAnswer(name string, held claim.Verdict, a claim.Answer) {
	cl.enqueue(name, purposeOutcome, claim.NewRecordAnswer(held, a))
}

// RecordInterruption queues the record that a run whose claim is held ended
// without a complete answer.
func (cl *Client) RecordInterruption(name string, held claim.Verdict, reason outcome.Reason) {
	cl.enqueue(name, purposeOutcome, claim.NewRecordInterruption(held, reason))
}

// Release queues the release of a claim that is held, or may be, by an attempt
// that has not started and never will.
func (cl *Client) Release(name string, a claim.Attempt, digest []byte) {
	cl.enqueue(name, purposeRelease, claim.NewRelease(claim.Claim{Attempt: a, Writer: cl.opts.Self, Digest: digest}))
}

// Pending returns the number of background writes that are queued or in progress.
func (cl *Client) Pending() int { return int(cl.writeQueue.pending.Load()) }

// enqueue queues a write. If the queue is full, the write is dropped: the record
// stays claimed, and later requests with the same key get an unknown outcome.
func (cl *Client) enqueue(name string, p purpose, op *claim.Operation) {
	cl.writeQueue.pending.Add(1)
	select {
	case cl.writeQueue.writes <- queuedWrite{name: name, purpose: p, op: op, deadline: time.Now().Add(queuedWriteTimeout)}:
	default:
		cl.dropWrite(name, p, nil)
	}
}

// dropWrite logs and counts a write that is given up, and removes it from the
// pending ones.
func (cl *Client) dropWrite(name string, p purpose, err error) {
	cl.writeQueue.pending.Add(-1)
	cl.opts.Log.Event(event.ClaimWriteDropped).Str("claim", name).Str("purpose", string(p)).Err(err).Send()
	cl.opts.Scope.Counter("claim_writes_dropped").Inc(1)
}

// Run makes the background writes and deletions until ctx is done.
func (cl *Client) Run(ctx context.Context) {
	for range writeWorkers {
		go cl.writeLoop(ctx)
	}
	cl.expireLoop(ctx)
}

func (cl *Client) writeLoop(ctx context.Context) {
	for {
		select {
		case w := <-cl.writeQueue.writes:
			cl.performQueued(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

// performQueued performs a queued write. A write that fails is dropped.
func (cl *Client) performQueued(ctx context.Context, w queuedWrite) {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	v, err := cl.perform(ctx, w.name, w.purpose, w.op)
	if err != nil {
		cl.dropWrite(w.name, w.purpose, err)
		return
	}
	cl.expiryQueue.add(time.Now(), w.name, v.Version)
	cl.writeQueue.pending.Add(-1)
}
