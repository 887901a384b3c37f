package gateway

import (
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

// Fleet is what a gateway knows of all targets. It is safe for concurrent use.
type Fleet struct {
	zone    string
	region  string
	regions map[string]string
	log     event.Log

	mu        sync.Mutex
	nodes     map[string]*node // by the target's id
	cfg       *routing.Configuration
	versions  map[orders.Adapter]int64
	paces     map[string]*pace                 // by service
	news      map[orders.Adapter]chan struct{} // closed when an adapter arrives or targets change
	known     bool                             // the targets were listed
	current   bool                             // the announced versions were listed
	epoch     time.Time                        // start of the times of attempts
	watchedAt time.Time                        // last look at the attempts
	joined    func(*node)                      // a target with an engine appeared
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
		news:     map[orders.Adapter]chan struct{}{},
		epoch:    time.Now(),
	}
}

// Known reports whether the targets and the versions of adapters were listed, so
// that requests can be sent.
func (f *Fleet) Known() bool { return f.unknown() == "" }

// unknown names what was not listed yet, empty if nothing is missing.
func (f *Fleet) unknown() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.known:
		return "no_targets"
	case !f.current:
		return "no_versions"
	}
	return ""
}

// newsOf returns a channel that is closed at the next change that may let a
// request that waits for an adapter go on. The caller holds mu.
func (f *Fleet) newsOf(a orders.Adapter) <-chan struct{} {
	ch := f.news[a]
	if ch == nil {
		ch = make(chan struct{})
		f.news[a] = ch
	}
	return ch
}

// announce wakes the requests that wait for an adapter. The caller holds mu.
func (f *Fleet) announce(a orders.Adapter) {
	if ch := f.news[a]; ch != nil {
		close(ch)
		delete(f.news, a)
	}
}

// announceAll wakes all waiting requests. The caller holds mu.
func (f *Fleet) announceAll() {
	for a := range f.news {
		f.announce(a)
	}
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
		f.announceAll()
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
	f.announceAll()
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

// size returns the number of targets.
func (f *Fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.nodes)
}
