package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/target"
)

// Bounds of the number of targets that a choice looks at, so that its cost does not grow
// with the number of targets.
const (
	// maxFullChoice is the number of targets up to which a choice looks at all.
	maxFullChoice = 24
	// maxActiveSample limits the targets that hold the adapter, load it or were asked to.
	// Adapters with more are in such demand that some of their holders are free.
	maxActiveSample = 16
	// maxRecentSample limits the targets that have the adapter in their VM's memory.
	maxRecentSample = 6
	// homeCount is the number of first targets in rendezvous order. A missing adapter is
	// loaded at one of them unless all are busy.
	homeCount = 8
	// homeCacheSize is the number of keys for which the first targets are kept.
	homeCacheSize = 256
)

// The numbers of randomly chosen targets by distance, for calls that need an adapter and
// for others, for which all targets are equal. With more, the entryds that get the same
// reports would choose the same targets: in TestSampledChoiceUnderLoad with 21 entryds and
// 0.8 of the capacity in use, requests waited for 29 ms in the mean with 6 of 120 targets,
// 44 ms with 10, 69 ms with 16 and 138 ms with all.
var (
	adapterSample = [3]int{assignment.SameZone: 2, assignment.SameRegion: 1, assignment.OtherRegion: 1}
	equalSample   = [3]int{assignment.SameZone: 3, assignment.SameRegion: 2, assignment.OtherRegion: 1}
)

// serviceIndex finds the targets of a service that matter to a call.
type serviceIndex struct {
	all      targetPool
	models   map[string]*targetPool // the targets that serve a model
	adapters map[orders.Adapter]*adapterTargets
}

// adapterTargets are the targets at which an adapter is or may be soon.
type adapterTargets struct {
	active []*targetState // that hold it, load it, or have requests that wait for it
	recent []*targetState // that held it recently, in the adapter's rendezvous order
}

// targetPool is a set of targets that may be sent the same calls.
type targetPool struct {
	targets    []*targetState
	hashes     []uint64 // of the targets, for homesOf
	byDistance [3][]*targetState
	homes      map[uint64]*homeEntry   // by the key modulo homeCacheSize
	prompts    map[uint64]*promptEntry // the same
}

// homeEntry holds the first targets in the rendezvous order of a key.
type homeEntry struct {
	key     uint64
	targets [homeCount]*targetState // nil for none
}

func newServiceIndex() *serviceIndex {
	return &serviceIndex{models: map[string]*targetPool{}, adapters: map[orders.Adapter]*adapterTargets{}}
}

func (p *targetPool) add(t *targetState) {
	p.targets, p.hashes = append(p.targets, t), append(p.hashes, t.hash)
	p.byDistance[t.distance] = append(p.byDistance[t.distance], t)
	p.homes = nil
}

func (p *targetPool) remove(t *targetState) {
	if i := slices.Index(p.targets, t); i >= 0 { // as in without
		last := len(p.hashes) - 1
		p.hashes[i] = p.hashes[last]
		p.hashes = p.hashes[:last]
	}
	p.targets = without(p.targets, t)
	p.byDistance[t.distance] = without(p.byDistance[t.distance], t)
	p.homes, p.prompts = nil, nil
}

// without returns the slice without t, in another order.
func without(ts []*targetState, t *targetState) []*targetState {
	i := slices.Index(ts, t)
	if i < 0 {
		return ts
	}
	last := len(ts) - 1
	ts[i], ts[last] = ts[last], nil
	return ts[:last]
}

// homesOf returns the first targets in the rendezvous order of a key, without those that
// leave. Their entry is computed once, until the targets change.
func (p *targetPool) homesOf(key uint64) *homeEntry {
	e := p.homes[key%homeCacheSize]
	if e != nil && e.key == key {
		return e
	}
	if e == nil {
		e = &homeEntry{}
		if p.homes == nil {
			p.homes = map[uint64]*homeEntry{}
		}
		p.homes[key%homeCacheSize] = e
	}
	*e = homeEntry{key: key}
	var ranks [homeCount]uint64
	n := 0
	for at, hash := range p.hashes {
		rank := placement.Mix(key ^ hash)
		if n == homeCount && rank <= ranks[n-1] {
			continue
		}
		t := p.targets[at]
		if t.replica.State != target.Live || t.notice.leaving {
			continue
		}
		if n < homeCount {
			n++
		}
		i := n - 1
		for ; i > 0 && ranks[i-1] < rank; i-- {
			ranks[i], e.targets[i] = ranks[i-1], e.targets[i-1]
		}
		ranks[i], e.targets[i] = rank, t
	}
	return e
}

