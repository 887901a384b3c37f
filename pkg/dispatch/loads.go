package dispatch

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/residency"
)

// Times of loading.
const (
	// passingBound is how long requests with resident adapters may pass one
	// that finds every adapter in use. Then an adapter is retired for it.
	passingBound = time.Second
	// prefetchInterval is the time between two searches for an adapter that is
	// worth loading though no request waits for it.
	prefetchInterval = 500 * time.Millisecond
	// firstBackoff is how long an adapter is not loaded after a first failure;
	// it doubles with each further one, up to lastBackoff.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 30 * time.Second
)

// Need says how urgent a load is.
type Need struct {
	Waiting int       // requests that wait for it; zero for loading ahead
	StartBy time.Time // earliest start-by time among them
	Team    string    // whose requests they are
	Part    float64   // of the target that a borrowing team may use; zero for the owner
}

// Budget says when a load may start, so that all targets together stay within
// what the weight store allows.
type Budget interface {
	// Take uses up the right to start one load and reports whether there was one.
	Take(now time.Time, need Need) bool
	// NextTake returns when Take may succeed, or zero if that is not known.
	NextTake(now time.Time) time.Time
	// Done records that a load has ended.
	Done(now time.Time)
}

// noBudget lets every load start at once.
type noBudget struct{}

func (noBudget) Take(time.Time, Need) bool    { return true }
func (noBudget) NextTake(time.Time) time.Time { return time.Time{} }
func (noBudget) Done(time.Time)               {}

// failure is the state of an adapter whose loads failed.
type failure struct {
	count int
	until time.Time
}

// loads keeps what the dispatcher knows of loads beyond the residency table.
type loads struct {
	budget       Budget
	failures     map[adapter.ID]failure
	loading      int
	paid         int // places made whose load has its right already
	nextPrefetch time.Time
}

func newLoads() loads {
	return loads{budget: noBudget{}, failures: map[adapter.ID]failure{}}
}

// backingOff reports whether the last load of id failed a short time ago.
func (l *loads) backingOff(now time.Time, id adapter.ID) bool {
	f, ok := l.failures[id]
	return ok && now.Before(f.until)
}

// ended records the end of a load.
func (l *loads) ended(now time.Time, id adapter.ID, ok bool) {
	l.loading = max(0, l.loading-1)
	l.budget.Done(now)
	if ok {
		delete(l.failures, id)
		return
	}
	f := l.failures[id]
	pause := min(lastBackoff, firstBackoff<<min(f.count, 6))
	l.failures[id] = failure{count: f.count + 1, until: now.Add(pause)}
}

// want is one absent adapter that requests wait for.
type want struct {
	id    adapter.ID
	first *waiting
	need  Need
}

// wants returns the absent adapters of the requests that would start next: the
// owner's first, then the borrowers' in their fair order, for no more requests
// of a team than the target runs at once.
func (d *Dispatcher) wants() []want {
	var out []want
	teams := d.queue.sorted()
	for _, t := range teams {
		if t.team == d.limits.Owner {
			out = d.teamWants(out, t)
		}
	}
	for _, t := range teams {
		if t.team != d.limits.Owner {
			out = d.teamWants(out, t)
		}
	}
	return out
}

func (d *Dispatcher) teamWants(out []want, t *teamQueue) []want {
	if d.slotsLeft(t.team) <= 0 {
		return out
	}
	part := d.partOf(t.team)
	for _, w := range t.items[:min(len(t.items), d.limits.Slots)] {
		out = addWant(out, w, part, d.table)
	}
	return out
}

func addWant(out []want, w *waiting, part float64, table *residency.Table) []want {
	id := w.request.Adapter
	if id.IsZero() || table.State(id) == residency.Resident || table.State(id) == residency.Loading {
		return out
	}
	for i := range out {
		if out[i].id == id {
			out[i].need.Waiting++
			if w.request.StartBy.Before(out[i].need.StartBy) {
				out[i].need.StartBy = w.request.StartBy
			}
			return out
		}
	}
	return append(out, want{id: id, first: w, need: Need{
		Waiting: 1,
		StartBy: w.request.StartBy,
		Team:    w.request.Team,
		Part:    part,
	}})
}

