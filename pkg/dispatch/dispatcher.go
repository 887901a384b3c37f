package dispatch

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/residency"
)

// RequestKey identifies one attempt at a request.
type RequestKey struct {
	Request string
	Attempt uint32
}

// Request is the dispatcher's record of one attempt at a request.
type Request struct {
	Key      RequestKey
	Team     string
	Adapter  adapter.ID // zero for plain services
	Priority int8       // a higher value starts earlier
	Suspect  bool       // was in flight when an engine crashed; suspects run one at a time
	StartBy  time.Time  // deadline for the start of the attempt

	arrived time.Time // when it was submitted
	pinned  bool      // whether it holds a pin on its adapter
}

// Limits are the capacity limits of one target.
type Limits struct {
	Owner    string // team that owns the target
	Slots    int    // maximum number of running requests
	Adapters int    // number of adapter slots of the engine
	Queue    int    // maximum number of queued requests
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Start  ActionKind = iota // run Request, whose adapter is pinned
	Refuse                   // report to the sender of Request that it did not run
	Load                     // order the engine to load Adapter
	Unload                   // order the engine to unload Adapter
)

// Action is an action that the caller must perform.
type Action struct {
	Kind     ActionKind
	Request  *Request
	Adapter  adapter.ID
	Reason   outcome.Reason // for Refuse
	Prefetch bool           // for Load and Unload: part of a prefetch, for which no request waits
}

// Report is the load of a target.
type Report struct {
	Running  int // running requests
	Queued   int // queued requests
	Ready    int // queued requests that wait only for a slot
	Draining bool
}

// Dispatcher schedules the requests and adapter loads of one target.
type Dispatcher struct {
	limits         Limits
	quotas         SlotQuotas
	table          *residency.Table
	queue          *fairQueue
	loads          loadTracker
	running        map[RequestKey]*Request
	byTeam         map[string]int // running requests of each team
	borrowed       int            // running requests of teams other than the owner
	runningSuspect *Request       // nil if no suspect is running
	draining       bool
}

// SlotQuotas are the teams' quotas of the target's slots.
type SlotQuotas interface {
	// SlotsFor returns the maximum number of slots that team may use at once.
	// Teams other than the owner borrow slots from a common pool: for each of
	// them the value also bounds the slots that all borrowers use together.
	SlotsFor(team string) int
}

// New returns a dispatcher for an idle target with an empty engine. It panics
// unless all numeric limits are positive.
func New(limits Limits, quotas SlotQuotas) *Dispatcher {
	if limits.Slots <= 0 || limits.Adapters <= 0 || limits.Queue <= 0 {
		panic("dispatch: limits must be positive")
	}
	return &Dispatcher{
		limits:  limits,
		quotas:  quotas,
		table:   residency.New(limits.Adapters),
		queue:   newFairQueue(),
		loads:   newLoadTracker(),
		running: map[RequestKey]*Request{},
		byTeam:  map[string]int{},
	}
}

// SetQuotas replaces the quotas. Running requests are not affected.
func (d *Dispatcher) SetQuotas(quotas SlotQuotas) { d.quotas = quotas }

// SetBudget makes each load take a permit from b. Without a budget loads are not
// limited.
func (d *Dispatcher) SetBudget(b Budget) { d.loads.budget = b }

// Submit queues r and returns outcome.NoReason, or returns the reason why r is
// refused.
func (d *Dispatcher) Submit(now time.Time, r *Request) outcome.Reason {
	switch {
	case d.draining:
		return outcome.Draining
	case !now.Before(r.StartBy):
		return outcome.Expired
	case d.quotas.SlotsFor(r.Team) <= 0:
		return outcome.OverQuota
	case !r.Adapter.IsZero() && d.loads.backingOff(now, r.Adapter):
		return outcome.LoadFailed
	case d.queueFull(r.Team):
		return outcome.Overloaded
	}
	if !r.Adapter.IsZero() {
		d.table.Observe(now, r.Adapter)
	}
	d.limitBorrowedAdapters(r.Team)
	r.arrived = now
	d.queue.add(now, r)
	return outcome.NoReason
}

