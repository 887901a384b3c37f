package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// prefixBytes is the length of the beginning of a body that calls with a common
// prompt prefix share.
const prefixBytes = 256

// viewKey names the calls that may go to the same targets.
type viewKey struct {
	team, owner, service, base string
}

// routeView is the targets that such calls may go to, with their links.
type routeView struct {
	view    *placement.View
	targets []target.Target
	links   []*link
}

// views keeps a routeView for each viewKey, and makes it anew when the targets
// or the configuration change.
type views struct {
	region string
	costs  placement.Costs
	links  *links

	mu    sync.Mutex
	cfg   *configuration.Configuration
	list  []target.Target
	byKey map[viewKey]*routeView
}

func newViews(region string, costs placement.Costs, links *links) *views {
	return &views{region: region, costs: costs, links: links, byKey: map[viewKey]*routeView{}}
}

// get returns the view of c's targets among list.
func (vs *views) get(c *Call, list []target.Target) *routeView {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if vs.cfg != c.Configuration || !sameList(vs.list, list) {
		vs.cfg, vs.list = c.Configuration, list
		clear(vs.byKey)
	}
	key := viewKey{team: c.Team.Name, owner: c.Owner, service: c.Service, base: c.Base}
	v := vs.byKey[key]
	if v == nil {
		v = vs.build(c, list)
		vs.byKey[key] = v
	}
	return v
}

// sameList reports whether a and b are the same slice.
func sameList(a, b []target.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (vs *views) build(c *Call, list []target.Target) *routeView {
	v := &routeView{}
	var members []placement.Member
	for _, t := range list {
		if t.State != target.Live || t.Slots <= 0 || !fits(c, t) {
			continue
		}
		members = append(members, placement.Member{
			Hash:     placement.Hash(t.Name),
			Remote:   t.Region != vs.region,
			Borrowed: t.Team != c.Owner,
			Slots:    t.Slots,
		})
		v.targets = append(v.targets, t)
		v.links = append(v.links, vs.links.get(t))
	}
	v.view = placement.NewView(members, vs.costs)
	return v
}

// choose returns the target for an attempt of c and why it was chosen.
func (v *routeView) choose(c *Call, hints *targetHints, now time.Time, tried map[string]bool) (target.Target, placement.Reason, bool) {
	key := placement.Key{
		Adapter: placement.Hash(c.Adapter.String()),
		Prefix:  placement.Hash(string(c.TargetBody[:min(len(c.TargetBody), prefixBytes)])),
	}
	if c.Adapter.IsZero() {
		key = placement.Key{Adapter: placement.Hash(c.ID)}
	}
	hints.mu.Lock()
	defer hints.mu.Unlock()
	i, reason, ok := v.view.Choose(key, hints.hints, viewLoads{links: v.links, tried: tried, now: now})
	if !ok {
		return target.Target{}, reason, false
	}
	if reason == placement.ReasonResident || c.Adapter.IsZero() {
		v.links[i].sentSince.Add(1)
	}
	if !c.Adapter.IsZero() {
		hints.hints.Expect(placement.Hash(v.targets[i].Name), key.Adapter)
	}
	return v.targets[i], reason, true
}

// viewLoads tells the load of a view's members to one call.
type viewLoads struct {
	links []*link
	tried map[string]bool
	now   time.Time
}

// InFlight implements placement.Loads.
func (l viewLoads) InFlight(i int) int { return l.links[i].load() }

// Usable implements placement.Loads.
func (l viewLoads) Usable(i int) bool {
	return !l.tried[l.links[i].target.Name] && l.links[i].usable(l.now)
}

// targetHints keeps what the targets said of their adapters.
type targetHints struct {
	mu    sync.Mutex
	hints *placement.Hints
}

func newTargetHints() *targetHints { return &targetHints{hints: placement.NewHints()} }

// set records a target's hint.
func (h *targetHints) set(name string, resident []uint64, floor float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hints.Set(placement.Hash(name), resident, floor)
}

// forget drops what a target said.
func (h *targetHints) forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hints.Forget(placement.Hash(name))
}
