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
	StartBy  time.Time  // when the attempt must have started
	Suspect  bool       // was in flight at a crash: suspects run one at a time

	pinned bool // it holds a pin of its adapter
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
}

// Report is what a target says of itself.
type Report struct {
	Running  int
	Queued   int
	Draining bool
}

// Dispatcher decides for one target.
type Dispatcher struct {
	limits   Limits
	terms    Terms
	table    *residency.Table
	queue    []*Request
	running  map[RequestKey]*Request
	byTeam   map[string]int // running requests
	suspect  *Request       // the suspect that runs, if any
	draining bool
}

// Terms says how many of the target's slots a team may use at once.
type Terms interface {
	// SlotsFor returns the most slots of the target that team may use.
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
		running: map[RequestKey]*Request{},
		byTeam:  map[string]int{},
	}
}

// SetTerms puts other terms in force. What runs already goes on.
func (d *Dispatcher) SetTerms(terms Terms) { d.terms = terms }

// Submit queues r, or returns the reason why r is refused.
func (d *Dispatcher) Submit(now time.Time, r *Request) outcome.Reason {
	switch {
	case d.draining:
		return outcome.Draining
	case !now.Before(r.StartBy):
		return outcome.Expired
	case d.terms.SlotsFor(r.Team) <= 0:
		return outcome.OverTerms
	case len(d.queue) >= d.limits.Queue:
		return outcome.Overloaded
	}
	d.queue = append(d.queue, r)
	return outcome.NoReason
}

// Next returns what to do now. It must be called after every other call that
// changes the dispatcher, and when the time of NextDeadline has come.
func (d *Dispatcher) Next(now time.Time) []Action {
	var actions []Action
	kept := d.queue[:0]
	for _, r := range d.queue {
		a, keep := d.consider(now, r)
		if keep {
			kept = append(kept, r)
		}
		if a != nil {
			actions = append(actions, *a)
		}
	}
	clear(d.queue[len(kept):])
	d.queue = kept
	return actions
}

// consider returns the action that r gives rise to, if any, and whether r
// stays in the queue.
func (d *Dispatcher) consider(now time.Time, r *Request) (*Action, bool) {
	if !now.Before(r.StartBy) {
		return &Action{Kind: Refuse, Request: r, Reason: outcome.Expired}, false
	}
	if len(d.running) >= d.limits.Slots || d.byTeam[r.Team] >= d.terms.SlotsFor(r.Team) {
		return nil, true
	}
	if r.Suspect && d.suspect != nil {
		return nil, true
	}
	if r.Adapter.IsZero() {
		return d.start(r), false
	}
	switch step := d.table.Want(now, r.Adapter); step.Kind {
	case residency.Ready:
		d.table.Pin(now, r.Adapter)
		r.pinned = true
		return d.start(r), false
	case residency.Load:
		return &Action{Kind: Load, Adapter: r.Adapter}, true
	case residency.Unload:
		return &Action{Kind: Unload, Adapter: step.Victim}, true
	}
	return nil, true
}

func (d *Dispatcher) start(r *Request) *Action {
	d.running[r.Key] = r
	d.byTeam[r.Team]++
	if r.Suspect {
		d.suspect = r
	}
	return &Action{Kind: Start, Request: r}
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
	if d.byTeam[r.Team] == 0 {
		delete(d.byTeam, r.Team)
	}
	if r.pinned {
		r.pinned = false
		d.table.Unpin(now, r.Adapter)
	}
}

// Withdraw removes a request that waits and reports whether it did. A request
// that has started is not found.
func (d *Dispatcher) Withdraw(key RequestKey) bool {
	for i, r := range d.queue {
		if r.Key == key {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Loaded records the end of a load. After a failure, the requests that waited
// for it are refused.
func (d *Dispatcher) Loaded(id adapter.ID, ok bool) []Action {
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
func (d *Dispatcher) EngineRestarted() {
	d.unpinAll(func(*Request) bool { return true })
	d.table.Restarted()
}

// Drain stops taking requests and refuses the ones that wait, so that their
// senders move them elsewhere.
func (d *Dispatcher) Drain() []Action {
	d.draining = true
	return d.refuseWaiting(outcome.Draining, func(*Request) bool { return true })
}

func (d *Dispatcher) refuseWaiting(reason outcome.Reason, which func(*Request) bool) []Action {
	var actions []Action
	kept := d.queue[:0]
	for _, r := range d.queue {
		if which(r) {
			actions = append(actions, Action{Kind: Refuse, Request: r, Reason: reason})
			continue
		}
		kept = append(kept, r)
	}
	clear(d.queue[len(kept):])
	d.queue = kept
	return actions
}

// Report returns the target's load.
func (d *Dispatcher) Report() Report {
	return Report{Running: len(d.running), Queued: len(d.queue), Draining: d.draining}
}

// Resident returns the adapters that the engine holds, in order of name.
func (d *Dispatcher) Resident() []adapter.ID { return d.table.Resident() }

// NextDeadline returns the earliest time at which a waiting request expires,
// or zero when none waits.
func (d *Dispatcher) NextDeadline() time.Time {
	var first time.Time
	for _, r := range d.queue {
		if first.IsZero() || r.StartBy.Before(first) {
			first = r.StartBy
		}
	}
	return first
}