// forget drops the cached homes after a target's state has changed.
func (x *serviceIndex) forget() {
	x.all.homes = nil
	for _, p := range x.models {
		p.homes = nil
	}
}

// pool returns the targets that may be sent a call for a model, empty for none; nil if
// there are none.
func (x *serviceIndex) pool(model string) *targetPool {
	if model == "" {
		return &x.all
	}
	return x.models[model]
}

// setModels replaces the models that a target serves.
func (x *serviceIndex) setModels(t *targetState, before, now []string) {
	if slices.Equal(before, now) {
		return
	}
	for _, m := range before {
		if p := x.models[m]; p != nil {
			if p.remove(t); len(p.targets) == 0 {
				delete(x.models, m)
			}
		}
	}
	for _, m := range now {
		p := x.models[m]
		if p == nil {
			p = &targetPool{}
			x.models[m] = p
		}
		if !slices.Contains(p.targets, t) {
			p.add(t)
		}
	}
}

// update records whether an adapter is or may be soon at a target.
func (x *serviceIndex) update(t *targetState, a orders.Adapter) {
	_, resident := t.resident[a]
	_, recent := t.recent.lastSeen[a]
	active := resident || t.loading[a] || t.waiting[a] > 0
	e := x.adapters[a]
	if e == nil {
		if !active && !recent {
			return
		}
		e = &adapterTargets{}
		x.adapters[a] = e
	}
	x.setMember(t, a, e, active, recent)
}

// setMember records whether a target belongs to the lists in the entry of an adapter.
func (x *serviceIndex) setMember(t *targetState, a orders.Adapter, e *adapterTargets, active, recent bool) {
	e.active, e.recent = withOrWithout(e.active, t, active), inOrder(a, e.recent, t, recent)
	if len(e.active)+len(e.recent) == 0 {
		delete(x.adapters, a)
	}
}

// withOrWithout returns the slice with t if it is to be a member, else without it.
func withOrWithout(ts []*targetState, t *targetState, member bool) []*targetState {
	switch {
	case !member:
		return without(ts, t)
	case slices.Contains(ts, t):
		return ts
	}
	return append(ts, t)
}

// inOrder does what withOrWithout does, for targets in the rendezvous order of an adapter.
func inOrder(a orders.Adapter, ts []*targetState, t *targetState, member bool) []*targetState {
	at := slices.Index(ts, t)
	switch {
	case member == (at >= 0):
		return ts
	case !member:
		return slices.Delete(ts, at, at+1)
	}
	key := adapterKey(a)
	at, _ = slices.BinarySearchFunc(ts, placement.Mix(key^t.hash), func(o *targetState, rank uint64) int {
		return cmp.Compare(rank, placement.Mix(key^o.hash)) // descending
	})
	return slices.Insert(ts, at, t)
}

// adapterKey returns the key of rendezvous hashing for an adapter.
func adapterKey(a orders.Adapter) uint64 { return placement.Hash(a.Model + "/" + a.Name) }

// remove removes a target that was dropped.
func (x *serviceIndex) remove(t *targetState) {
	x.all.remove(t)
	x.setModels(t, t.state.Models, nil)
	for a := range t.knownAdapters() {
		if e := x.adapters[a]; e != nil {
			x.setMember(t, a, e, false, false)
		}
	}
}

// knownAdapters returns the adapters that are or may be soon at the target.
func (t *targetState) knownAdapters() map[orders.Adapter]bool {
	known := make(map[orders.Adapter]bool, len(t.recent.lastSeen))
	for a := range t.recent.lastSeen {
		known[a] = true
	}
	for a := range t.resident {
		known[a] = true
	}
	for a := range t.loading {
		known[a] = true
	}
	for a := range t.waiting {
		known[a] = true
	}
	return known
}

