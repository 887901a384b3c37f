package dispatch

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/residency"
)

// RequestKey identifies one attempt at one request.
type RequestKey struct {
	Request string
	Attempt uint32
}

// Request is one attempt as the dispatcher sees it.
type Request struct {
	Key      RequestKey
	Team     string
	Adapter  adapter.ID // zero for plain services
	Priority int8       // higher ones start first
	Suspect  bool       // was in flight at a crash: suspects run one at a time
	StartBy  time.Time  // when the attempt must have started
}

// Limits are the bounds of one target.
type Limits struct {
	Owner    string // team that owns the target
	Slots    int    // requests that run at once
	Adapters int    // adapters that the engine holds at once
	Queue    int    // requests that wait at once
}

// ActionKind says what to do.
type ActionKind uint8

// The kinds of action.
const (
	Start  ActionKind = iota // run Request; its adapter is pinned
	Refuse                   // tell the sender of Request that it did not run
	Load                     // order the engine to load Adapter
	Unload                   // order the engine to unload Adapter
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Request *Request
	Adapter adapter.ID
	Reason  outcome.Reason // for Refuse
	Ahead   bool           // for Load and Unload: no request waits for the load
}

// Report is what a target says of itself.
type Report struct {
	Running  int
	Queued   int
	Ready    int // queued requests that wait for a slot only
	Draining bool
}

// Dispatcher decides for one target.
type Dispatcher struct {
	limits   Limits
	terms    Terms
	table    *residency.Table
	queue    *fairQueue
	loads    loads
	running  map[RequestKey]*Request
	byTeam   map[string]int // running requests
	borrowed int            // running requests of teams other than the owner
	suspect  *Request       // the suspect that runs, if any
	draining bool
}

// Terms says how many of the target's slots a team may use at once.
type Terms interface {
	// SlotsFor returns the most slots of the target that team may use. All
	// teams but the owner share what is lent: together they use no more.
	SlotsFor(team string) int
}

// New returns the dispatcher of an idle target. It panics unless all limits
// are positive.
func New(limits Limits, terms Terms) *Dispatcher {
	if limits.Slots <= 0 || limits.Adapters <= 0 || limits.Queue <= 0 {
		panic("dispatch: limits must be positive")
	}
	return &Dispatcher{
		limits:  limits,
		terms:   terms,
		table:   residency.New(limits.Adapters),
		queue:   newFairQueue(),
		loads:   newLoads(),
		running: map[RequestKey]*Request{},
		byTeam:  map[string]int{},
	}
}

// SetTerms puts other terms in force. What runs already goes on.
func (d *Dispatcher) SetTerms(terms Terms) { d.terms = terms }

// SetBudget makes loads wait for the budget b. Without one they start at once.
func (d *Dispatcher) SetBudget(b Budget) { d.loads.budget = b }

// Submit queues r, or returns the reason why r is refused.
func (d *Dispatcher) Submit(now time.Time, r *Request) outcome.Reason {
	switch {
	case d.draining:
		return outcome.Draining
	case !now.Before(r.StartBy):
		return outcome.Expired
	case d.terms.SlotsFor(r.Team) <= 0:
		return outcome.OverTerms
	case !r.Adapter.IsZero() && d.loads.backingOff(now, r.Adapter):
		return outcome.LoadFailed
	case d.queueFull(r.Team):
		return outcome.Overloaded
	}
	if !r.Adapter.IsZero() {
		d.table.Observe(now, r.Adapter)
	}
	d.limitBorrowed(r.Team)
	d.queue.add(now, r)
	return outcome.NoReason
}

// Next returns what to do now. It must be called after every other call that
// changes the dispatcher, and when the time of NextDeadline has come.
func (d *Dispatcher) Next(now time.Time) []Action {
	actions := d.refuseWaiting(outcome.Expired, func(r *Request) bool { return !now.Before(r.StartBy) })
	for len(d.running) < d.limits.Slots {
		t, i := d.pick()
		if t == nil {
			break
		}
		actions = append(actions, d.start(now, t, i))
	}
	return d.load(now, actions)
}

