package gateway

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// want notes that a request waits for an adapter at a target, until done is
// called.
func (f *Fleet) want(now time.Time, n *node, a orders.Adapter) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.waiting[a]++
	n.waitingAll++
	f.ask(now, n, a, n.waiting[a])
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		n.waitingAll--
		if n.waiting[a]--; n.waiting[a] <= 0 {
			delete(n.waiting, a)
		}
	}
}

// ask tells a targetd that an adapter is wanted, unless it was told lately. The
// caller holds mu.
func (f *Fleet) ask(now time.Time, n *node, a orders.Adapter, waiting int) {
	if n.link == nil || now.Sub(n.asked[a]) < orders.WantInterval {
		return
	}
	n.asked[a] = now
	w := peer.AdapterWant{
		AdapterVersion: peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: f.version(a)},
		Waiting:        waiting,
	}
	_, _ = n.link.Send(peer.AdapterWants{Wants: []peer.AdapterWant{w}}) // asked again later
}

// remind repeats the want of a request that still waits.
func (f *Fleet) remind(now time.Time, n *node, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ask(now, n, a, max(1, n.waiting[a]))
}

// begin notes that an attempt is sent to a target. cancel ends it.
func (f *Fleet) begin(now time.Time, n *node, c *call, cancel context.CancelFunc) *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := c.adapter
	sent := &flight{begun: c.start, patience: callerPatience(c.route.Objective), cancel: cancel}
	f.heardFrom(now, sent)
	n.flights[sent] = struct{}{}
	n.inFlight++
	n.unanswered++
	if a.Name != "" {
		n.running[a]++
		n.used[a]++
	}
	return sent
}

// end notes that an attempt at a target is over.
func (f *Fleet) end(n *node, a orders.Adapter, sent *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(n.flights, sent)
	n.inFlight--
	if !sent.answered {
		n.unanswered--
	}
	if a.Name == "" {
		return
	}
	if n.running[a]--; n.running[a] <= 0 {
		delete(n.running, a)
	}
}

// reportUse tells the targetds which adapters were used since the last report.
func (f *Fleet) reportUse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.link == nil || (len(n.used) == 0 && len(n.running) == 0) {
			continue
		}
		var m peer.AdapterWants
		for a, count := range n.used {
			m.Wants = append(m.Wants, f.useOf(n, a, count))
		}
		for a := range n.running {
			if n.used[a] == 0 {
				m.Wants = append(m.Wants, f.useOf(n, a, 0))
			}
		}
		clear(n.used)
		_, _ = n.link.Send(m) // a lost report costs some accuracy
	}
}

func (f *Fleet) useOf(n *node, a orders.Adapter, count int) peer.AdapterWant {
	return peer.AdapterWant{
		AdapterVersion: peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: f.version(a)},
		Used:           count,
		Running:        n.running[a],
	}
}
