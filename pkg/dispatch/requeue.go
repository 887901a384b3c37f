package dispatch

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/residency"
)

// Requeue puts a started request that the engine did not run back into the
// queue, in the order of its original arrival and with its original start-by
// time. If adapterMissing is set, the engine does not hold the adapter, which is
// loaded again. While the target drains, Requeue does not queue the request but
// returns the reason to refuse it. It panics if no such request is running.
func (d *Dispatcher) Requeue(now time.Time, key RequestKey, adapterMissing bool) outcome.Reason {
	r := d.running[key]
	if r == nil {
		panic("dispatch: requeue of a request that is not running")
	}
	adapterMissing = adapterMissing && r.pinned // without a pin, the adapter was lost or reloaded since the request started
	d.Finished(now, key)
	if adapterMissing {
		d.clearPins(func(other *Request) bool { return other.Adapter == r.Adapter })
		d.table.RecordMissing(r.Adapter)
	}
	if d.draining {
		return outcome.Draining
	}
	d.queue.add(r.arrived, r)
	return outcome.NoReason
}

// Expire returns the refusals of queued requests whose start-by time has passed.
// Unlike Next it starts no requests and loads no adapters; it is for the time
// before the state of the engine is known.
func (d *Dispatcher) Expire(now time.Time) []Action {
	return d.refuseQueued(outcome.Expired, func(r *Request) bool { return !now.Before(r.StartBy) })
}

// RefuseAll removes all queued requests and returns their refusals with reason.
func (d *Dispatcher) RefuseAll(reason outcome.Reason) []Action {
	return d.refuseQueued(reason, func(*Request) bool { return true })
}

// Generation returns the number of adapter state changes so far. See
// residency.Table.Generation.
func (d *Dispatcher) Generation() uint64 { return d.table.Generation() }

// Reconcile updates the residency table to match held, the engine's list of the
// adapters that it holds, which was requested when Generation returned asOf.
func (d *Dispatcher) Reconcile(held []adapter.ID, asOf uint64) residency.Correction {
	return d.table.Reconcile(held, asOf)
}

// clearPins marks the running requests that match accepts as holding no pin,
// because the residency table drops the pins.
func (d *Dispatcher) clearPins(match func(*Request) bool) {
	for _, r := range d.running {
		if match(r) {
			r.pinned = false
		}
	}
}
