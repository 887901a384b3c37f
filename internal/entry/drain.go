package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// leavingPollInterval is the interval between two checks for leaving targets.
const leavingPollInterval = 500 * time.Millisecond

// DrainLeavingTargets asks the connected targetds of leaving targets to drain,
// periodically until ctx is done.
func (e *Entry) DrainLeavingTargets(ctx context.Context) {
	ticker := time.NewTicker(leavingPollInterval)
	defer ticker.Stop()
	loggedEpochs := map[string]uint64{} // epochs of leaving targets that were logged, by target name
	for {
		e.drainLeavingTargets(loggedEpochs)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainLeavingTargets logs each target that began to leave and sends a drain
// request to those with a link. loggedEpochs holds the epochs logged so far, by
// target name.
func (e *Entry) drainLeavingTargets(loggedEpochs map[string]uint64) {
	for _, t := range e.opts.Targets.Targets() {
		if t.State != target.Leaving {
			continue
		}
		if loggedEpochs[t.Name] != t.Epoch {
			loggedEpochs[t.Name] = t.Epoch
			e.opts.Log.Event(event.TargetLeaving).Str("target", t.Name).Uint64("epoch", t.Epoch).Send()
		}
		if l := e.links.lookup(t.Name); l != nil {
			l.requestDrain(t.Epoch)
		}
	}
}

// requestDrain asks the targetd to drain, unless there is no connection or its
// last heartbeat says that it is draining.
func (l *link) requestDrain(epoch uint64) {
	l.mu.Lock()
	conn, draining := l.conn, l.heartbeat.Draining
	l.mu.Unlock()
	if conn != nil && !draining {
		_, _ = conn.Send(peer.Drain{Epoch: epoch}) // readMessages handles a lost connection
	}
}
