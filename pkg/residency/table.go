package residency

import (
	"sort"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// maxTrackedAdapters is the maximum number of adapters whose demand a table
// tracks, resident or not.
const maxTrackedAdapters = 4096

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of steps.
const (
	Ready  StepKind = iota // the adapter is resident
	Wait                   // a load or an unload is in progress, or no adapter can be evicted
	Load                   // order the engine to load the adapter
	Unload                 // order the engine to unload the victim first
)

// Step is the next step towards making an adapter resident, as returned by Prepare.
type Step struct {
	Kind   StepKind
	Victim adapter.ID // for Unload
}

// entry is one adapter version that is loading, resident or unloading.
type entry struct {
	id       adapter.ID
	state    State
	pins     int  // running requests that use the adapter
	retiring bool // not usable by further requests; evicted first once unpinned
	lastUsed time.Time
	changed  uint64 // generation of the last state change
}

// Table tracks the adapters of one engine. It is not safe for concurrent use.
type Table struct {
	capacity    int                   // adapter slots of the engine
	owner       string                // team whose adapters don't count as borrowed; empty disables maxBorrowed
	maxBorrowed int                   // maximum number of adapters of other teams
	entries     map[adapter.ID]*entry // absent adapters have no entry
	demand      *Demand
	removedAt   map[adapter.ID]uint64 // generation at which an entry was removed
	generation  uint64                // number of state changes so far
	cursor      entryCursor
	machine     *stateless.StateMachine
}

// New returns the table of an empty engine with capacity adapter slots. It
// panics unless capacity is positive.
func New(capacity int) *Table {
	if capacity <= 0 {
		panic("residency: capacity is not positive")
	}
	t := &Table{capacity: capacity, entries: make(map[adapter.ID]*entry, capacity), demand: NewDemand(maxTrackedAdapters), removedAt: map[adapter.ID]uint64{}}
	t.machine = newMachine(&t.cursor)
	return t
}

// LimitBorrowed restricts the adapters of teams other than owner to at most
// limit slots. Resident adapters above the limit are evicted only as their slots
// are needed.
func (t *Table) LimitBorrowed(owner string, limit int) { t.owner, t.maxBorrowed = owner, limit }

// Observe counts a request for id in the demand estimate, which eviction uses.
func (t *Table) Observe(now time.Time, id adapter.ID) { t.demand.Observe(now, id) }

// Demand returns the decayed number of requests for id.
func (t *Table) Demand(now time.Time, id adapter.ID) float64 { return t.demand.Count(now, id) }

// State returns the state of id.
func (t *Table) State(id adapter.ID) State {
	e := t.entries[id]
	if e == nil {
		return Absent
	}
	return e.state
}

// Count returns the number of adapters in state s.
func (t *Table) Count(s State) int {
	n := 0
	for _, e := range t.entries {
		if e.state == s {
			n++
		}
	}
	return n
}

// Pins returns the number of requests that use id.
func (t *Table) Pins(id adapter.ID) int {
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return e.pins
}

// Usable reports whether id is resident and may be pinned.
func (t *Table) Usable(id adapter.ID) bool {
	e := t.entries[id]
	return e != nil && e.state == Resident && !e.retiring
}

// Prepare returns the next step towards making id resident and updates the table
// for it: after Load the adapter is loading, after Unload the victim is
// unloading.
func (t *Table) Prepare(now time.Time, id adapter.ID) Step {
	e := t.entries[id]
	switch {
	case e != nil && e.state == Resident && !e.retiring:
		e.lastUsed = now
		return Step{Kind: Ready}
	case e != nil:
		return Step{Kind: Wait}
	case t.hasFreeSlot(id):
		e = &entry{id: id, lastUsed: now}
		t.entries[id] = e
		t.fire(e, loadOrdered)
		return Step{Kind: Load}
	}
	victim := t.victim(id)
	if victim == nil {
		return Step{Kind: Wait}
	}
	t.fire(victim, unloadOrdered)
	return Step{Kind: Unload, Victim: victim.id}
}

// HasFreeSlot reports whether Prepare would return Load for id, without an
// eviction.
func (t *Table) HasFreeSlot(id adapter.ID) bool { return t.entries[id] == nil && t.hasFreeSlot(id) }

// HasVictim reports whether another adapter can be evicted for id.
func (t *Table) HasVictim(id adapter.ID) bool { return t.victim(id) != nil }

// Retire stops further requests from using the pinned adapter with the lowest
// demand, so that it can be evicted for id when its running requests end. It
// does nothing while another adapter is retiring.
func (t *Table) Retire(id adapter.ID) {
	var best *entry
	for _, e := range t.entries {
		if e.retiring {
			return
		}
		if e.state == Resident && e.pins > 0 && t.mayReplace(id, e) && (best == nil || t.evictsBefore(e, best)) {
			best = e
		}
	}
	if best != nil {
		best.retiring = true
	}
}

// Pin counts one more running request that uses id. It panics unless id is
// resident.
func (t *Table) Pin(now time.Time, id adapter.ID) {
	e := t.entries[id]
	if e == nil || e.state != Resident {
		panic("residency: pin of an adapter that is not resident")
	}
	e.pins++
	e.lastUsed = now
}

// Unpin counts one running request less for id. It does nothing if id has no
// pins, as after a restart of the engine since Pin.
func (t *Table) Unpin(now time.Time, id adapter.ID) {
	e := t.entries[id]
	if e == nil || e.pins == 0 {
		return
	}
	e.pins--
	e.lastUsed = now
}

// Loaded records that the engine has loaded id.
func (t *Table) Loaded(id adapter.ID) { t.fireFrom(id, Loading, loadDone) }

// LoadFailed records that the engine could not load id.
func (t *Table) LoadFailed(id adapter.ID) { t.fireFrom(id, Loading, loadFailed) }

// Unloaded records that the engine has unloaded id.
func (t *Table) Unloaded(id adapter.ID) { t.fireFrom(id, Unloading, unloadDone) }

// Restarted records that the engine lost all adapters in a restart. All pins are
// dropped, as the requests that held them ended with the engine.
func (t *Table) Restarted() {
	for _, e := range t.entries {
		e.pins = 0
		t.fire(e, adapterLost)
	}
	t.entries = make(map[adapter.ID]*entry, t.capacity)
}

// Resident returns the resident adapters, sorted by ID.
func (t *Table) Resident() []adapter.ID {
	var out []adapter.ID
	for id, e := range t.entries {
		if e.state == Resident {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// Held returns the adapters that are loading or resident and not retiring, in no
// particular order.
func (t *Table) Held() []adapter.ID {
	out := make([]adapter.ID, 0, len(t.entries))
	for id, e := range t.entries {
		if e.state == Loading || (e.state == Resident && !e.retiring) {
			out = append(out, id)
		}
	}
	return out
}

// fireFrom fires tr for id if it is in state from. Otherwise it does nothing:
// a result that arrives after a restart of the engine finds another state.
func (t *Table) fireFrom(id adapter.ID, from State, tr trigger) {
	e := t.entries[id]
	if e == nil || e.state != from {
		return
	}
	t.fire(e, tr)
	if e.state == Absent {
		delete(t.entries, id)
	}
}

// hasFreeSlot reports whether a slot is free for id. A borrowed adapter is also
// subject to the limit on borrowed slots.
func (t *Table) hasFreeSlot(id adapter.ID) bool {
	if len(t.entries) >= t.capacity {
		return false
	}
	return !t.isBorrowed(id) || t.countBorrowed() < t.maxBorrowed
}

func (t *Table) isBorrowed(id adapter.ID) bool { return t.owner != "" && id.Team != t.owner }

func (t *Table) countBorrowed() int {
	n := 0
	for id := range t.entries {
		if t.isBorrowed(id) {
			n++
		}
	}
	return n
}

// mayReplace reports whether e may be evicted for id. When the limit on borrowed
// slots is reached, a borrowed adapter may replace only another borrowed one.
func (t *Table) mayReplace(id adapter.ID, e *entry) bool {
	if !t.isBorrowed(id) || t.isBorrowed(e.id) {
		return true
	}
	return t.countBorrowed() < t.maxBorrowed
}

// victim returns the entry to evict for id, or nil: the first one in eviction
// order among the resident, unpinned entries that id may replace.
func (t *Table) victim(id adapter.ID) *entry {
	var best *entry
	for _, e := range t.entries {
		if e.state != Resident || e.pins > 0 || !t.mayReplace(id, e) {
			continue
		}
		if best == nil || t.evictsBefore(e, best) {
			best = e
		}
	}
	return best
}

// evictsBefore reports whether e precedes f in eviction order: retiring entries
// first, then lower demand, then least recently used.
func (t *Table) evictsBefore(e, f *entry) bool {
	if e.retiring != f.retiring {
		return e.retiring
	}
	a, b := t.demand.counts[e.id], t.demand.counts[f.id]
	if a != b {
		return a < b
	}
	return e.lastUsed.Before(f.lastUsed)
}

// fire applies tr to e. It panics on a transition that the state machine does
// not permit.
func (t *Table) fire(e *entry, tr trigger) {
	t.cursor.entry = e
	if err := t.machine.Fire(tr); err != nil {
		panic("residency: " + err.Error())
	}
	t.generation++
	e.changed = t.generation
	if e.state == Absent {
		t.removedAt[e.id] = t.generation
	}
}
