package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// loadsAtOnce is the number of adapters that an engine loads at the same time,
// which the platform's page gives.
const loadsAtOnce = 4

// failureCost is the part of the objective that one recent failure of a target
// adds to its cost.
const failureCost = 0.25

// Fleet is what a gateway knows of all targets. It is safe for concurrent use.
type Fleet struct {
	zone    string
	region  string
	regions map[string]string
	log     event.Log

	mu       sync.Mutex
	nodes    map[string]*node // by the target's id
	cfg      *routing.Configuration
	versions map[orders.Adapter]int64
	paces    map[string]*pace // by service
	news     chan struct{}    // closed at the next change of residency or state
	known    bool             // the targets were listed
	current  bool             // the announced versions were listed
	joined   func(*node)      // a target with an engine appeared
}

// NewFleet returns a fleet without targets, seen from an availability zone.
func NewFleet(zone, region string, regions map[string]string, log event.Log) *Fleet {
	return &Fleet{
		zone:     zone,
		region:   region,
		regions:  regions,
		log:      log,
		nodes:    map[string]*node{},
		versions: map[orders.Adapter]int64{},
		paces:    map[string]*pace{},
		news:     make(chan struct{}),
	}
}

// Known reports whether the targets and the versions of adapters were listed, so
// that requests can be sent.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && f.current
}

// News returns a channel that is closed at the next change that may let a
// waiting request go on.
func (f *Fleet) News() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news
}

// announce wakes the waiting requests. The caller holds mu.
func (f *Fleet) announce() {
	close(f.news)
	f.news = make(chan struct{})
}

// put takes a target's entry. The caller holds mu.
func (f *Fleet) put(now time.Time, r target.Replica) {
	if f.superseded(r) {
		return
	}
	n := f.nodes[r.ID]
	if n != nil && (n.replica.Addr != r.Addr || n.replica.Service != r.Service || n.replica.Incarnation() != r.Incarnation()) {
		f.drop(n) // another start: nothing of the old one holds
		n = nil
	}
	if n == nil {
		n = newNode(now, r)
		n.distance = f.distance(r.Zone)
		f.nodes[r.ID] = n
		f.note(r, "added")
		if f.joined != nil {
			f.joined(n)
		}
		f.announce()
		return
	}
	if n.replica.State != r.State {
		f.note(r, r.State.String())
	}
	n.replica = r
	n.goneAt = time.Time{}
}

// superseded reports whether a later start has the target's address, and drops
// the earlier starts that had it: an entry outlives its target for a while.
func (f *Fleet) superseded(r target.Replica) bool {
	for _, n := range f.nodes {
		if n.replica.Addr != r.Addr || n.replica.ID == r.ID {
			continue
		}
		if n.replica.Started.After(r.Started) {
			return true
		}
		f.note(n.replica, "superseded")
		f.drop(n)
	}
	return false
}

func (f *Fleet) note(r target.Replica, state string) {
	f.log.At(event.TargetChanged).
		Str("target", r.ID).
		Str("service", r.Service).
		Stringer("address", r.Addr).
		Str("state", state).
		Send()
}

// remove notes that a target's entry is missing. It counts as gone at once, or
// at the time settled if entries may still come back until then. The caller
// holds mu.
func (f *Fleet) remove(now time.Time, n *node, settled time.Time) {
	if n.replica.State == target.Live && now.Before(settled) {
		if n.goneAt.IsZero() {
			n.goneAt = settled
			f.note(n.replica, "lapsed")
		}
		return
	}
	f.note(n.replica, "gone")
	f.drop(n)
}

func (f *Fleet) drop(n *node) {
	delete(f.nodes, n.replica.ID)
	n.replica.State = target.Gone
	if n.stopLink != nil {
		n.stopLink()
	}
	f.announce()
}

// Sweep drops the targets whose entries did not come back.
func (f *Fleet) Sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if !n.goneAt.IsZero() && !now.Before(n.goneAt) {
			f.note(n.replica, "gone")
			f.drop(n)
		}
	}
}

func (f *Fleet) distance(zone string) assignment.Distance {
	switch {
	case zone == f.zone:
		return assignment.SameZone
	case f.regions[zone] == f.region:
		return assignment.SameRegion
	}
	return assignment.OtherRegion
}

// configure takes a newer configuration.
func (f *Fleet) configure(cfg *routing.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg = cfg
	for _, n := range f.nodes {
		f.sendTerms(n, true)
		if f.joined != nil {
			f.joined(n)
		}
	}
}

