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

// epoch is the start of synthetic time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scheduler is the request scheduler of a target, with its adapter residency.
type scheduler interface {
	Submit(now time.Time, r *dispatch.Request) outcome.Reason
	Next(now time.Time) []dispatch.Action
	Finished(now time.Time, key dispatch.RequestKey)
	Loaded(now time.Time, id adapter.ID, ok bool) []dispatch.Action
	Unloaded(id adapter.ID)
	EngineRestarted()
	Resident() []adapter.ID
}

// slotQuotas grants the owner all slots and every other team the lent share.
type slotQuotas struct{}

func (slotQuotas) SlotsFor(team string) int {
	if team == ownerTeam {
		return slots
	}
	return slots * lentShare
}

// entrydState is the view that one entryd has of the targets, with one element for
// each target. It implements placement.Occupancy.
type entrydState struct {
	hashes            []uint64
	ownInFlight       []int        // requests in flight from this entryd
	otherInFlight     []int        // as reported by the last response: requests in flight from other entryds, or from all entryds if sentSinceResponse is not nil
	sentSinceResponse []int        // requests routed to resident adapters since the last response, nil for the baselines
	down              []bool       // rejected a request while the engine restarted
	tried             map[int]bool // targets that the call being routed has tried
	hints             *placement.Hints
}

func (e *entrydState) InFlight(i int) int {
	if e.sentSinceResponse != nil {
		return e.otherInFlight[i] + e.sentSinceResponse[i]
	}
	return e.ownInFlight[i] + e.otherInFlight[i]
}
func (e *entrydState) Usable(i int) bool { return !e.tried[i] && !e.down[i] }

// event is a simulation event. Events of the same time run in the order in which
// they were scheduled.
type event struct {
	at  time.Time
	seq int // order of scheduling
	run func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet simulates the entryds, the targets and the weight store of one deployment
// in synthetic time.
type fleet struct {
	deployment deployment
	scenario   scenario
	now        time.Time
	queue      eventQueue // of pending events
	lastSeq    int        // of the event scheduled last
	router     router
	entryds    []*entrydState
	targets    []*targetState
	store      weightStore
	allocator  *loadbudget.Allocator // nil for the baselines, which have no load budget
	metrics    metrics
}

// targetState is one simulated target.
type targetState struct {
	name           string
	scheduler      scheduler
	share          *loadbudget.Share // nil without a load budget
	down           bool
	loadedAt       map[adapter.ID]time.Time // end of the last load
	resident       map[adapter.ID]bool
	waiting        map[dispatch.RequestKey]*attempt
	running        map[dispatch.RequestKey]*attempt
	accountedUntil time.Time // up to which accumulateOccupancy has counted the slot seconds
	lastReport     time.Time // to the load allocator
	hadNeeds       bool      // whether the last report contained needs
}

// attempt is a call that is sent to a target, and after a rejection to another.
type attempt struct {
	call
	key      dispatch.RequestKey
	entryd   *entrydState
	target   int
	arrived  time.Time
	attempts int // made so far
	tried    map[int]bool
}

// policy names a routing policy together with the scheduler of the targets.
type policy string

const (
	policyRandom      policy = "random"
	policyLeastLoaded policy = "least loaded"
	policyRendezvous  policy = "rendezvous+LRU"
	policyBorageusher policy = "borageusher"
)

func newFleet(d deployment, sc scenario, p policy, seed uint64) *fleet {
	f := &fleet{deployment: d, scenario: sc, now: epoch}
	f.store = weightStore{limits: d.limits, tokens: float64(d.limits.Burst), refilledAt: epoch}
	rng := rand.New(rand.NewPCG(seed, 2))
	hashes := make([]uint64, d.targets)
	members := make([]placement.Member, d.targets)
	for i := range d.targets {
		name := "t" + strconv.Itoa(i)
		hashes[i] = placement.Hash(name)
		members[i] = placement.Member{Hash: hashes[i], Slots: slots}
		f.targets = append(f.targets, f.newTarget(name, i, p))
	}
	for range entrydCount {
		f.entryds = append(f.entryds, &entrydState{
			hashes: hashes, ownInFlight: make([]int, d.targets), otherInFlight: make([]int, d.targets),
			down: make([]bool, d.targets), hints: placement.NewHints(),
		})
	}
	switch p {
	case policyRandom:
		f.router = randomRouter{rng}
	case policyLeastLoaded:
		f.router = leastLoadedRouter{rng}
	case policyRendezvous:
		f.router = rendezvousRouter{}
	default:
		for _, e := range f.entryds {
			e.sentSinceResponse = make([]int, d.targets)
		}
		f.router = viewRouter{placement.NewView(members, d.costs)}
		f.allocator = loadbudget.NewAllocator(d.limits)
		f.schedule(reportInterval, f.allocatePermits)
	}
	return f
}

func (f *fleet) newTarget(name string, position int, p policy) *targetState {
	t := &targetState{
		name: name, loadedAt: map[adapter.ID]time.Time{}, resident: map[adapter.ID]bool{}, accountedUntil: epoch,
		lastReport: epoch, waiting: map[dispatch.RequestKey]*attempt{}, running: map[dispatch.RequestKey]*attempt{},
	}
	if p != policyBorageusher {
		t.scheduler = newLRUScheduler()
		return t
	}
	limits := dispatch.Limits{Owner: ownerTeam, Slots: slots, Adapters: adapterSlots, Queue: queueLength}
	d := dispatch.New(limits, slotQuotas{})
	t.share = loadbudget.NewShare(f.deployment.limits, f.deployment.targets, position, epoch)
	d.SetBudget(t.share)
	t.scheduler = d
	return t
}

// schedule calls run after d in synthetic time.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.lastSeq++
	heap.Push(&f.queue, event{f.now.Add(d), f.lastSeq, run})
}

