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
	maxQueuedWrites    = 512             // with claim.MaxReplayBytes it bounds the queue's memory
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
func (l *Client) RecordAnswer(name string, held claim.Verdict, a claim.Answer) {
	l.enqueue(name, purposeOutcome, claim.NewRecordAnswer(held, a))
}

// RecordInterruption queues the record that a run whose claim is held ended without a
// complete answer.
func (l *Client) RecordInterruption(name string, held claim.Verdict, reason outcome.Reason) {
	l.enqueue(name, purposeOutcome, claim.NewRecordInterruption(held, reason))
}

// Release queues the release of a claim that is held, or may be, by an attempt
// that has not started and never will.
func (l *Client) Release(name string, a claim.Attempt, digest []byte) {
	l.enqueue(name, purposeRelease, claim.NewRelease(claim.Claim{Attempt: a, Writer: l.opts.Self, Digest: digest}))
}

// Pending returns the number of background writes that are queued or in progress.
func (l *Client) Pending() int { return int(l.writeQueue.pending.Load()) }

// enqueue queues a write. If the queue is full, the write is dropped: the record
// stays claimed, and later requests with the same key get an unknown outcome.
func (l *Client) enqueue(name string, p purpose, op *claim.Operation) {
	l.writeQueue.pending.Add(1)
	select {
	case l.writeQueue.writes <- queuedWrite{name: name, purpose: p, op: op, deadline: time.Now().Add(queuedWriteTimeout)}:
	default:
		l.dropWrite(name, p, nil)
	}
}

// dropWrite logs and counts a write that was not made.
func (l *Client) dropWrite(name string, p purpose, err error) {
	l.writeQueue.pending.Add(-1)
	l.opts.Log.At(event.ClaimWriteDropped).Str("claim", name).Str("purpose", string(p)).Err(err).Send()
	l.opts.Scope.Counter("claim_writes_dropped").Inc(1)
}

// Run makes the background writes and deletions until ctx is done.
func (l *Client) Run(ctx context.Context) {
	for range writeWorkers {
		go l.writeLoop(ctx)
	}
	l.expireLoop(ctx)
}

func (l *Client) writeLoop(ctx context.Context) {
	for {
		select {
		case w := <-l.writeQueue.writes:
			l.performQueued(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

// performQueued performs a queued write. A write that fails is dropped.
func (l *Client) performQueued(ctx context.Context, w queuedWrite) {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	v, err := l.perform(ctx, w.name, w.purpose, w.op)
	if err != nil {
		l.dropWrite(w.name, w.purpose, err)
		return
	}
	l.expiryQueue.add(time.Now(), w.name, v.Version)
	l.writeQueue.pending.Add(-1)
}
