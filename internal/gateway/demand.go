package gateway

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// addWaiter counts a call that waits for its adapter at a target and asks the
// targetd to load it. The returned function ends the wait.
func (f *Fleet) addWaiter(now time.Time, t *targetState, c *call) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := c.adapter
	t.waiting[a]++
	f.reindex(t, a)
	t.waitingTokens += c.promptTokens()
	f.requestLoad(now, t, a, t.waiting[a])
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.waitingTokens -= c.promptTokens()
		if t.waiting[a]--; t.waiting[a] <= 0 {
			delete(t.waiting, a)
			f.reindex(t, a)
		}
	}
}

// requestLoad asks a targetd to load an adapter, at most once per
// orders.DemandInterval. The caller holds mu.
func (f *Fleet) requestLoad(now time.Time, t *targetState, a orders.Adapter, waiting int) {
	if t.conn == nil || now.Sub(t.loadRequestedAt[a]) < orders.DemandInterval {
		return
	}
	t.loadRequestedAt[a] = now
	demand := peer.AdapterDemand{
		AdapterVersion: peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: f.version(a)},
		Waiting:        waiting,
	}
	_, _ = t.conn.Send(peer.AdapterDemands{Demands: []peer.AdapterDemand{demand}}) // a failed send is repeated by repeatLoadRequest
}

// repeatLoadRequest repeats the load request of a request that still waits.
func (f *Fleet) repeatLoadRequest(now time.Time, t *targetState, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestLoad(now, t, a, max(1, t.waiting[a]))
}

// beginAttempt registers an attempt at a target, whose prompt was offered with o.
// cancel aborts it.
func (f *Fleet) beginAttempt(now time.Time, t *targetState, c *call, o *offer, cancel context.CancelFunc) *activeAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := c.adapter
	active := &activeAttempt{callStart: c.start, callerTimeout: callerTimeout(c.route.Objective), cancel: cancel, offer: o, promptTokens: c.promptTokens(), sent: f.beginPrompt(now, t, c)}
	f.recordActivity(now, active)
	t.attempts[active] = struct{}{}
	t.inFlight++
	t.unreadTokens += active.promptTokens
	if a.Name != "" {
		t.running[a]++
		t.useCounts[a]++
	}
	return active
}

// endAttempt unregisters an attempt at a target.
func (f *Fleet) endAttempt(t *targetState, a orders.Adapter, active *activeAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(t.attempts, active)
	t.inFlight--
	if !active.hasEvent {
		t.unreadTokens -= active.promptTokens
	}
	f.endOfferLocked(active.offer)
	if a.Name == "" {
		return
	}
	if t.running[a]--; t.running[a] <= 0 {
		delete(t.running, a)
	}
}

// reportUsage reports to the targetds which adapters were used since the last
// report.
func (f *Fleet) reportUsage() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.conn == nil || (len(t.useCounts) == 0 && len(t.running) == 0) {
			continue
		}
		var m peer.AdapterDemands
		for a, count := range t.useCounts {
			m.Demands = append(m.Demands, f.usageOf(t, a, count))
		}
		for a := range t.running {
			if t.useCounts[a] == 0 {
				m.Demands = append(m.Demands, f.usageOf(t, a, 0))
			}
		}
		clear(t.useCounts)
		_, _ = t.conn.Send(m) // a lost report only makes the usage counts less accurate
	}
}

// usageOf returns the usage report on one adapter. The caller holds mu.
func (f *Fleet) usageOf(t *targetState, a orders.Adapter, count int) peer.AdapterDemand {
	return peer.AdapterDemand{
		AdapterVersion: peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: f.version(a)},
		Used:           count,
		Running:        t.running[a],
	}
}
