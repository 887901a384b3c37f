package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// Times of the pulse. A peer that hears nothing for peer.SilenceTimeout drops its
// connection; it may have heard the last heartbeat some time before the process
// stood still, hence the shorter limit.
const (
	beatInterval = 250 * time.Millisecond
	pauseLimit   = peer.SilenceTimeout / 2
)

// pulse tells whether the process stood still: the event loop beats it often,
// and the monotonic clock goes on while a process is frozen.
type pulse struct {
	base time.Time
	last atomic.Int64 // of the last beat, in nanoseconds after base
}

// newPulse returns a pulse whose first beat is at now.
func newPulse(now time.Time) *pulse { return &pulse{base: now} }

// beat records that the loop goes on.
func (p *pulse) beat(now time.Time) { p.last.Store(int64(now.Sub(p.base))) }

// paused reports whether the last beat is so long ago that peers may have
// dropped their connections and given up.
func (p *pulse) paused(now time.Time) bool {
	return now.Sub(p.base)-time.Duration(p.last.Load()) > pauseLimit
}

// closer is a connection that the loop can end.
type closer interface {
	Close()
}

// connected: a peer session began.
type connected struct {
	conn sender
	end  closer
}

func (e connected) apply(_ context.Context, a *Agent, _ time.Time) { a.sessions[e.conn] = e.end }

// noticePause drops all connections when the process stood still. Their
// attempts don't start unless their senders resume them over new ones. The beat
// comes last, so that no start passes between the pause and the drop.
func (a *Agent) noticePause(now time.Time) {
	if a.pulse.paused(now) {
		a.opts.Log.At(event.ProcessPaused).Int("connections", len(a.sessions)).Send()
		for conn, end := range a.sessions {
			end.Close()
			delete(a.sessions, conn)
		}
		for _, at := range a.attempts {
			at.answer.detachAll(now)
		}
	}
	a.pulse.beat(now)
}

// origin returns the connection that an attempt is answered over: none if the
// connection was dropped, or the attempt read before a pause.
func (a *Agent) origin(now time.Time, e submitted) sender {
	if a.sessions[e.conn] == nil || now.Sub(e.read) > pauseLimit {
		return nil
	}
	return e.conn
}

// detachAll forgets the answer's connection, whichever it is.
func (a *answer) detachAll(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn = nil
		a.detached = now
	}
}
