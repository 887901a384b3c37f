package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/target"
)

// failureCost is the part of the objective that one recent failure of a target
// adds to its cost.
const failureCost = 0.25

// pendingPart is the part of the objective within which the requests that wait
// for an adapter at one target are begun once it is there. It is the part beyond
// which a further copy of a resident adapter is loaded.
const pendingPart = 0.3

// proposal is the outcome of a choice.
type proposal struct {
	node    *node
	replica target.Replica
	holds   bool
	wait    time.Duration
	load    int
	ahead   int
	age     time.Duration   // of what is known of the engine
	news    <-chan struct{} // closed when a choice may differ, nil if the target holds the adapter
}

// choose returns the target for the next attempt of a call, and false when none
// can take it. A target that is avoided for now is taken only if no other can be.
func (f *Fleet) choose(now time.Time, c *call) (proposal, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooseAmong(now, c, false)
}

// chooseHolder returns the target for the next attempt of a call that waits no
// longer, and false when none holds the adapter.
func (f *Fleet) chooseHolder(now time.Time, c *call) (proposal, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chooseAmong(now, c, true)
}

// chooseAmong chooses among all targets, or among those that hold the adapter.
func (f *Fleet) chooseAmong(now time.Time, c *call, holders bool) (proposal, bool) {
	nodes, candidates := f.candidates(now, c, true, holders)
	req := assignment.Request{
		Key:       c.placement,
		Objective: c.route.Objective,
		Bytes:     len(c.body),
	}
	choice, ok := assignment.Choose(req, candidates)
	if !ok {
		nodes, candidates = f.candidates(now, c, false, holders)
		if choice, ok = assignment.Choose(req, candidates); !ok {
			return proposal{news: f.newsOf(c.adapter)}, false
		}
	}
	n := nodes[choice.Index]
	if choice.Copy >= 0 {
		f.ask(now, nodes[choice.Copy], c.adapter, 1)
	}
	p := proposal{node: n, replica: n.replica, holds: choice.Holds, wait: choice.Wait, load: n.estimate(now), ahead: n.ahead(now)}
	if !p.holds {
		p.news = f.newsOf(c.adapter)
	}
	if !n.stateAt.IsZero() {
		p.age = now.Sub(n.stateAt)
	}
	return p, true
}

// overloaded reports whether the caller of a stream would have left before its
// first event at the best target.
func (f *Fleet) overloaded(c *call, p proposal) bool {
	if c.model == "" || c.started {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.wait+f.paceOf(c.service).queue.Base() > callerPatience(c.route.Objective)
}

// expects reports whether targets of the call's service may become usable
// soon: they live, but their engines or targetds do not answer yet.
func (f *Fleet) expects(now time.Time, c *call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.replica.Service == c.service && n.replica.State == target.Live && !c.tried[n.replica.ID] && n.settling(now) {
			return true
		}
	}
	return false
}

// candidates returns the targets of the call's service, in random order so that
// equal ones share the load. If holders is set, none can load the adapter.
func (f *Fleet) candidates(now time.Time, c *call, cautious, holders bool) ([]*node, []assignment.Candidate) {
	var nodes []*node
	for _, n := range f.nodes {
		if n.replica.Service == c.service {
			nodes = append(nodes, n)
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	pace := f.paceOf(c.service)
	out := make([]assignment.Candidate, 0, len(nodes))
	for _, n := range nodes {
		a := assignment.Candidate{
			Hash:     n.hash,
			Distance: n.distance,
			Slots:    n.replica.Slots,
			Load:     n.estimate(now),
			First:    n.pace.firstOr(pace),
			Stay:     pace.stay.Value(),
			Holds:    true,
			Usable:   n.usable(now) && !c.tried[n.replica.ID],
			Extra:    time.Duration(n.unsoundness(now) * failureCost * float64(c.route.Objective)),
		}
		if cautious && (now.Before(n.avoidUntil) || n.silent(now) || c.refused[n.replica.ID]) {
			a.Usable = false
		}
		if c.model != "" {
			a.Ahead, a.Each = n.ahead(now)+n.waitingAll, pace.queue.Each()
			a.Holds = n.has(c.adapter, f.version(c.adapter))
			a.Warm = n.warm.has(c.adapter, f.version(c.adapter))
			a.Loading = n.arrival(c.adapter, a.Warm, a.Stay)
			a.CanLoad = !holders && c.adapter.Name != "" && n.canLoad(now, c.adapter)
		}
		out = append(out, a)
	}
	followPending(c, nodes, out)
	return nodes, out
}

// followPending leaves only the targets that already load an adapter, or are
// asked to, as those that can, so that requests for it wait together. When more
// wait than one target can begin within a part of the objective, others may load
// it as well. A request that waits already stays where it is, unless the adapter
// is not expected within the objective there.
func followPending(c *call, nodes []*node, candidates []assignment.Candidate) {
	bound := time.Duration(pendingPart * float64(c.route.Objective))
	pending := map[int]bool{}
	for i, n := range nodes {
		a := &candidates[i]
		if !a.Usable || !a.CanLoad || (!n.coming[c.adapter] && n.waiting[c.adapter] == 0) {
			continue
		}
		if n == c.waitsAt && a.Loading <= c.route.Objective {
			pending = map[int]bool{i: true}
			break
		}
		if time.Duration(n.waiting[c.adapter])*a.Each < bound {
			pending[i] = true
		}
	}
	if len(pending) == 0 {
		return
	}
	for i := range candidates {
		candidates[i].CanLoad = candidates[i].CanLoad && pending[i]
	}
}

// paceOf returns how fast the targets of a service are, on average. The caller
// holds mu.
func (f *Fleet) paceOf(service string) *pace {
	p := f.paces[service]
	if p == nil {
		p = &pace{}
		f.paces[service] = p
	}
	return p
}

// usual returns how long an answer of the service usually takes, zero while
// none was seen.
func (f *Fleet) usual(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paceOf(service).stay.Value()
}
