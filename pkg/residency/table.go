package residency

import (
	"sort"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/borageusher/borageusher/pkg/adapter"
)

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
	lastUsed time.Time
	changed  uint64 // generation of the last change of state
}

// Table keeps what one engine holds. It is not safe for concurrent use.
type Table struct {
	room       int
	entries    map[adapter.ID]*entry
	left       map[adapter.ID]uint64 // generation at which an entry was dropped
	generation uint64                // changes of state so far
	cursor     entryCursor
	machine    *stateless.StateMachine
}

// New returns the table of an empty engine with room for so many adapters. It
// panics unless room is positive.
func New(room int) *Table {
	if room <= 0 {
		panic("residency: room is not positive")
	}
	t := &Table{room: room, entries: make(map[adapter.ID]*entry, room), left: map[adapter.ID]uint64{}}
	t.machine = newMachine(&t.cursor)
	return t
}

// State returns the state of id.
func (t *Table) State(id adapter.ID) State {
	e := t.entries[id]
	if e == nil {
		return Absent
	}
	return e.state
}

// Pins returns the number of requests that use id.
func (t *Table) Pins(id adapter.ID) int {
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return e.pins
}

// Want says what must happen so that id can be used, and takes the first step:
// after Load the adapter is loading, after Unload the victim is unloading.
func (t *Table) Want(now time.Time, id adapter.ID) Step {
	e := t.entries[id]
	switch {
	case e != nil && e.state == Resident:
		e.lastUsed = now
		return Step{Kind: Ready}
	case e != nil:
		return Step{Kind: Wait}
	case len(t.entries) < t.room:
		e = &entry{id: id, lastUsed: now}
		t.entries[id] = e
		t.fire(e, loadOrdered)
		return Step{Kind: Load}
	}
	victim := t.victim()
	if victim == nil {
		return Step{Kind: Wait}
	}
	t.fire(victim, unloadOrdered)
	return Step{Kind: Unload, Victim: victim.id}
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

// victim returns the resident, unpinned entry that was used longest ago, or nil.
func (t *Table) victim() *entry {
	var best *entry
	for _, e := range t.entries {
		if e.state != Resident || e.pins > 0 {
			continue
		}
		if best == nil || e.lastUsed.Before(best.lastUsed) {
			best = e
		}
	}
	return best
}

func (t *Table) fire(e *entry, tr trigger) {
	t.cursor.entry = e
	if err := t.machine.Fire(tr); err != nil {
		panic("residency: " + err.Error())
	}
	t.generation++
	e.changed = t.generation
	if e.state == Absent {
		t.left[e.id] = t.generation
	}
}