// pick returns the team and the index of the request to start, or nil: of the
// teams in their fair order the first with a request that can start now.
func (d *Dispatcher) pick() (*teamQueue, int) {
	for _, t := range d.queue.sorted() {
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

// startable reports whether r waits for nothing but a slot: its adapter is
// resident, and no other suspect runs if it is one.
func (d *Dispatcher) startable(r *Request) bool {
	if r.Suspect && d.suspect != nil {
		return false
	}
	return r.Adapter.IsZero() || d.table.Usable(r.Adapter)
}

// queueFull reports whether one more request of team may not wait. Borrowers
// have the part of the queue that they have of the slots, split evenly among
// those that wait, so that none fills it for the others.
func (d *Dispatcher) queueFull(team string) bool {
	if team == d.limits.Owner {
		return d.queue.n >= d.limits.Queue
	}
	waiting, borrowers := 0, 1
	for _, t := range d.queue.teams {
		switch t.team {
		case team:
			waiting = len(t.items)
		case d.limits.Owner:
		default:
			borrowers++
		}
	}
	part := d.limits.Queue * d.terms.SlotsFor(team) / d.limits.Slots / borrowers
	return waiting >= max(1, part) || d.queue.n >= d.limits.Queue
}

// slotsLeft returns how many more requests of team the terms let start.
func (d *Dispatcher) slotsLeft(team string) int {
	left := d.terms.SlotsFor(team) - d.byTeam[team]
	if team == d.limits.Owner {
		return left
	}
	lent := d.terms.SlotsFor(team) - d.borrowed
	if lent == 1 && d.byTeam[team] > 0 {
		return 0 // the last lent slot is for a team that has none
	}
	return min(left, lent)
}

// partOf returns the part of the target that a borrowing team may use, and zero
// for the owner.
func (d *Dispatcher) partOf(team string) float64 {
	if team == d.limits.Owner {
		return 0
	}
	return float64(d.terms.SlotsFor(team)) / float64(d.limits.Slots)
}

// limitBorrowed gives borrowers the part of the adapter places that they have
// of the slots, and at least one.
func (d *Dispatcher) limitBorrowed(team string) {
	if team == d.limits.Owner {
		return
	}
	most := d.terms.SlotsFor(team) * d.limits.Adapters / d.limits.Slots
	d.table.LimitBorrowed(d.limits.Owner, max(1, most))
}

func (d *Dispatcher) start(now time.Time, t *teamQueue, i int) Action {
	d.queue.charge(t, float64(d.terms.SlotsFor(t.team)))
	r := d.queue.take(t, i).request
	if !r.Adapter.IsZero() {
		d.table.Pin(now, r.Adapter)
	}
	d.running[r.Key] = r
	d.byTeam[r.Team]++
	if r.Team != d.limits.Owner {
		d.borrowed++
	}
	if r.Suspect {
		d.suspect = r
	}
	return Action{Kind: Start, Request: r}
}

// Finished records that a started request has ended, in whatever way.
func (d *Dispatcher) Finished(now time.Time, key RequestKey) {
	r := d.running[key]
	if r == nil {
		return
	}
	delete(d.running, key)
	if d.suspect == r {
		d.suspect = nil
	}
	d.byTeam[r.Team]--
	if r.Team != d.limits.Owner {
		d.borrowed--
	}
	if d.byTeam[r.Team] == 0 {
		delete(d.byTeam, r.Team)
	}
	if !r.Adapter.IsZero() {
		d.table.Unpin(now, r.Adapter)
	}
}

// Withdraw removes a request that waits and reports whether it did. A request
// that has started is not found.
func (d *Dispatcher) Withdraw(key RequestKey) bool {
	return len(d.queue.removeIf(func(r *Request) bool { return r.Key == key })) > 0
}

// Drain stops taking requests and refuses the ones that wait, so that their
// senders move them elsewhere.
func (d *Dispatcher) Drain() []Action {
	d.draining = true
	return d.refuseWaiting(outcome.Draining, func(*Request) bool { return true })
}

func (d *Dispatcher) refuseWaiting(reason outcome.Reason, which func(*Request) bool) []Action {
	var actions []Action
	for _, r := range d.queue.removeIf(which) {
		actions = append(actions, Action{Kind: Refuse, Request: r, Reason: reason})
	}
	return actions
}

// Report returns the target's load.
func (d *Dispatcher) Report() Report {
	return Report{Running: len(d.running), Queued: d.queue.n, Ready: d.ready(), Draining: d.draining}
}

// ready counts the requests that wait for a slot only. While slots are free
// there are none but those that the terms hold back.
func (d *Dispatcher) ready() int {
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

// Resident returns the adapters that the engine holds, in order of name.
func (d *Dispatcher) Resident() []adapter.ID { return d.table.Resident() }

// Floor returns the decayed demand for the adapter that a load would replace.
func (d *Dispatcher) Floor(now time.Time) float64 { return d.table.Floor(now) }

// NextDeadline returns the earliest time at which a waiting request expires or
// may be loaded for, or zero when none waits.
func (d *Dispatcher) NextDeadline(now time.Time) time.Time {
	var first time.Time
	for _, t := range d.queue.teams {
		for _, w := range t.items {
			if first.IsZero() || w.request.StartBy.Before(first) {
				first = w.request.StartBy
			}
		}
	}
	if first.IsZero() {
		return first
	}
	if next := d.loads.budget.NextTake(now); next.After(now) && next.Before(first) {
		first = next
	}
	return first
}

// Held returns the adapters that the engine holds, is loading, or will load for
// requests that wait, so that further requests for them come here too.
func (d *Dispatcher) Held() []adapter.ID {
	held := d.table.Held()
	seen := make(map[adapter.ID]bool, len(held)+d.queue.n)
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
