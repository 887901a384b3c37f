package gateway

import (
	"net/netip"
	"time"

	"github.com/borageusher/borageusher/internal/upstream"
)

// connTracker tells for how long the connections to a target show that it is the same process.
type connTracker interface {
	Continuity(addr netip.AddrPort) upstream.Continuity
}

// trackConns has the fleet use the evidence of the connections to targets.
func (f *Fleet) trackConns(c connTracker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = c
}

// confirmsStart reports whether the entry of a target without a targetd is known to be that of the
// process that responds: it was read after there were connections to that process. The caller
// holds mu.
func (f *Fleet) confirmsStart(t *targetState) bool {
	if t.hasTargetd() || f.conns == nil || f.entriesAsOf.IsZero() {
		return true
	}
	c := f.conns.Continuity(t.replica.Addr)
	return c.Open && !f.entriesAsOf.Before(c.Since.Add(entryLatency))
}

// interrupted reports whether a target without a targetd has closed connections recently, so that
// it may have ended, and another start under its id is not ruled out. The caller holds mu.
func (f *Fleet) interrupted(now time.Time, t *targetState) bool {
	if f.conns == nil {
		return false
	}
	c := f.conns.Continuity(t.replica.Addr)
	if c.InterruptedAt.IsZero() || now.Sub(c.InterruptedAt) >= confirmTime {
		return false
	}
	return !c.Open || f.entriesAsOf.Before(c.Since.Add(entryLatency))
}

// confirmVersion records the version of a stream that began before the entry of its target was
// known to be that of the process that responds.
func (f *Fleet) confirmVersion(now time.Time, c *call, t *targetState) {
	if c.softwareVersion != "" || c.takesUp() {
		return
	}
	f.mu.Lock()
	if !t.hasTargetd() && f.confirmsStart(t) {
		c.softwareVersion = f.versionOf(now, t)
	}
	f.mu.Unlock()
	f.recordOrigin(now, c, t) // none without a version
}