// load orders the loads, and the unloads that make room for them, of the
// requests that would start next. A right to load is taken before room is made,
// so that no place is empty while the right is awaited.
func (d *Dispatcher) load(now time.Time, actions []Action) []Action {
	freeing := d.table.Count(residency.Unloading)
	wants := d.wants()
	for _, w := range wants {
		if d.table.State(w.id) != residency.Absent || d.loads.backingOff(now, w.id) {
			continue
		}
		place := d.table.HasPlace(w.id)
		if !place && freeing > 0 {
			freeing-- // the place that comes free is for this one
			continue
		}
		if !place && !d.table.HasVictim(w.id) {
			d.retire(now, w)
			continue
		}
		if !d.loads.take(now, w.need, place) {
			continue // another team may have a right
		}
		actions = d.orderLoad(now, w.id, actions)
	}
	if len(wants) == 0 {
		return d.prefetch(now, actions)
	}
	return actions
}

// retire lets an adapter go for w, once w was passed for too long.
func (d *Dispatcher) retire(now time.Time, w want) {
	if now.Sub(w.first.arrived) >= passingBound {
		d.table.Retire(w.id)
	}
}

// take returns whether a load may be ordered: with the right that its place was
// made with, or a new one.
func (l *loads) take(now time.Time, need Need, place bool) bool {
	if place && l.paid > 0 {
		l.paid--
		return true
	}
	return l.budget.Take(now, need)
}

// orderLoad uses the right that was taken: it orders the load, or the unload
// that makes room for it. Then the right stands for the place.
func (d *Dispatcher) orderLoad(now time.Time, id adapter.ID, actions []Action) []Action {
	step := d.table.Want(now, id)
	switch step.Kind {
	case residency.Load:
		d.loads.loading++
		return append(actions, Action{Kind: Load, Adapter: id})
	case residency.Unload:
		d.loads.paid++
		return append(actions, Action{Kind: Unload, Adapter: step.Victim})
	}
	return actions
}

// prefetch loads one adapter ahead of the requests for it, when none waits for
// a load.
func (d *Dispatcher) prefetch(now time.Time, actions []Action) []Action {
	if now.Before(d.loads.nextPrefetch) || d.loads.loading > 0 || d.draining {
		return actions
	}
	d.loads.nextPrefetch = now.Add(prefetchInterval)
	id, ok := d.table.Prefetch(now, func(id adapter.ID) bool {
		return d.terms.SlotsFor(id.Team) > 0 && !d.loads.backingOff(now, id)
	})
	if !ok || d.table.Count(residency.Unloading) > 0 || !d.loads.take(now, Need{}, d.table.HasPlace(id)) {
		return actions
	}
	d.loads.nextPrefetch = now
	first := len(actions)
	actions = d.orderLoad(now, id, actions)
	for i := range actions[first:] {
		actions[first+i].Ahead = true
	}
	return actions
}

// Loaded records the end of a load. After a failure, the requests that waited
// for it are refused, and the adapter is not loaded again for a while.
func (d *Dispatcher) Loaded(now time.Time, id adapter.ID, ok bool) []Action {
	d.loads.ended(now, id, ok)
	if ok {
		d.table.Loaded(id)
		return nil
	}
	d.table.LoadFailed(id)
	return d.refuseWaiting(outcome.LoadFailed, func(r *Request) bool { return r.Adapter == id })
}

// Unloaded records the end of an unload.
func (d *Dispatcher) Unloaded(id adapter.ID) { d.table.Unloaded(id) }

// EngineRestarted records that the engine lost its adapters and requests. The
// caller reports each running request with Finished as its connection breaks.
func (d *Dispatcher) EngineRestarted() { d.table.Restarted() }
