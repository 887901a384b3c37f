package gateway

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
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
	// removedProbeTimeout limits the probe of a target whose entry was removed to some
	// round trips between regions.
	removedProbeTimeout = time.Second
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
		result, refusals, err := g.probe(ctx, sel.replica.Addr)
		g.Log.Event(event.CrashProbed).Str("target", t.incarnation).Str("result", result).Int("refusals", refusals).Err(err).Send()
		if result == probeRefused && !g.Fleet.isLeaving(t) {
			g.CrashTracker.recordUnreachable(time.Now(), now, t.incarnation)
		}
	}()
}

// Results of probing an address.
const (
	probeRefused   = "refused"   // no process listens there
	probeAccepted  = "accepted"  // some process does
	probeUndecided = "undecided" // neither was seen in time
)

// probe probes an address until successive probes were refused or one succeeds. Probes that
// end otherwise before ctx is done are repeated. It returns the number of the last refusals
// in a row and the last error.
func (g *Gateway) probe(ctx context.Context, addr netip.AddrPort) (result string, refusals int, err error) {
	for pause := probeDelay; refusals < minRefusals; pause = probePause {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return probeUndecided, refusals, err
		}
		switch err = g.Client.Probe(ctx, addr); {
		case err == nil:
			return probeAccepted, refusals, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			refusals++
		default:
			refusals = 0
		}
	}
	return probeRefused, refusals, err
}

// endedTarget is an incarnation that has ended, as far as source shows, without having
// announced it.
type endedTarget struct {
	incarnation string
	addr        netip.AddrPort
	source      string
	certain     bool // otherwise it may only have lost its connection to the store
}

// recordEnded records the crash of a target that has ended, if connections to it broke and
// it has not answered since.
func (g *Gateway) recordEnded(now time.Time, t endedTarget) {
	if !g.CrashTracker.hasBreaks(now, t.incarnation) {
		return
	}
	if !t.certain {
		ctx, cancel := context.WithTimeout(context.Background(), removedProbeTimeout)
		defer cancel()
		if g.Client.Probe(ctx, t.addr) == nil {
			return
		}
	}
	g.CrashTracker.recordEnded(now, t.incarnation, t.source)
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
