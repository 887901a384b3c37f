package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// drain begins to drain when a peer says that the target leaves. An order for
// an earlier process at this address is ignored.
func (s *Sessions) drain(conn *peer.Conn, m peer.Drain) {
	if m.Epoch != s.Self.Epoch {
		return
	}
	s.Agent.post(drained{from: conn.Remote().Name})
}

// Draining returns a channel that is closed when the agent takes no more work.
func (a *Agent) Draining() <-chan struct{} { return a.draining }

// drained: the target leaves, as from says.
type drained struct {
	from string // empty when the process itself was asked to stop
}

func (e drained) apply(ctx context.Context, a *Agent, _ time.Time) {
	if a.dispatcher.Report().Draining {
		return
	}
	load := a.dispatcher.Report()
	a.opts.Log.At(event.DrainBegun).Str("from", e.from).Int("running", load.Running).Int("queued", load.Queued).Send()
	close(a.draining)
	a.perform(ctx, a.dispatcher.Drain())
}

// remainingAsked: someone asks how much is left to do.
type remainingAsked struct{ reply chan<- int }

func (e remainingAsked) apply(_ context.Context, a *Agent, now time.Time) {
	a.sweep(now)
	e.reply <- max(a.dispatcher.Report().Running, len(a.attempts)) + a.opts.Claims.Pending()
}

// Remaining returns the number of attempts that run or whose answers were not
// all delivered, and of outcomes that wait to be recorded.
func (a *Agent) Remaining() int {
	reply := make(chan int, 1)
	if !a.post(remainingAsked{reply: reply}) {
		return 0
	}
	select {
	case n := <-reply:
		return n
	case <-a.done:
		return 0
	}
}
