package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// drain starts a drain on a peer's order. An order for an earlier process at this
// address is ignored.
func (s *Sessions) drain(conn *peer.Conn, m peer.Drain) {
	if m.Epoch != s.Self.Epoch {
		return
	}
	s.Agent.post(drainRequested{from: conn.Remote().Name})
}

// Draining returns a channel that is closed when a drain begins.
func (a *Agent) Draining() <-chan struct{} { return a.draining }

// drainRequested is the event of an order to drain.
type drainRequested struct {
	from string // name of the ordering peer, empty for a stop of this process
}

func (e drainRequested) apply(ctx context.Context, a *Agent, _ time.Time) {
	if a.dispatcher.Report().Draining {
		return
	}
	load := a.dispatcher.Report()
	a.opts.Log.Event(event.DrainBegun).Str("from", e.from).Int("running", load.Running).Int("queued", load.Queued).Send()
	close(a.draining)
	a.perform(ctx, a.dispatcher.Drain())
}

// remainingRequested is the event of a call of Remaining.
type remainingRequested struct{ reply chan<- int }

func (e remainingRequested) apply(_ context.Context, a *Agent, now time.Time) {
	a.cleanup(now)
	e.reply <- max(a.dispatcher.Report().Running, len(a.attempts)) + a.opts.Claims.Pending()
}

// Remaining returns the number of attempts that run or whose answers are not yet
// delivered, plus the number of outcomes not yet recorded. It returns 0 when the
// event loop has ended.
func (a *Agent) Remaining() int {
	reply := make(chan int, 1)
	if !a.post(remainingRequested{reply: reply}) {
		return 0
	}
	select {
	case n := <-reply:
		return n
	case <-a.done:
		return 0
	}
}
