package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// leavingInterval is the time between two looks for leaving targets.
const leavingInterval = 500 * time.Millisecond

// Run does what an entry does by itself, until ctx is done: it tells connected
// targetds that their targets leave.
func (e *Entry) Run(ctx context.Context) {
	ticker := time.NewTicker(leavingInterval)
	defer ticker.Stop()
	seen := map[string]uint64{} // epochs of the leaving targets
	for {
		e.tellLeaving(seen)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tellLeaving logs the targets that began to leave and asks those with a
// connection to drain, until their heartbeats say that they do.
func (e *Entry) tellLeaving(seen map[string]uint64) {
	for _, t := range e.opts.Targets.Targets() {
		if t.State != target.Leaving {
			continue
		}
		if seen[t.Name] != t.Epoch {
			seen[t.Name] = t.Epoch
			e.opts.Log.At(event.TargetLeaving).Str("target", t.Name).Uint64("epoch", t.Epoch).Send()
		}
		if l := e.links.peek(t.Name); l != nil {
			l.drain(t.Epoch)
		}
	}
}

// drain asks the targetd to drain unless there is no connection or it does.
func (l *link) drain(epoch uint64) {
	l.mu.Lock()
	conn, draining := l.conn, l.heartbeat.Draining
	l.mu.Unlock()
	if conn != nil && !draining {
		_, _ = conn.Send(peer.Drain{Epoch: epoch}) // a lost connection is seen by its reader
	}
}