// run simulates the calls over length and returns the metrics.
func (f *fleet) run(calls []call, length time.Duration) *metrics {
	for i, c := range calls {
		f.schedule(c.at, func() { f.arrive(i, c) })
	}
	if f.scenario.restart {
		f.schedule(f.scenario.disturbanceAt, f.restart)
	}
	if f.scenario.halfRate {
		f.schedule(f.scenario.disturbanceAt, func() { f.store.limits.Rate /= 2 })
	}
	for i := range f.targets {
		f.schedule(idleStepInterval, func() { f.stepPeriodically(i) })
	}
	end := epoch.Add(length)
	for len(f.queue) > 0 && f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	return &f.metrics
}

// Intervals of periodic events.
const (
	reportInterval     = 50 * time.Millisecond // between two checks of a target for needs to report
	idleReportInterval = time.Second           // between two reports of a target that has no needs
	idleStepInterval   = time.Second           // between two calls of a scheduler without other events
)

// stepPeriodically calls the scheduler of the i-th target every
// idleStepInterval.
func (f *fleet) stepPeriodically(i int) {
	f.step(i)
	f.schedule(idleStepInterval, func() { f.stepPeriodically(i) })
}

// allocatePermits reports the needs of the targets to the load allocator and
// delivers the load permits that it grants.
func (f *fleet) allocatePermits() {
	f.schedule(reportInterval, f.allocatePermits)
	if f.scenario.allocatorUnreachable {
		return
	}
	byName := map[string]int{}
	for i, t := range f.targets {
		byName[t.name] = i
		needs := t.share.UnmetNeeds()
		if len(needs) == 0 && !t.hadNeeds && f.now.Sub(t.lastReport) < idleReportInterval {
			continue
		}
		t.lastReport, t.hadNeeds = f.now, len(needs) > 0
		f.allocator.SetNeeds(t.name, needs)
		f.allocator.AddPermits(t.share.ReleasePermits(f.now))
	}
	for _, g := range f.allocator.Grants(f.now) {
		i := byName[g.Target]
		f.targets[i].share.AddPermit(f.now, g.Team)
		f.step(i)
	}
}

// arrive assigns the n-th call to an entryd, round robin.
func (f *fleet) arrive(n int, c call) {
	a := &attempt{call: c, entryd: f.entryds[n%entrydCount], arrived: f.now, tried: map[int]bool{}}
	a.key.Request = strconv.Itoa(n)
	f.route(a)
}

// route sends a call to the target that the router chooses. The call counts as not
// run if no target is usable or after four attempts.
func (f *fleet) route(a *attempt) {
	e := a.entryd
	e.tried = a.tried
	i, ok := f.router.route(a.call, e)
	if !ok || a.attempts >= 4 {
		f.metrics.recordNotRun(f, a, false)
		return
	}
	a.attempts++
	a.key.Attempt++
	a.target = i
	a.tried[i] = true
	e.ownInFlight[i]++
	f.schedule(networkDelay, func() { f.submit(a) })
}

