package measurement

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one target's decider.
type node interface {
	Submit(now time.Time, r *dispatch.Request) outcome.Reason
	Next(now time.Time) []dispatch.Action
	Finished(now time.Time, key dispatch.RequestKey)
	Loaded(now time.Time, id adapter.ID, ok bool) []dispatch.Action
	Unloaded(id adapter.ID)
	EngineRestarted()
	Resident() []adapter.ID
}

// terms lend a share of the slots to every team.
type terms struct{}

func (terms) SlotsFor(team string) int {
	if team == ownerTeam {
		return slots
	}
	return slots * lentShare
}

// entry is what one entry knows of the targets.
type entry struct {
	hashes []uint64
	own    []int // requests of this entry in flight
	others []int // of other entries, or what the last answer reported
	sent   []int // requests sent to holders since the last answer
	down   []bool
	tried  map[int]bool
	hints  *placement.Hints
}

func (e *entry) InFlight(i int) int {
	if e.sent != nil {
		return e.others[i] + e.sent[i]
	}
	return e.own[i] + e.others[i]
}
func (e *entry) Usable(i int) bool { return !e.tried[i] && !e.down[i] }

// event is something that happens at a time.
type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].n < h[j].n
}
func (h *events) Push(x any) { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// fleet drives the deciders of one deployment with synthetic time.
type fleet struct {
	d       deployment
	sc      scenario
	now     time.Time
	queue   events
	n       int
	router  router
	entries []*entry
	targets []*targetState
	store   store
	granter *loadbudget.Granter // nil without a common budget
	m       metrics
}

// targetState is one target beside its decider.
type targetState struct {
	name     string
	node     node
	share    *loadbudget.Share // nil without a budget
	down     bool
	loadedAt map[adapter.ID]time.Time
	held     map[adapter.ID]bool
	waiting  map[dispatch.RequestKey]*attempt
	running  map[dispatch.RequestKey]*attempt
	since    time.Time // of the last change, for the batch fill
	donated  time.Time // last report to the granter
	hadNeeds bool      // in the last report
}

// attempt is a call at a target.
type attempt struct {
	call
	key     dispatch.RequestKey
	entry   *entry
	target  int
	arrived time.Time
	tries   int
	tried   map[int]bool
}

// policy names a router with its targets.
type policy string

const (
	policyRandom     policy = "random"
	policyLeast      policy = "least loaded"
	policyRendezvous policy = "rendezvous+LRU"
	policyOwn        policy = "borageusher"
)

func newFleet(d deployment, sc scenario, p policy, seed uint64) *fleet {
	f := &fleet{d: d, sc: sc, now: epoch}
	f.store = store{limits: d.limits, credit: float64(d.limits.Burst), credited: epoch}
	rng := rand.New(rand.NewPCG(seed, 2))
	hashes := make([]uint64, d.targets)
	members := make([]placement.Member, d.targets)
	for i := range d.targets {
		name := "t" + strconv.Itoa(i)
		hashes[i] = placement.Hash(name)
		members[i] = placement.Member{Hash: hashes[i], Slots: slots}
		f.targets = append(f.targets, f.newTarget(name, i, p))
	}
	for range entries {
		f.entries = append(f.entries, &entry{
			hashes: hashes, own: make([]int, d.targets), others: make([]int, d.targets),
			down: make([]bool, d.targets), hints: placement.NewHints(),
		})
	}
	switch p {
	case policyRandom:
		f.router = randomRouter{rng}
	case policyLeast:
		f.router = leastLoadedRouter{rng}
	case policyRendezvous:
		f.router = rendezvousRouter{}
	default:
		for _, e := range f.entries {
			e.sent = make([]int, d.targets)
		}
		f.router = viewRouter{placement.NewView(members, d.costs)}
		f.granter = loadbudget.NewGranter(d.limits)
		f.after(budgetTick, f.balance)
	}
	return f
}

func (f *fleet) newTarget(name string, position int, p policy) *targetState {
	t := &targetState{
		name: name, loadedAt: map[adapter.ID]time.Time{}, held: map[adapter.ID]bool{}, since: epoch,
		donated: epoch, waiting: map[dispatch.RequestKey]*attempt{}, running: map[dispatch.RequestKey]*attempt{},
	}
	if p != policyOwn {
		t.node = newLRUNode()
		return t
	}
	limits := dispatch.Limits{Owner: ownerTeam, Slots: slots, Adapters: places, Queue: queueLength}
	d := dispatch.New(limits, terms{})
	t.share = loadbudget.NewShare(f.d.limits, f.d.targets, position, epoch)
	d.SetBudget(t.share)
	t.node = d
	return t
}

func (f *fleet) after(d time.Duration, do func()) {
	f.n++
	heap.Push(&f.queue, event{f.now.Add(d), f.n, do})
}

// run plays the calls and returns what was measured.
func (f *fleet) run(calls []call, length time.Duration) *metrics {
	for i, c := range calls {
		f.after(c.at, func() { f.arrive(i, c) })
	}
	if f.sc.restart {
		f.after(f.sc.disturbed, f.restart)
	}
	if f.sc.halfRate {
		f.after(f.sc.disturbed, func() { f.store.limits.Rate /= 2 })
	}
	for i := range f.targets {
		f.after(sweepTick, func() { f.sweep(i) })
	}
	end := epoch.Add(length)
	for len(f.queue) > 0 && f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	return &f.m
}

// Times of the driver.
const (
	budgetTick = 50 * time.Millisecond // between two looks for needs to report
	donateTick = time.Second           // between two reports of a target without needs
	sweepTick  = time.Second           // between two calls of an idle decider
)

func (f *fleet) sweep(i int) {
	f.step(i)
	f.after(sweepTick, func() { f.sweep(i) })
}

// balance moves rights to load between the targets.
func (f *fleet) balance() {
	f.after(budgetTick, f.balance)
	if f.sc.cutOff {
		return
	}
	byName := map[string]int{}
	for i, t := range f.targets {
		byName[t.name] = i
		needs := t.share.Asked()
		if len(needs) == 0 && !t.hadNeeds && f.now.Sub(t.donated) < donateTick {
			continue
		}
		t.donated, t.hadNeeds = f.now, len(needs) > 0
		f.granter.Ask(t.name, needs)
		f.granter.Donate(t.share.Donate(f.now))
	}
	for _, g := range f.granter.Grants(f.now) {
		i := byName[g.Target]
		f.targets[i].share.Receive(f.now, g.Team)
		f.step(i)
	}
}

// arrive gives a call to an entry.
func (f *fleet) arrive(n int, c call) {
	a := &attempt{call: c, entry: f.entries[n%entries], arrived: f.now, tried: map[int]bool{}}
	a.key.Request = strconv.Itoa(n)
	f.route(a)
}

func (f *fleet) route(a *attempt) {
	e := a.entry
	e.tried = a.tried
	i, ok := f.router.route(a.call, e)
	if !ok || a.tries >= 4 {
		f.m.notRun(f, a, false)
		return
	}
	a.tries++
	a.key.Attempt++
	a.target = i
	a.tried[i] = true
	e.own[i]++
	f.after(hop, func() { f.submit(a) })
}

func (f *fleet) submit(a *attempt) {
	t := f.targets[a.target]
	r := &dispatch.Request{Key: a.key, Team: a.id.Team, Adapter: a.id, StartBy: a.arrived.Add(startWithin)}
	f.m.advance(f.now, t)
	if t.down || t.node.Submit(f.now, r) != outcome.NoReason {
		a.entry.down[a.target] = t.down
		f.answered(a)
		f.route(a)
		return
	}
	t.waiting[a.key] = a
	f.step(a.target)
}

// answered tells the entry that the attempt ended, with the target's state.
func (f *fleet) answered(a *attempt) {
	t, e := f.targets[a.target], a.entry
	e.own[a.target]--
	e.others[a.target] = max(0, len(t.running)+len(t.waiting)-e.own[a.target])
	d, ok := t.node.(*dispatch.Dispatcher)
	if !ok {
		return
	}
	var held []uint64
	for _, id := range d.Held() {
		held = append(held, placement.Hash(id.String()))
	}
	e.hints.Set(e.hashes[a.target], held, d.Floor(f.now))
	report := d.Report()
	e.others[a.target] = report.Running + report.Ready
	e.sent[a.target] = 0
}

// step carries out what a target's decider returns.
func (f *fleet) step(i int) {
	t := f.targets[i]
	if t.down {
		return
	}
	f.m.advance(f.now, t)
	for again := true; again; {
		again = false
		for _, action := range t.node.Next(f.now) {
			again = f.perform(i, action) || again
		}
	}
}

// perform reports whether the decider should be asked again at once.
func (f *fleet) perform(i int, action dispatch.Action) bool {
	t := f.targets[i]
	switch action.Kind {
	case dispatch.Start:
		a := t.waiting[action.Request.Key]
		delete(t.waiting, a.key)
		t.running[a.key] = a
		f.m.started(f, a, t)
		f.after(a.run, func() { f.finish(a) })
	case dispatch.Refuse:
		a := t.waiting[action.Request.Key]
		delete(t.waiting, a.key)
		f.answered(a)
		f.m.notRun(f, a, !t.held[a.id])
	case dispatch.Load:
		id := action.Adapter
		f.after(f.store.order(f.now), func() { f.loaded(i, id) })
	case dispatch.Unload:
		delete(t.held, action.Adapter)
		t.node.Unloaded(action.Adapter)
		return true
	}
	return false
}

func (f *fleet) loaded(i int, id adapter.ID) {
	t := f.targets[i]
	f.store.inFlight--
	f.m.advance(f.now, t)
	t.node.Loaded(f.now, id, true)
	t.loadedAt[id] = f.now
	f.refreshHeld(t)
	f.step(i)
}

func (f *fleet) refreshHeld(t *targetState) {
	clear(t.held)
	for _, id := range t.node.Resident() {
		t.held[id] = true
	}
}

func (f *fleet) finish(a *attempt) {
	t := f.targets[a.target]
	if t.running[a.key] != a {
		return // lost in a restart
	}
	f.m.advance(f.now, t)
	delete(t.running, a.key)
	t.node.Finished(f.now, a.key)
	f.after(hop, func() { f.answered(a) })
	f.step(a.target)
}

// restart restarts the engine of every sixth target. Requests that ran there
// are lost and not measured again.
func (f *fleet) restart() {
	for i := 0; i < len(f.targets); i += 6 {
		t := f.targets[i]
		f.m.advance(f.now, t)
		t.node.EngineRestarted()
		clear(t.held)
		t.down = true
		for key, a := range t.running {
			delete(t.running, key)
			t.node.Finished(f.now, key)
			f.answered(a)
		}
		f.after(restartAfter, func() {
			t.down = false
			for _, e := range f.entries {
				e.down[i] = false
			}
			f.step(i)
		})
	}
}
