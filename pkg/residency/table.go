package residency

import (
	"sort"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// maxKnown is the number of adapters whose demand a table remembers.
const maxKnown = 4096

// StepKind says what must happen before an adapter can be used.
type StepKind uint8

// The kinds of step.
const (
	Ready  StepKind = iota // the adapter is resident
	Wait                   // a load or an unload is under way, or everything is pinned
	Load                   // order the engine to load the adapter
	Unload                 // order the engine to unload the victim first
)

// Step is the answer of Want.
type Step struct {
	Kind   StepKind
	Victim adapter.ID // for Unload
}

type entry struct {
	id       adapter.ID
	state    State
	pins     int
	retiring bool // takes no more pins, to be unloaded
	lastUsed time.Time
}

// Table keeps what one engine holds. It is not safe for concurrent use.
type Table struct {
	room     int
	owner    string // whose adapters are not counted as borrowed; empty for no limit
	borrowed int    // most adapters of other teams
	entries  map[adapter.ID]*entry
	demand   *Demand
	cursor   entryCursor
	machine  *stateless.StateMachine
}

// New returns the table of an empty engine with room for so many adapters. It
// panics unless room is positive.
func New(room int) *Table {
	if room <= 0 {
		panic("residency: room is not positive")
	}
	t := &Table{room: room, entries: make(map[adapter.ID]*entry, room), demand: NewDemand(maxKnown)}
	t.machine = newMachine(&t.cursor)
	return t
}

// LimitBorrowed lets the adapters of teams other than owner take at most so
// many places. What is resident beyond that is unloaded as places are needed.
func (t *Table) LimitBorrowed(owner string, most int) { t.owner, t.borrowed = owner, most }

// Observe counts a request for id in the demand that unloading goes by.
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

// Want says what must happen so that id can be used, and takes the first step:
// after Load the adapter is loading, after Unload the victim is unloading.
func (t *Table) Want(now time.Time, id adapter.ID) Step {
	e := t.entries[id]
	switch {
	case e != nil && e.state == Resident && !e.retiring:
		e.lastUsed = now
		return Step{Kind: Ready}
	case e != nil:
		return Step{Kind: Wait}
	case t.hasPlace(id):
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

// HasPlace reports whether Want would load id at once.
func (t *Table) HasPlace(id adapter.ID) bool { return t.entries[id] == nil && t.hasPlace(id) }

// HasVictim reports whether Want would unload another adapter for id.
func (t *Table) HasVictim(id adapter.ID) bool { return t.victim(id) != nil }

// Retire lets the pinned adapter with the least demand take no more pins, so
// that a place for id comes free when its requests end. It does nothing while
// another one is retiring.
func (t *Table) Retire(id adapter.ID) {
	var best *entry
	for _, e := range t.entries {
		if e.retiring {
			return
		}
		if e.state == Resident && e.pins > 0 && t.mayReplace(id, e) && (best == nil || t.colder(e, best)) {
			best = e
		}
	}
	if best != nil {
		best.retiring = true
	}
}

// Pin counts one more request that uses id, which must be resident.
func (t *Table) Pin(now time.Time, id adapter.ID) {
	e := t.entries[id]
	if e == nil || e.state != Resident {
		panic("residency: pin of an adapter that is not resident")
	}
	e.pins++
	e.lastUsed = now
}

// Unpin counts one request less. An adapter that was lost in a restart since
// its Pin is passed over.
func (t *Table) Unpin(now time.Time, id adapter.ID) {
	e := t.entries[id]
	if e == nil || e.pins == 0 {
		return
	}
	e.pins--
	e.lastUsed = now
}

// Loaded records that the engine has loaded id.
func (t *Table) Loaded(id adapter.ID) { t.settle(id, Loading, loadDone) }

// LoadFailed records that the engine could not load id.
func (t *Table) LoadFailed(id adapter.ID) { t.settle(id, Loading, loadFailed) }

// Unloaded records that the engine has unloaded id.
func (t *Table) Unloaded(id adapter.ID) { t.settle(id, Unloading, unloadDone) }

// Restarted records that the engine lost all adapters. Pins are gone with the
// requests that held them.
func (t *Table) Restarted() {
	for _, e := range t.entries {
		e.pins = 0
		t.fire(e, engineRestarted)
	}
	t.entries = make(map[adapter.ID]*entry, t.room)
}

// Resident returns the resident adapters in order of name.
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

// Held returns the adapters that are resident or loading, in no order.
func (t *Table) Held() []adapter.ID {
	out := make([]adapter.ID, 0, len(t.entries))
	for id, e := range t.entries {
		if e.state == Loading || (e.state == Resident && !e.retiring) {
			out = append(out, id)
		}
	}
	return out
}

// settle fires tr for id if it is in state from. Reports that come after a
// restart of the engine find another state and are passed over.
func (t *Table) settle(id adapter.ID, from State, tr trigger) {
	e := t.entries[id]
	if e == nil || e.state != from {
		return
	}
	t.fire(e, tr)
	if e.state == Absent {
		delete(t.entries, id)
	}
}

// hasPlace reports whether another adapter fits, within the limit of borrowed
// places if id is borrowed.
func (t *Table) hasPlace(id adapter.ID) bool {
	if len(t.entries) >= t.room {
		return false
	}
	return !t.isBorrowed(id) || t.countBorrowed() < t.borrowed
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

// mayReplace reports whether id may take e's place: a borrowed adapter beyond
// the limit only that of another borrowed one.
func (t *Table) mayReplace(id adapter.ID, e *entry) bool {
	if !t.isBorrowed(id) || t.isBorrowed(e.id) {
		return true
	}
	return t.countBorrowed() < t.borrowed
}

// victim returns the resident, unpinned entry with the least demand that id may
// replace, or nil. While an unload is under way that makes the place, there is
// no victim.
func (t *Table) victim(id adapter.ID) *entry {
	var best *entry
	for _, e := range t.entries {
		if e.state != Resident || e.pins > 0 || !t.mayReplace(id, e) {
			continue
		}
		if best == nil || t.colder(e, best) {
			best = e
		}
	}
	return best
}

// colder reports whether e goes before f: retiring ones first, then the one with
// less demand, then the one that was used longer ago.
func (t *Table) colder(e, f *entry) bool {
	if e.retiring != f.retiring {
		return e.retiring
	}
	a, b := t.demand.counts[e.id], t.demand.counts[f.id]
	if a != b {
		return a < b
	}
	return e.lastUsed.Before(f.lastUsed)
}

func (t *Table) fire(e *entry, tr trigger) {
	t.cursor.entry = e
	if err := t.machine.Fire(tr); err != nil {
		panic("residency: " + err.Error())
	}
}