// submit submits an attempt to its target, and routes the call again if the target
// rejects it.
func (f *fleet) submit(a *attempt) {
	t := f.targets[a.target]
	r := &dispatch.Request{Key: a.key, Team: a.id.Team, Adapter: a.id, StartBy: a.arrived.Add(startWithin)}
	f.metrics.accumulateOccupancy(f.now, t)
	if t.down || t.scheduler.Submit(f.now, r) != outcome.NoReason {
		a.entryd.down[a.target] = t.down
		f.endAttempt(a)
		f.route(a)
		return
	}
	t.waiting[a.key] = a
	f.step(a.target)
}

// endAttempt updates the entryd's view with the state that the target reports in
// its response.
func (f *fleet) endAttempt(a *attempt) {
	t, e := f.targets[a.target], a.entryd
	e.ownInFlight[a.target]--
	e.otherInFlight[a.target] = max(0, len(t.running)+len(t.waiting)-e.ownInFlight[a.target])
	d, ok := t.scheduler.(*dispatch.Dispatcher)
	if !ok {
		return
	}
	var resident []uint64
	for _, id := range d.Held() {
		resident = append(resident, placement.Hash(id.String()))
	}
	e.hints.Set(e.hashes[a.target], resident, d.EvictionDemand(f.now))
	report := d.Report()
	e.otherInFlight[a.target] = report.Running + report.Ready
	e.sentSinceResponse[a.target] = 0
}

// step performs the actions of a target's scheduler until none requires another
// call of it.
func (f *fleet) step(i int) {
	t := f.targets[i]
	if t.down {
		return
	}
	f.metrics.accumulateOccupancy(f.now, t)
	for repeat := true; repeat; {
		repeat = false
		for _, action := range t.scheduler.Next(f.now) {
			repeat = f.perform(i, action) || repeat
		}
	}
}

// perform carries out an action of the i-th target's scheduler and reports whether
// the scheduler must be called again at once.
func (f *fleet) perform(i int, action dispatch.Action) bool {
	t := f.targets[i]
	switch action.Kind {
	case dispatch.Start:
		a := t.waiting[action.Request.Key]
		delete(t.waiting, a.key)
		t.running[a.key] = a
		f.metrics.recordStart(f, a, t)
		f.schedule(a.run, func() { f.finish(a) })
	case dispatch.Refuse:
		a := t.waiting[action.Request.Key]
		delete(t.waiting, a.key)
		f.endAttempt(a)
		f.metrics.recordNotRun(f, a, !t.resident[a.id])
	case dispatch.Load:
		id := action.Adapter
		f.schedule(f.store.startLoad(f.now), func() { f.loaded(i, id) })
	case dispatch.Unload:
		delete(t.resident, action.Adapter)
		t.scheduler.Unloaded(action.Adapter)
		return true
	}
	return false
}

func (f *fleet) loaded(i int, id adapter.ID) {
	t := f.targets[i]
	f.store.inFlight--
	f.metrics.accumulateOccupancy(f.now, t)
	t.scheduler.Loaded(f.now, id, true)
	t.loadedAt[id] = f.now
	f.refreshResident(t)
	f.step(i)
}

func (f *fleet) refreshResident(t *targetState) {
	clear(t.resident)
	for _, id := range t.scheduler.Resident() {
		t.resident[id] = true
	}
}

func (f *fleet) finish(a *attempt) {
	t := f.targets[a.target]
	if t.running[a.key] != a {
		return // lost in an engine restart
	}
	f.metrics.accumulateOccupancy(f.now, t)
	delete(t.running, a.key)
	t.scheduler.Finished(f.now, a.key)
	f.schedule(networkDelay, func() { f.endAttempt(a) })
	f.step(a.target)
}

// restart restarts the engine of every sixth target. The requests that ran there
// are lost; they count as started and are not retried.
func (f *fleet) restart() {
	for i := 0; i < len(f.targets); i += 6 {
		t := f.targets[i]
		f.metrics.accumulateOccupancy(f.now, t)
		t.scheduler.EngineRestarted()
		clear(t.resident)
		t.down = true
		for key, a := range t.running {
			delete(t.running, key)
			t.scheduler.Finished(f.now, key)
			f.endAttempt(a)
		}
		f.schedule(engineRestartTime, func() {
			t.down = false
			for _, e := range f.entryds {
				e.down[i] = false
			}
			f.step(i)
		})
	}
}
