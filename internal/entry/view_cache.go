package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// prefixHashBytes is the length of the beginning of a request body that is hashed to
// recognise a common prompt prefix.
const prefixHashBytes = 256

// viewKey identifies the calls that share a set of eligible targets.
type viewKey struct {
	team, owner, service, base string
}

// routeView holds the eligible targets of a viewKey and their links. The elements
// of view, targets and links have the same indexes.
type routeView struct {
	view    *placement.View
	targets []target.Target
	links   []*link
}

// viewCache caches a routeView for each viewKey. It is cleared when the targets or
// the configuration change.
type viewCache struct {
	region string
	costs  placement.Costs
	links  *linkTable

	mu      sync.Mutex
	cfg     *configuration.Configuration
	targets []target.Target
	byKey   map[viewKey]*routeView
}

func newViewCache(region string, costs placement.Costs, links *linkTable) *viewCache {
	return &viewCache{region: region, costs: costs, links: links, byKey: map[viewKey]*routeView{}}
}

// get returns the view of the targets that are eligible for c.
func (vc *viewCache) get(c *Call, targets []target.Target) *routeView {
	vc.mu.Lock()
	defer vc.mu.Unlock()
	if vc.cfg != c.Configuration || !sameSlice(vc.targets, targets) {
		vc.cfg, vc.targets = c.Configuration, targets
		clear(vc.byKey)
	}
	key := viewKey{team: c.Team.Name, owner: c.Owner, service: c.Service, base: c.Base}
	v := vc.byKey[key]
	if v == nil {
		v = vc.build(c, targets)
		vc.byKey[key] = v
	}
	return v
}

// sameSlice reports whether a and b are the same slice.
func sameSlice(a, b []target.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// build returns a new view of the live targets that are eligible for c.
func (vc *viewCache) build(c *Call, targets []target.Target) *routeView {
	v := &routeView{}
	var members []placement.Member
	for _, t := range targets {
		if t.State != target.Live || t.Slots <= 0 || !eligible(c, t) {
			continue
		}
		members = append(members, placement.Member{
			Hash:     placement.Hash(t.Name),
			Remote:   t.Region != vc.region,
			Borrowed: t.Team != c.Owner,
			Slots:    t.Slots,
		})
		v.targets = append(v.targets, t)
		v.links = append(v.links, vc.links.get(t))
	}
	v.view = placement.NewView(members, vc.costs)
	return v
}

// choose returns the target for an attempt of c and the placement reason. It adds
// the attempt to the target's estimated load and hints.
func (v *routeView) choose(c *Call, hints *targetHints, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	key := placement.Key{
		Adapter: placement.Hash(c.Adapter.String()),
		Prefix:  placement.Hash(string(c.TargetBody[:min(len(c.TargetBody), prefixHashBytes)])),
	}
	if c.Adapter.IsZero() {
		key = placement.Key{Adapter: placement.Hash(c.ID)} // spreads requests without an adapter over the targets
	}
	hints.mu.Lock()
	defer hints.mu.Unlock()
	i, reason, ok := v.view.Choose(key, hints.hints, viewLoads{links: v.links, tried: tried, now: now})
	if !ok {
		return target.Target{}, reason, false
	}
	if reason == placement.ReasonResident || c.Adapter.IsZero() {
		v.links[i].sentSinceReport.Add(1)
	}
	if !c.Adapter.IsZero() {
		hints.hints.AddPending(placement.Hash(v.targets[i].Name), key.Adapter)
	}
	return v.targets[i], reason, true
}

// viewLoads provides the load and usability of a view's members for one call.
type viewLoads struct {
	links []*link
	tried map[string]bool
	now   time.Time
}

// InFlight implements placement.Occupancy.
func (l viewLoads) InFlight(i int) int { return l.links[i].load() }

// Usable implements placement.Occupancy.
func (l viewLoads) Usable(i int) bool {
	return !l.tried[l.links[i].target.Name] && l.links[i].usable(l.now)
}

// targetHints holds the adapters that are probably resident at each target, from
// the targets' reports and the attempts sent since. It is safe for concurrent use.
type targetHints struct {
	mu    sync.Mutex
	hints *placement.Hints
}

func newTargetHints() *targetHints { return &targetHints{hints: placement.NewHints()} }

// set replaces the hints of the named target by those it reported: the hashes of its
// resident adapters and the demand for the one that a load would evict.
func (h *targetHints) set(name string, resident []uint64, evictionDemand float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hints.Set(placement.Hash(name), resident, evictionDemand)
}

// remove deletes the hints of the named target.
func (h *targetHints) remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hints.Forget(placement.Hash(name))
}
