package residency

import (
	"sort"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// Correction lists the differences found by Reconcile.
type Correction struct {
	Adopted []adapter.ID // held by the engine and now resident in the table
	Lost    []adapter.ID // not held by the engine and now absent from the table
	Unload  []adapter.ID // held by the engine beyond the table's capacity; the caller must order their unload
}

// Generation returns the number of state changes so far. From the value read before
// the engine's list is requested, Reconcile determines which entries changed since,
// so that the list does not apply to them.
func (t *Table) Generation() uint64 { return t.generation }

// Reconcile updates the table to match held, the engine's list of the adapters
// that it holds. The list may be stale: entries that changed after generation
// asOf are not modified. Pinned entries are not removed, because the engine is
// running requests on them.
func (t *Table) Reconcile(held []adapter.ID, asOf uint64) Correction {
	var c Correction
	listed := make(map[adapter.ID]bool, len(held))
	for _, id := range held {
		listed[id] = true
		if t.entries[id] != nil || t.removedAt[id] > asOf {
			continue
		}
		if len(t.entries) >= t.capacity {
			c.Unload = append(c.Unload, id)
			continue
		}
		t.adopt(id)
		c.Adopted = append(c.Adopted, id)
	}
	for id, e := range t.entries {
		if e.state == Resident && e.pins == 0 && e.changed <= asOf && !listed[id] {
			c.Lost = append(c.Lost, id)
		}
	}
	sort.Slice(c.Lost, func(i, j int) bool { return c.Lost[i].String() < c.Lost[j].String() })
	for _, id := range c.Lost {
		t.RecordMissing(id)
	}
	for id, at := range t.removedAt {
		if at <= asOf {
			delete(t.removedAt, id)
		}
	}
	return c
}

// RecordMissing records that the engine does not hold id: a resident or unloading
// adapter becomes absent, and its pins are dropped. A load in progress is not
// affected.
func (t *Table) RecordMissing(id adapter.ID) {
	e := t.entries[id]
	if e == nil || e.state == Loading {
		return
	}
	e.pins = 0
	t.fire(e, adapterLost)
	delete(t.entries, id)
}

// adopt marks id, which the engine holds without a load order of the table, as
// resident.
func (t *Table) adopt(id adapter.ID) {
	e := &entry{id: id}
	t.entries[id] = e
	t.fire(e, loadOrdered)
	t.fire(e, loadDone)
}
