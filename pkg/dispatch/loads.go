package dispatch

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/residency"
)

// Intervals of adapter loading.
const (
	// maxBypassTime is how long requests for resident adapters may overtake one
	// whose adapter can't be loaded because all resident adapters are in use.
	// After that, an adapter is retired for it.
	maxBypassTime = time.Second
	// prefetchInterval is the time between two searches for an adapter to
	// prefetch.
	prefetchInterval = 500 * time.Millisecond
	// minBackoff is the backoff of an adapter after the first failed load. It doubles
	// with each further failure, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
	// maxBackoffShift bounds the doublings of minBackoff, so that the shift can't
	// overflow. Its result, 32 s, exceeds maxBackoff.
	maxBackoffShift = 6
)

// LoadNeed describes the urgency of a load. The zero LoadNeed is that of a
// prefetch.
type LoadNeed struct {
	Waiting   int       // requests that wait for the load; zero for a prefetch
	StartBy   time.Time // earliest start-by time of these requests
	Team      string    // team of these requests
	LentShare float64   // fraction of the target that a borrowing team may use; zero for the owner
}

// Budget issues permits for adapter loads, so that the loads of all targets
// together stay within the limits of the weight store.
type Budget interface {
	// TakePermit takes a permit to start one load and reports whether one was
	// available.
	TakePermit(now time.Time, need LoadNeed) bool
	// NextPermit returns the time at which TakePermit may succeed, or the zero
	// time if it is not known.
	NextPermit(now time.Time) time.Time
	// Done records that a load has ended, successfully or not.
	Done(now time.Time)
}

// noBudget is a Budget that permits all loads.
type noBudget struct{}

func (noBudget) TakePermit(time.Time, LoadNeed) bool { return true }
func (noBudget) NextPermit(time.Time) time.Time      { return time.Time{} }
func (noBudget) Done(time.Time)                      {}

// loadBackoff is the backoff state of an adapter whose last loads failed.
type loadBackoff struct {
	failures int
	until    time.Time // no load starts before
}

// loadTracker tracks permits, failures and prefetches of adapter loads. The
// residency table tracks the states of the adapters.
type loadTracker struct {
	budget          Budget
	backoffs        map[adapter.ID]loadBackoff
	inProgress      int
	reservedPermits int // permits taken for loads whose eviction was ordered first
	nextPrefetch    time.Time
}

func newLoadTracker() loadTracker {
	return loadTracker{budget: noBudget{}, backoffs: map[adapter.ID]loadBackoff{}}
}

// backingOff reports whether id must not be loaded yet after a failed load.
func (l *loadTracker) backingOff(now time.Time, id adapter.ID) bool {
	b, ok := l.backoffs[id]
	return ok && now.Before(b.until)
}

// recordEnd records the end of a load of id and whether it succeeded.
func (l *loadTracker) recordEnd(now time.Time, id adapter.ID, ok bool) {
	l.inProgress = max(0, l.inProgress-1)
	l.budget.Done(now)
	if ok {
		delete(l.backoffs, id)
		return
	}
	b := l.backoffs[id]
	backoff := min(maxBackoff, minBackoff<<min(b.failures, maxBackoffShift))
	l.backoffs[id] = loadBackoff{failures: b.failures + 1, until: now.Add(backoff)}
}

// pendingLoad is an adapter that queued requests wait for and that is neither
// resident nor loading.
type pendingLoad struct {
	id   adapter.ID
	head *queuedRequest // first of these requests in the order of the queue
	need LoadNeed
}

// pendingLoads returns the adapters to load for the requests that would start
// next: the owner's first, then the borrowers' in fair-queueing order. Of each
// team it considers at most as many requests as the target has slots.
func (d *Dispatcher) pendingLoads() []pendingLoad {
	var out []pendingLoad
	teams := d.queue.sortTeams()
	for _, t := range teams {
		if t.team == d.limits.Owner {
			out = d.appendTeamLoads(out, t)
		}
	}
	for _, t := range teams {
		if t.team != d.limits.Owner {
			out = d.appendTeamLoads(out, t)
		}
	}
	return out
}

// appendTeamLoads appends the pending loads of one team, or none if the team has
// no slots left.
func (d *Dispatcher) appendTeamLoads(out []pendingLoad, t *teamQueue) []pendingLoad {
	if d.slotsLeft(t.team) <= 0 {
		return out
	}
	lentShare := d.lentShare(t.team)
	for _, w := range t.items[:min(len(t.items), d.limits.Slots)] {
		out = appendPendingLoad(out, w, lentShare, d.table)
	}
	return out
}

