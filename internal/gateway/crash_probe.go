package gateway

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/pkg/target"
)

// Timing of the probes of a target after a connection to it broke.
const (
	// probeDelay is the time until the first probe, in which a process that ends closes
	// its listener after its connections.
	probeDelay = 50 * time.Millisecond
	// probePause is the time between two probes.
	probePause = 100 * time.Millisecond
	// minRefusals is the number of successive probes without a listener that show a
	// crash: some may be refused by a network element that resets connections. Targets
	// that crashed are down for seconds.
	minRefusals = 5
)

// probeAfterBreak probes a target in the background after a connection to it broke or
// was refused, and records a crash if no process listens at its address any more. A
// reset by the network or by a target with too many connections leaves the listener. A
// target that leaves does not crash.
func (g *Gateway) probeAfterBreak(now time.Time, sel selection) {
	t := sel.target
	if !g.Fleet.isServing(t) || !g.CrashTracker.beginProbe(now, t.incarnation) {
		return
	}
	go func() {
		defer g.CrashTracker.endProbe(t.incarnation)
		ctx, cancel := context.WithTimeout(context.Background(), crashWindow)
		defer cancel()
		if g.refusesConnections(ctx, sel.replica.Addr) && !g.Fleet.isLeaving(t) {
			g.CrashTracker.recordUnreachable(time.Now(), now, t.incarnation)
		}
	}()
}

// refusesConnections reports whether successive probes find no listener at an address.
// Probes that end otherwise before ctx is done are repeated.
func (g *Gateway) refusesConnections(ctx context.Context, addr netip.AddrPort) bool {
	refusals := 0
	for pause := probeDelay; refusals < minRefusals; pause = probePause {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		switch err := g.Client.Probe(ctx, addr); {
		case err == nil:
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			refusals++
		default:
			refusals = 0
		}
	}
	return true
}

// isServing reports whether a target is listed as live and does not leave, so that a
// crash would be the reason why it ends.
func (f *Fleet) isServing(t *targetState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.replica.State == target.Live && !t.notice.leaving
}

// isLeaving reports whether a target is known to leave.
func (f *Fleet) isLeaving(t *targetState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.notice.leaving
}
