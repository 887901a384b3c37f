package enginecontroller

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// ServeHTTP accepts the peer connection of an entryd and serves it until
// it ends.
func (ec *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer.AnnounceOrigins(w.Header())
	peer.AnnounceCredit(w.Header())
	peer.AnnounceOrders(w.Header())
	peer.AnnounceModels(w.Header())
	if ec.Configuration.Period > 0 {
		peer.AnnounceConfirmations(w.Header())
	}
	c, err := peer.Accept(w, r, ec.Self, ec.Key)
	if err != nil {
		ec.Log.Event(event.PeerRefused).Err(err).Send()
		return
	}
	ec.Log.Event(event.PeerConnected).Str("peer", c.Remote().Name).Send()
	ec.addConn(c)
	err = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		ec.receive(r.Context(), c, m)
	})
	ec.removeConn(c)
	ec.pacer.disconnect(time.Now(), c)
	ec.permits.RemoveSender(time.Now(), c)
	ec.Log.Event(event.PeerLost).Str("peer", c.Remote().Name).Err(err).Send()
}

// addConn registers c and sends it the known crashes and limits, and the engine's
// current state and load.
func (ec *Controller) addConn(c *peer.Conn) {
	ec.mu.Lock()
	ec.conns[c] = struct{}{}
	ec.entryds[c.Remote().Name]++
	for engine, fingerprints := range ec.crashes {
		_, _ = c.Send(peer.CrashReport{Engine: engine, Fingerprints: fingerprints}) // after an error the entryd reconnects
	}
	for _, m := range ec.segments.messages(time.Now()) {
		_, _ = c.Send(m)
	}
	for _, m := range ec.permits.Limits(time.Now()) {
		_, _ = c.Send(m)
	}
	ec.mu.Unlock()
	ec.inbox <- func(time.Time) {
		state := ec.state // the others learn of the new number with the next change
		state.ConnectedEntries = ec.entrydCount()
		_, _ = c.Send(state) // after an error the entryd reconnects
		_, _ = c.Send(ec.load)
	}
}

func (ec *Controller) removeConn(c *peer.Conn) {
	ec.mu.Lock()
	delete(ec.conns, c)
	delete(ec.orderConns, c)
	name := c.Remote().Name
	if ec.entryds[name]--; ec.entryds[name] == 0 {
		delete(ec.entryds, name)
	}
	ec.mu.Unlock()
}

// entrydCount returns the number of connected entryds. One has several connections if
// several entries name the address of the engine.
func (ec *Controller) entrydCount() int {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	return len(ec.entryds)
}

// receive posts a message of an entryd to the loop. Messages that do not concern the
// engine's orders are handled without the loop.
func (ec *Controller) receive(ctx context.Context, c *peer.Conn, m peer.Message) {
	var handle func(now time.Time)
	switch m := m.(type) {
	case peer.EngineSpec:
		if m.Paces {
			ec.pacer.connect(time.Now(), c)
		}
		handle = func(now time.Time) {
			ec.applySpec(now, m)
			ec.stepRequested = true
		}
	case peer.EngineModels:
		handle = func(time.Time) { ec.models[m.Started] = m.Models }
	case peer.AdapterDemands:
		handle = func(now time.Time) { ec.recordDemands(now, m) }
	case peer.OutstandingOrders:
		ec.receiveOutstanding(ctx, c, m)
		return
	case peer.CrashReport:
		ec.relayCrash(c, m)
		return
	case peer.SegmentCrash, peer.SegmentAnswers:
		ec.relaySegments(time.Now(), c, m)
		return
	case peer.RateLimit:
		if ec.permits.Observe(time.Now(), m) {
			ec.relayLimit(c, m)
		}
		return
	case peer.PermitRequest:
		answer := func(a peer.PermitAnswer) { _, _ = c.Send(a) } // after an error the entryd reconnects
		if ec.permits.Request(time.Now(), c, m, answer) {
			ec.relayLimit(c, m.Limit)
		}
		return
	case peer.PermitCancel:
		ec.permits.Cancel(time.Now(), c, m.ID)
		return
	case peer.StreamOrigin:
		ec.origins.record(time.Now(), m)
		return
	case peer.OriginRequest:
		_, _ = c.Send(ec.origins.answer(time.Now(), m)) // after an error the entryd reconnects
		return
	case peer.CreditRequest:
		answer := ec.credit.Request(credit.Now(), c.Remote().Name, ec.entrydCount(), m)
		_, _ = c.Send(answer) // after an error the entryd reconnects
		return
	case peer.ConfirmationRequest:
		if ec.Configuration.Period > 0 {
			_, _ = c.Send(ec.configuration.answer(context.WithoutCancel(ctx), m)) // after an error the entryd reconnects
		}
		return
	case peer.PromptOffer:
		ec.pacer.offer(time.Now(), c, m)
		return
	case peer.PromptDone:
		ec.pacer.done(time.Now(), c, m.ID)
		return
	case peer.LateStream:
		ec.pacer.recordLate(time.Now(), m.Allowed)
		return
	default:
		return // other messages, such as heartbeats, need no action
	}
	select {
	case ec.inbox <- handle:
	case <-ctx.Done():
	}
}

// relayLimit forwards a changed limit of a target to the other entryds.
func (ec *Controller) relayLimit(from *peer.Conn, m peer.RateLimit) {
	ec.Log.Event(event.LimitRelayed).Str("target", m.Target).Bool("limited", m.Limited).Float64("rate", m.PerSecond).Str("from", from.Remote().Name).Send()
	ec.mu.Lock()
	defer ec.mu.Unlock()
	for c := range ec.conns {
		if c != from {
			_, _ = c.Send(m) // after an error the entryd reconnects and gets all limits in force
		}
	}
}

// maxCrashes bounds the number of crashed engine instances that are kept for
// entryds that connect later.
const maxCrashes = 200

// relayCrash forwards a crash report to the other entryds, unless it
// contains nothing new.
func (ec *Controller) relayCrash(from *peer.Conn, m peer.CrashReport) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	if !ec.recordCrash(m) {
		return
	}
	for c := range ec.conns {
		if c != from {
			_, _ = c.Send(m) // after an error the entryd reconnects and gets all crashes
		}
	}
}

// recordCrash adds m to the known crashes and reports whether it contained a new
// fingerprint. Beyond maxCrashes it drops those of arbitrary other instances.
func (ec *Controller) recordCrash(m peer.CrashReport) bool {
	known := map[string]bool{}
	for _, f := range ec.crashes[m.Engine] {
		known[string(f)] = true
	}
	added := false
	for _, f := range m.Fingerprints {
		if !known[string(f)] {
			ec.crashes[m.Engine] = append(ec.crashes[m.Engine], f)
			added = true
		}
	}
	for engine := range ec.crashes {
		if len(ec.crashes) <= maxCrashes {
			break
		}
		if engine != m.Engine {
			delete(ec.crashes, engine)
		}
	}
	return added
}