// appendPendingLoad adds the load that w waits for, if any, to out. Requests for
// the same adapter share one pending load.
func appendPendingLoad(out []pendingLoad, w *queuedRequest, lentShare float64, table *residency.Table) []pendingLoad {
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
	return append(out, pendingLoad{id: id, head: w, need: LoadNeed{
		Waiting:   1,
		StartBy:   w.request.StartBy,
		Team:      w.request.Team,
		LentShare: lentShare,
	}})
}

// orderLoads appends the loads for the requests that would start next, and the
// evictions that free slots for them. A load permit is taken before an adapter
// is evicted, so that no slot stays empty while the load waits for a permit. If
// no load is pending, it considers a prefetch.
func (d *Dispatcher) orderLoads(now time.Time, actions []Action) []Action {
	freeing := d.table.Count(residency.Unloading)
	pending := d.pendingLoads()
	for _, p := range pending {
		if d.table.State(p.id) != residency.Absent || d.loads.backingOff(now, p.id) {
			continue
		}
		hasSlot := d.table.HasFreeSlot(p.id)
		if !hasSlot && freeing > 0 {
			freeing-- // the slot being freed is for this adapter
			continue
		}
		if !hasSlot && !d.table.HasVictim(p.id) {
			d.retireFor(now, p)
			continue
		}
		if !d.loads.takePermit(now, p.need, hasSlot) {
			continue // another team may get a permit
		}
		actions = d.orderLoad(now, p.id, actions)
	}
	if len(pending) == 0 {
		return d.prefetch(now, actions)
	}
	return actions
}

// retireFor retires an adapter to free a slot for p, once requests have
// overtaken p for maxBypassTime.
func (d *Dispatcher) retireFor(now time.Time, p pendingLoad) {
	if now.Sub(p.head.arrived) >= maxBypassTime {
		d.table.Retire(p.id)
	}
}

// takePermit reports whether a load may be ordered. It uses a reserved permit if
// the load has a slot, and otherwise takes a new one.
func (l *loadTracker) takePermit(now time.Time, need LoadNeed, hasSlot bool) bool {
	if hasSlot && l.reservedPermits > 0 {
		l.reservedPermits--
		return true
	}
	return l.budget.TakePermit(now, need)
}

// orderLoad uses the permit that the caller took: it orders the load of id, or
// the eviction that frees a slot for it. In the latter case the permit is
// reserved for the load that will use the slot.
func (d *Dispatcher) orderLoad(now time.Time, id adapter.ID, actions []Action) []Action {
	step := d.table.Prepare(now, id)
	switch step.Kind {
	case residency.Load:
		d.loads.inProgress++
		return append(actions, Action{Kind: Load, Adapter: id})
	case residency.Unload:
		d.loads.reservedPermits++
		return append(actions, Action{Kind: Unload, Adapter: step.Victim})
	}
	return actions
}

// prefetch orders the load of one adapter in demand that no request waits for.
// The caller ensures that no other load is pending.
func (d *Dispatcher) prefetch(now time.Time, actions []Action) []Action {
	if now.Before(d.loads.nextPrefetch) || d.loads.inProgress > 0 || d.draining {
		return actions
	}
	d.loads.nextPrefetch = now.Add(prefetchInterval)
	id, ok := d.table.Prefetch(now, func(id adapter.ID) bool {
		return d.quotas.SlotsFor(id.Team) > 0 && !d.loads.backingOff(now, id)
	})
	if !ok || d.table.Count(residency.Unloading) > 0 || !d.loads.takePermit(now, LoadNeed{}, d.table.HasFreeSlot(id)) {
		return actions
	}
	d.loads.nextPrefetch = now // the next search may follow as soon as this load has ended
	first := len(actions)
	actions = d.orderLoad(now, id, actions)
	for i := range actions[first:] {
		actions[first+i].Prefetch = true
	}
	return actions
}

// Loaded records the end of a load and whether it succeeded. After a failure it
// returns the refusals of the requests that waited for the load, and the adapter
// is not loaded again before its backoff has passed.
func (d *Dispatcher) Loaded(now time.Time, id adapter.ID, ok bool) []Action {
	d.loads.recordEnd(now, id, ok)
	if ok {
		d.table.Loaded(id)
		return nil
	}
	d.table.LoadFailed(id)
	return d.refuseQueued(outcome.LoadFailed, func(r *Request) bool { return r.Adapter == id })
}

// Unloaded records the end of an unload.
func (d *Dispatcher) Unloaded(id adapter.ID) { d.table.Unloaded(id) }

// EngineRestarted records that the engine restarted and lost its adapters and
// requests. The caller must still call Finished for each running request, when
// its connection breaks.
func (d *Dispatcher) EngineRestarted() {
	d.clearPins(func(*Request) bool { return true })
	d.table.Restarted()
}