// sendTerms tells a targetd what its engine has room for. The caller holds mu.
func (f *Fleet) sendTerms(n *node, all bool) {
	if n.link == nil || f.cfg == nil {
		return
	}
	e := f.cfg.Services[n.replica.Service].Engine
	if e == nil {
		return
	}
	m := peer.EngineTerms{
		Instance:     n.replica.ID,
		Started:      n.replica.Started.UnixMilli(),
		Places:       e.AdapterSlots,
		WeightsMB:    e.WeightsMB,
		AtOnce:       loadsAtOnce,
		AllAnnounced: all,
	}
	if len(e.Models) > 0 {
		first := e.Models[0]
		m.Model, m.ModelMB, m.AdapterMB = first.Name, first.WeightsMB, first.AdapterMB
	}
	for a, v := range f.versions {
		m.Announced = append(m.Announced, peer.AdapterVersion{Model: a.Model, Adapter: a.Name, Version: v})
	}
	_, _ = n.link.Send(m) // a failed link is dialled again and told all
}

// version returns the newest announced version of an adapter, zero for none.
func (f *Fleet) version(a orders.Adapter) int64 {
	return f.versions[a]
}

// proposal is the outcome of a choice.
type proposal struct {
	node    *node
	replica target.Replica
	holds   bool
	wait    time.Duration
	load    int
	age     time.Duration // of what is known of the engine
}

// choose returns the target for the next attempt of a call, and false when none
// can take it. A target in avoid is taken only if it is the only one.
func (f *Fleet) choose(now time.Time, c *call) (proposal, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes, candidates := f.candidates(now, c, true)
	req := assignment.Request{
		Key:       c.placement,
		Objective: c.route.Objective,
		Bytes:     len(c.body),
	}
	choice, ok := assignment.Choose(req, candidates)
	if !ok {
		nodes, candidates = f.candidates(now, c, false)
		if choice, ok = assignment.Choose(req, candidates); !ok {
			return proposal{}, false
		}
	}
	n := nodes[choice.Index]
	if choice.Copy >= 0 {
		f.ask(now, nodes[choice.Copy], c.adapter, 1)
	}
	p := proposal{node: n, replica: n.replica, holds: choice.Holds, wait: choice.Wait, load: n.estimate(now)}
	if !n.stateAt.IsZero() {
		p.age = now.Sub(n.stateAt)
	}
	return p, true
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
// equal ones share the load.
func (f *Fleet) candidates(now time.Time, c *call, cautious bool) ([]*node, []assignment.Candidate) {
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
			a.Holds = n.has(c.adapter, f.version(c.adapter))
			a.Loading = n.arrival(c.adapter)
			a.CanLoad = c.adapter.Name != "" && n.canLoad(now, c.adapter)
		}
		out = append(out, a)
	}
	followPending(c.adapter, nodes, out)
	return nodes, out
}

// followPending leaves only the target that already loads an adapter, or is
// asked to, as the one that can, so that requests for it wait together.
func followPending(a orders.Adapter, nodes []*node, candidates []assignment.Candidate) {
	pending := -1
	for i, n := range nodes {
		if !candidates[i].Usable || !candidates[i].CanLoad {
			continue
		}
		if n.coming[a] {
			pending = i
			break
		}
		if n.waiting[a] > 0 {
			pending = i
		}
	}
	if pending < 0 {
		return
	}
	for i := range candidates {
		candidates[i].CanLoad = i == pending
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

// want notes that a request waits for an adapter at a target, until done is
// called.
func (f *Fleet) want(now time.Time, n *node, a orders.Adapter) (done func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.waiting[a]++
	f.ask(now, n, a, n.waiting[a])
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
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

// begin notes that an attempt is sent to a target.
func (f *Fleet) begin(n *node, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.inFlight++
	if a.Name != "" {
		n.running[a]++
		n.used[a]++
	}
}

// end notes that an attempt at a target is over.
func (f *Fleet) end(n *node, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.inFlight--
	if a.Name == "" {
		return
	}
	if n.running[a]--; n.running[a] <= 0 {
		delete(n.running, a)
	}
}

// observe notes what the head of an answer told.
func (f *Fleet) observe(now time.Time, n *node, l Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Slots > 0 {
		n.observe(now, l)
	}
	n.failures = 0
}

// served notes how long a target took until the first event of an answer and
// until its end.
func (f *Fleet) served(n *node, first, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.pace.observe(first, took)
	f.paceOf(n.replica.Service).observe(first, took)
}

// unreachable notes that a connection to a target failed.
func (f *Fleet) unreachable(now time.Time, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause := n.unreachable(now)
	f.log.At(event.TargetAvoided).Str("target", n.replica.ID).Str("reason", "unreachable").Dur("for", pause).Send()
}

// failed notes that a target failed a request.
func (f *Fleet) failed(now time.Time, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.fail(now)
}

// lacks notes that a target refused a request because it is another start or
// does not hold what the request needs.
func (f *Fleet) lacks(n *node, a orders.Adapter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(n.holds, a)
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

// entries returns the number of processes that take callers' requests, as far
// as targetds tell.
func (f *Fleet) entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, n := range f.nodes {
		most = max(most, n.state.Entries)
	}
	return most
}

// usual returns how long an answer of the service usually takes, zero while
// none was seen.
func (f *Fleet) usual(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paceOf(service).stay.Value()
}

// size returns the number of targets.
func (f *Fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.nodes)
}