// indexOf returns the index of a service. The caller holds mu.
func (f *Fleet) indexOf(service string) *serviceIndex {
	x := f.services[service]
	if x == nil {
		x = newServiceIndex()
		f.services[service] = x
	}
	return x
}

// reindex updates the index for an adapter at a target. The caller holds mu.
func (f *Fleet) reindex(t *targetState, a orders.Adapter) {
	if f.targets[t.replica.ID] == t {
		f.indexOf(t.replica.Service).update(t, a)
	}
}

// sampler collects targets, each once. The caller of its methods holds the fleet's mu.
type sampler struct {
	targets    []*targetState
	candidates []assignment.Candidate
	round      uint64
}

// begin starts an empty collection.
func (s *sampler) begin() {
	s.round++
	s.targets = s.targets[:0]
}

// add adds a target unless it is nil or was added.
func (s *sampler) add(t *targetState) {
	if t != nil && t.sampledIn != s.round {
		t.sampledIn = s.round
		s.targets = append(s.targets, t)
	}
}

// addSome adds up to n of the targets, the first of which is random.
func (s *sampler) addSome(ts []*targetState, n int) {
	if len(ts) == 0 {
		return
	}
	at := 0
	if n < len(ts) {
		at = rand.IntN(len(ts))
	}
	for range min(n, len(ts)) {
		s.add(ts[at])
		if at++; at == len(ts) {
			at = 0
		}
	}
}

// addRecent adds the first of the targets that have an adapter in memory and are not in the
// sample yet. All entryds add the same, so that they agree on the adapter's home.
func (s *sampler) addRecent(ts []*targetState) {
	most := len(s.targets) + maxRecentSample
	for _, t := range ts[:min(len(ts), maxActiveSample+maxRecentSample)] {
		if s.add(t); len(s.targets) == most {
			return
		}
	}
}

// addRandom adds up to n random targets.
func (s *sampler) addRandom(ts []*targetState, n int) {
	if n >= len(ts) {
		s.addSome(ts, n)
		return
	}
	for range n {
		s.add(ts[rand.IntN(len(ts))])
	}
}

// addNear adds as many random targets of each distance, and others for those that are
// lacking.
func (s *sampler) addNear(p *targetPool, counts [3]int) {
	lacking := 0
	for d, n := range counts {
		s.addRandom(p.byDistance[d], n)
		lacking += max(0, n-len(p.byDistance[d]))
	}
	s.addRandom(p.targets, lacking)
}

// collect collects the targets for a call: all that could be chosen, or a bounded sample
// of them if there are many and sample is set. It reports whether all were collected that
// could be chosen; if residentOnly is set, these are the holders of the adapter. The
// caller holds mu.
func (f *Fleet) collect(now time.Time, c *call, sample, residentOnly bool) (complete bool) {
	s := &f.sampler
	s.begin()
	x := f.services[c.service]
	if x == nil {
		return true
	}
	if len(x.all.targets) <= f.maxFullChoice {
		s.addSome(x.all.targets, len(x.all.targets))
		return true
	}
	p := x.pool(c.model)
	switch {
	case p == nil:
		return true
	case !sample || len(p.targets) <= f.maxFullChoice:
		s.addSome(p.targets, len(p.targets))
		return true
	}
	s.add(c.waitTarget)
	s.add(c.offeredTarget)
	if c.adapter.Name == "" {
		f.addReaders(now, p, c)
		s.addNear(p, equalSample)
		return false
	}
	complete = residentOnly
	if e := x.adapters[c.adapter]; e != nil {
		complete = complete && len(e.active) <= maxActiveSample
		s.addSome(e.active, maxActiveSample)
		if !residentOnly {
			s.addRecent(e.recent)
		}
	}
	if residentOnly {
		return complete
	}
	for _, t := range p.homesOf(c.placementKey).targets {
		s.add(t)
	}
	s.addNear(p, adapterSample)
	return false
}
