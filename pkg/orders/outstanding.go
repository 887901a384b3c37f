package orders

import (
	"cmp"
	"slices"
	"time"
)

// OrderLifetime is the longest time after which an engine may still execute an order
// that got no response: 12 s on the users' platform, and a quarter more because the time is
// counted from the end of the call and by other clocks than the engine's.
const OrderLifetime = 15 * time.Second

// AnySequence is the sequence of an outstanding order of which it is not known on how many
// accepted orders it is conditional.
const AnySequence int64 = -1

// refreshAfter is the time by which the end of an order's lifetime has to move to be changed, so
// that an order that is repeated every 80 ms isn't reported to others each time. OrderLifetime
// leaves room for it.
const refreshAfter = time.Second

// OutstandingOrder is an order that got no response and that the engine may still execute.
type OutstandingOrder struct {
	Sequence int64 // number of accepted orders on which it is conditional, or AnySequence
	Order    Order
	Within   time.Duration // time within which it may be executed
}

// Outstanding is the set of the orders that engines may still execute although their sender
// has given them up. An order is conditional on the instance and on the number of orders that
// the instance has accepted. An engine that starts again under the same instance counts from
// zero, so that an order for its previous start becomes valid again at that number, in an
// engine with other contents. Outstanding is not safe for concurrent use.
type Outstanding struct {
	engines        map[string]map[conditionalOrder]time.Time // by instance: until when each may be executed
	inheritedUntil time.Time                                 // until when an order of the process before this one may be executed
	started        int64                                     // Report.Started of the last Observe
}

// conditionalOrder is an order and the number of accepted orders on which it is conditional.
type conditionalOrder struct {
	sequence int64
	order    Order
}

// NewOutstanding returns an empty set.
func NewOutstanding() *Outstanding {
	return &Outstanding{engines: map[string]map[conditionalOrder]time.Time{}}
}

// Inherit records that another process sent an engine orders until now. It may have ended before
// it reported the last one, the response to which was outstanding.
func (u *Outstanding) Inherit(now time.Time) { u.inheritedUntil = now.Add(OrderLifetime) }

// Observe takes note of an engine's state before an order is planned, and returns the order that
// it added, if any: after Inherit, one with AnySequence for each start of the engine. A start that
// had accepted orders when it was first seen got them from the process before, unless they were
// outstanding orders for an earlier start. The last order of that process is then conditional on
// the present start.
func (u *Outstanding) Observe(now time.Time, r *Report) []OutstandingOrder {
	if r.Started == u.started {
		return nil
	}
	first := u.started == 0
	u.started = r.Started
	if first && r.Sequence > 0 && !u.mayBeFirst(now, r.Instance) {
		return nil
	}
	return u.Add(now, r.Instance, OutstandingOrder{Sequence: AnySequence, Within: u.inheritedUntil.Sub(now)})
}

// mayBeFirst reports whether an outstanding order may be the first one that a start of the engine
// accepts.
func (u *Outstanding) mayBeFirst(now time.Time, instance string) bool {
	for key, until := range u.engines[instance] {
		if now.Before(until) && (key.sequence == 0 || key.sequence == AnySequence) {
			return true
		}
	}
	return false
}

// Add adds orders for an instance. It returns those that changed the set.
func (u *Outstanding) Add(now time.Time, instance string, added ...OutstandingOrder) []OutstandingOrder {
	var changed []OutstandingOrder
	for _, o := range added {
		o.Within = min(o.Within, OrderLifetime)
		if o.Within <= 0 {
			continue
		}
		known := u.engines[instance]
		if known == nil {
			known = map[conditionalOrder]time.Time{}
			u.engines[instance] = known
		}
		key := conditionalOrder{sequence: o.Sequence, order: o.Order}
		until, ok := known[key]
		if end := now.Add(o.Within); !ok || end.Sub(until) >= refreshAfter {
			known[key] = end
			changed = append(changed, o)
		}
	}
	return changed
}

// Orders returns the orders for an instance, by sequence.
func (u *Outstanding) Orders(now time.Time, instance string) []OutstandingOrder {
	var found []OutstandingOrder
	for key, until := range u.engines[instance] {
		if now.Before(until) {
			found = append(found, OutstandingOrder{Sequence: key.sequence, Order: key.order, Within: until.Sub(now)})
		}
	}
	slices.SortFunc(found, func(a, b OutstandingOrder) int {
		return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Order.Adapter.Name, b.Order.Adapter.Name))
	})
	return found
}

// Expire removes the orders that can't be executed any more.
func (u *Outstanding) Expire(now time.Time) {
	for instance, known := range u.engines {
		for key, until := range known {
			if !now.Before(until) {
				delete(known, key)
			}
		}
		if len(known) == 0 {
			delete(u.engines, instance)
		}
	}
}

// usage returns the most that outstanding orders may take of an engine in the state of r once it
// has accepted sequence orders. Executing one makes the next one valid, so that they are followed
// as long as their sequences have no gap.
func (u *Outstanding) usage(now time.Time, r *Report, sequence int64, c Capacity) Usage {
	known := u.engines[r.Instance]
	if len(known) == 0 {
		return Usage{}
	}
	bySequence := map[int64]Usage{}
	anywhere := 0 // orders that may fill a gap
	for key, until := range known {
		switch {
		case !now.Before(until):
		case key.sequence == AnySequence:
			anywhere++
		default:
			most, o := bySequence[key.sequence], key.order.usage(r, c)
			bySequence[key.sequence] = Usage{Slots: max(most.Slots, o.Slots), MB: max(most.MB, o.MB)}
		}
	}
	var sum Usage
	for ; ; sequence++ {
		next, ok := bySequence[sequence]
		if !ok {
			if anywhere == 0 {
				return sum
			}
			anywhere--
			next = c.adapter(Adapter{}) // one of the largest
		}
		sum = sum.plus(next)
	}
}

// usage returns what executing the order may take of an engine in the state of r. An order to
// unload frees only what the engine holds, which is not known of one that has started again.
func (o Order) usage(r *Report, c Capacity) Usage {
	switch {
	case o.Unload, o.Adapter.Name == "" && r.HoldsModel(o.Adapter.Model):
		return Usage{}
	case o.Adapter.Name == "":
		return Usage{MB: c.size(o.Adapter.Model).WeightsMB}
	}
	return c.adapter(o.Adapter)
}