// Next returns the actions to perform at now. The caller must call it after
// every other call that changes the dispatcher, and at the time that
// NextDeadline returns.
func (d *Dispatcher) Next(now time.Time) []Action {
	actions := d.refuseQueued(outcome.Expired, func(r *Request) bool { return !now.Before(r.StartBy) })
	for len(d.running) < d.limits.Slots {
		t, i := d.pickNext()
		if t == nil {
			break
		}
		actions = append(actions, d.start(now, t, i))
	}
	return d.orderLoads(now, actions)
}

// pickNext returns the team and the queue index of the next request to start, or
// nil if there is none. It takes the first team in fair-queueing order that has
// a slot left and a request that can start now.
func (d *Dispatcher) pickNext() (*teamQueue, int) {
	for _, t := range d.queue.sortTeams() {
		if d.slotsLeft(t.team) <= 0 {
			continue
		}
		for i, w := range t.items {
			if d.startable(w.request) {
				return t, i
			}
		}
	}
	return nil, 0
}

// startable reports whether r waits only for a slot: its adapter is usable and,
// if r is a suspect, no other suspect is running.
func (d *Dispatcher) startable(r *Request) bool {
	if r.Suspect && d.runningSuspect != nil {
		return false
	}
	return r.Adapter.IsZero() || d.table.Usable(r.Adapter)
}

// queueFull reports whether the queue has no space for another request of team.
// Borrowers get the same fraction of the queue as of the slots, split evenly
// among the borrowers with queued requests, so that none of them can fill the
// queue for the others.
func (d *Dispatcher) queueFull(team string) bool {
	if team == d.limits.Owner {
		return d.queue.size >= d.limits.Queue
	}
	queued, borrowers := 0, 1
	for _, t := range d.queue.teams {
		switch t.team {
		case team:
			queued = len(t.items)
		case d.limits.Owner:
		default:
			borrowers++
		}
	}
	share := d.limits.Queue * d.quotas.SlotsFor(team) / d.limits.Slots / borrowers
	return queued >= max(1, share) || d.queue.size >= d.limits.Queue
}

// slotsLeft returns how many more requests of team may start under the quotas.
// It may be negative after the quotas were lowered.
func (d *Dispatcher) slotsLeft(team string) int {
	left := d.quotas.SlotsFor(team) - d.byTeam[team]
	if team == d.limits.Owner {
		return left
	}
	lentLeft := d.quotas.SlotsFor(team) - d.borrowed
	if lentLeft == 1 && d.byTeam[team] > 0 {
		return 0 // the last lent slot is reserved for a team that uses none
	}
	return min(left, lentLeft)
}

// lentShare returns the fraction of the target's slots that a borrowing team may
// use, and zero for the owner.
func (d *Dispatcher) lentShare(team string) float64 {
	if team == d.limits.Owner {
		return 0
	}
	return float64(d.quotas.SlotsFor(team)) / float64(d.limits.Slots)
}

// limitBorrowedAdapters limits borrowers to the same fraction of the adapter
// slots as of the request slots, but at least one.
func (d *Dispatcher) limitBorrowedAdapters(team string) {
	if team == d.limits.Owner {
		return
	}
	limit := d.quotas.SlotsFor(team) * d.limits.Adapters / d.limits.Slots
	d.table.LimitBorrowed(d.limits.Owner, max(1, limit))
}

// start moves the i-th queued request of t to the running ones and pins its
// adapter.
func (d *Dispatcher) start(now time.Time, t *teamQueue, i int) Action {
	d.queue.charge(t, float64(d.quotas.SlotsFor(t.team)))
	r := d.queue.removeAt(t, i).request
	if !r.Adapter.IsZero() {
		d.table.Pin(now, r.Adapter)
		r.pinned = true
	}
	d.running[r.Key] = r
	d.byTeam[r.Team]++
	if r.Team != d.limits.Owner {
		d.borrowed++
	}
	if r.Suspect {
		d.runningSuspect = r
	}
	return Action{Kind: Start, Request: r}
}

