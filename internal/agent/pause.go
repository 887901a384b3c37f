package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// Times of pause detection. A peer that receives nothing for peer.SilenceTimeout
// drops its connection. It may have received the last heartbeat some time before
// the pause began, hence the shorter limit.
const (
	pauseTickInterval = 250 * time.Millisecond
	pauseLimit        = peer.SilenceTimeout / 2
)

// pauseDetector detects pauses of the process, such as a freeze. The event loop
// calls tick at least every pauseTickInterval; the monotonic clock continues
// while a process is frozen.
type pauseDetector struct {
	base     time.Time
	lastTick atomic.Int64 // time of the last tick, in nanoseconds after base
}

// newPauseDetector returns a detector whose first tick is at now.
func newPauseDetector(now time.Time) *pauseDetector { return &pauseDetector{base: now} }

// tick records that the event loop is running.
func (p *pauseDetector) tick(now time.Time) { p.lastTick.Store(int64(now.Sub(p.base))) }

// paused reports whether the last tick is so long ago that peers may have
// dropped their connections and given up on their attempts.
func (p *pauseDetector) paused(now time.Time) bool {
	return now.Sub(p.base)-time.Duration(p.lastTick.Load()) > pauseLimit
}

type closer interface {
	Close()
}

// connected is the event of a new peer session.
type connected struct {
	conn    sender
	session closer
}

func (e connected) apply(_ context.Context, a *Agent, _ time.Time) { a.sessions[e.conn] = e.session }

// checkPause closes all peer connections after a pause. Their attempts do not
// start unless their senders resume them over new connections. The tick comes
// last, so that no attempt can start between the pause and the closing.
func (a *Agent) checkPause(now time.Time) {
	if a.pauseDetector.paused(now) {
		a.opts.Log.Event(event.ProcessPaused).Int("connections", len(a.sessions)).Send()
		for conn, session := range a.sessions {
			session.Close()
			delete(a.sessions, conn)
		}
		for _, at := range a.attempts {
			at.answer.detachAny(now)
		}
	}
	a.pauseDetector.tick(now)
}

// replyConn returns the connection for the answer to an attempt. It returns nil
// if the connection was closed or the attempt was read before a pause.
func (a *Agent) replyConn(now time.Time, e submitted) sender {
	if a.sessions[e.conn] == nil || now.Sub(e.receivedAt) > pauseLimit {
		return nil
	}
	return e.conn
}

// detachAny detaches the answer from its current connection, if any.
func (a *answer) detachAny(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn = nil
		a.detachedAt = now
	}
}