// Finished records that a started request has ended, whatever its outcome. It
// does nothing if no such request is running.
func (d *Dispatcher) Finished(now time.Time, key RequestKey) {
	r := d.running[key]
	if r == nil {
		return
	}
	delete(d.running, key)
	if d.runningSuspect == r {
		d.runningSuspect = nil
	}
	d.byTeam[r.Team]--
	if r.Team != d.limits.Owner {
		d.borrowed--
	}
	if d.byTeam[r.Team] == 0 {
		delete(d.byTeam, r.Team)
	}
	if r.pinned {
		r.pinned = false
		d.table.Unpin(now, r.Adapter)
	}
}

// Withdraw removes a queued request and reports whether it was queued. Started
// requests are not affected.
func (d *Dispatcher) Withdraw(key RequestKey) bool {
	return len(d.queue.removeIf(func(r *Request) bool { return r.Key == key })) > 0
}

// Drain makes Submit refuse further requests and returns the refusals of all
// queued ones, so that their senders send them to other targets.
func (d *Dispatcher) Drain() []Action {
	d.draining = true
	return d.refuseQueued(outcome.Draining, func(*Request) bool { return true })
}

// refuseQueued removes the queued requests that match accepts and returns their
// refusals.
func (d *Dispatcher) refuseQueued(reason outcome.Reason, match func(*Request) bool) []Action {
	var actions []Action
	for _, r := range d.queue.removeIf(match) {
		actions = append(actions, Action{Kind: Refuse, Request: r, Reason: reason})
	}
	return actions
}

// Report returns the current load of the target.
func (d *Dispatcher) Report() Report {
	return Report{Running: len(d.running), Queued: d.queue.size, Ready: d.countReady(), Draining: d.draining}
}

// countReady returns the number of queued requests that wait only for a slot. It
// is zero while slots are free: then only the quotas can hold back a startable
// request.
func (d *Dispatcher) countReady() int {
	if len(d.running) < d.limits.Slots {
		return 0
	}
	n := 0
	for _, t := range d.queue.teams {
		for _, w := range t.items {
			if d.startable(w.request) {
				n++
			}
		}
	}
	return n
}

// Resident returns the resident adapters, sorted by ID.
func (d *Dispatcher) Resident() []adapter.ID { return d.table.Resident() }

// EvictionDemand returns the decayed demand for the adapter that a load would
// evict. See residency.Table.EvictionDemand.
func (d *Dispatcher) EvictionDemand(now time.Time) float64 { return d.table.EvictionDemand(now) }

// NextDeadline returns the earliest time at which a queued request expires or
// the budget may permit a load, or the zero time when the queue is empty.
func (d *Dispatcher) NextDeadline(now time.Time) time.Time {
	var earliest time.Time
	for _, t := range d.queue.teams {
		for _, w := range t.items {
			if earliest.IsZero() || w.request.StartBy.Before(earliest) {
				earliest = w.request.StartBy
			}
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	if next := d.loads.budget.NextPermit(now); next.After(now) && next.Before(earliest) {
		earliest = next
	}
	return earliest
}

// Held returns the adapters that are resident, loading, or needed by queued
// requests, so that further requests for them are routed to this target too.
func (d *Dispatcher) Held() []adapter.ID {
	held := d.table.Held()
	seen := make(map[adapter.ID]bool, len(held)+d.queue.size)
	for _, id := range held {
		seen[id] = true
	}
	for _, t := range d.queue.teams {
		for _, w := range t.items {
			if id := w.request.Adapter; !id.IsZero() && !seen[id] {
				seen[id] = true
				held = append(held, id)
			}
		}
	}
	return held
}
