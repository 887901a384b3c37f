package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/quarantine"
	"github.com/borageusher/borageusher/pkg/target"
)

// Timeouts and intervals of the event loop.
const (
	resumeWindow        = 10 * time.Second // a detached answer is kept for resumption
	cleanupInterval     = time.Second      // between removals of attempts and records that are no longer needed
	engineStateInterval = 500 * time.Millisecond
	engineOrderTimeout  = 60 * time.Second // for one load or unload by the engine
)

// eventQueueLen is the capacity of the event loop's queue.
const eventQueueLen = 1024

// Engine is the inference engine or plain service of the target.
type Engine interface {
	Load(ctx context.Context, id adapter.ID) error
	Unload(ctx context.Context, id adapter.ID) error
	State(ctx context.Context) (engine.State, error)
	Run(ctx context.Context, r engine.Request) (*engine.Response, error)
	Cancel(ctx context.Context, requestID string) error
}

// Configurations provides the configuration in force, nil before the first one.
type Configurations interface {
	Current() *configuration.Configuration
}

// Options configure an Agent.
type Options struct {
	Self           target.Target
	Limits         dispatch.Limits
	LoadShare      *loadbudget.Share // of the weight store's load rate; nil for no limit
	Engine         Engine
	Crashes        CrashRecorder
	PlainService   bool // the target is a plain service: no adapters, no engine state to poll
	Configurations Configurations
	Claims         Claims
	Log            event.Log
	Scope          tally.Scope
}

// Agent admits, schedules and runs the requests of one target. It takes no more
// work once another process has registered the target.
type Agent struct {
	opts   Options
	events chan loopEvent
	done   chan struct{} // closed when the event loop has ended

	draining chan struct{} // closed when a drain begins

	// Accessed by the event loop only.
	dispatcher      *dispatch.Dispatcher
	attempts        map[dispatch.RequestKey]*attempt
	history         history
	bootID          uint64 // boot ID of the engine, zero before its first state report
	engineUp        bool   // a state report has been read since the engine was last found down
	engineDownSince time.Time
	replaced        bool // a newer process has registered this target
	crashDiagnosis  crashDiagnosis
	sessions        map[sender]closer // open peer connections

	pauseDetector *pauseDetector
	claimBreaker  claimBreaker // suspends claims while the object API is unavailable

	allocators allocators

	report              atomic.Pointer[dispatch.Report]
	residencyGeneration atomic.Uint64 // the dispatcher's residency generation as of the last event
	stateRequests       chan struct{} // requests to read the engine's state at once; capacity 1
	residency           atomic.Pointer[peer.Residency]
}

// attempt is one attempt at a request, kept until its answer can be removed.
type attempt struct {
	submit   peer.Submit
	request  *dispatch.Request
	answer   *answer
	cancel   context.CancelFunc // set while running
	requeues int                // number of times that the engine did not run it
	bootID   uint64             // boot ID of the engine that runs it, zero if unknown

	ended chan struct{} // closed when the answer of an interrupted run has been ended

	// For attempts with an idempotency key.
	deferred     bool           // a claim failed because of the object API; accessed by the event loop only
	mayHoldClaim bool           // the key's record may hold a claim of this attempt
	claimVerdict *claim.Verdict // set when the attempt holds the claim
	bodyRecorder bodyRecorder   // copies the answer's body, for replay
}

// New returns an agent. It processes no events until Run is called.
func New(opts Options) *Agent {
	a := &Agent{
		opts:           opts,
		events:         make(chan loopEvent, eventQueueLen),
		done:           make(chan struct{}),
		draining:       make(chan struct{}),
		dispatcher:     dispatch.New(opts.Limits, zeroQuotas{}),
		attempts:       map[dispatch.RequestKey]*attempt{},
		crashDiagnosis: crashDiagnosis{suspects: map[quarantine.Fingerprint]time.Time{}},
		history:        newHistory(),
		stateRequests:  make(chan struct{}, 1),
		sessions:       map[sender]closer{},
		pauseDetector:  newPauseDetector(time.Now()),
	}
	a.allocators.names = map[sender]string{}
	if opts.LoadShare != nil {
		a.dispatcher.SetBudget(opts.LoadShare)
	}
	a.report.Store(&dispatch.Report{})
	return a
}

// Run runs the event loop until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	a.engineDownSince = time.Now()
	if !a.opts.PlainService {
		go a.watchEngine(ctx)
	}
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	pauseTick := time.NewTicker(pauseTickInterval)
	defer pauseTick.Stop()
	rebalance := time.NewTicker(rebalanceInterval)
	defer rebalance.Stop()
	deadline := time.NewTimer(time.Hour)
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			a.checkPause(time.Now())
			e.apply(ctx, a, time.Now())
		case <-cleanup.C:
			a.checkPause(time.Now())
			a.cleanup(time.Now())
		case <-pauseTick.C:
			a.checkPause(time.Now())
			continue
		case <-deadline.C:
			a.checkPause(time.Now())
		case now := <-rebalance.C:
			a.rebalance(now)
			continue
		}
		if !a.crashDiagnosis.pending() {
			a.perform(ctx, a.next(time.Now()))
		}
		a.publish()
		if next := a.dispatcher.NextDeadline(time.Now()); !next.IsZero() {
			deadline.Reset(max(0, time.Until(next)))
		}
	}
}

// Report returns the target's load as of the last event. It is safe for
// concurrent use.
func (a *Agent) Report() dispatch.Report { return *a.report.Load() }

// Drain stops admission and refuses queued requests. Running requests
// continue.
func (a *Agent) Drain() { a.post(drainRequested{}) }

// SetConfiguration applies the slot quotas of cfg.
func (a *Agent) SetConfiguration(cfg *configuration.Configuration) {
	a.post(configured{cfg: cfg})
}

// post queues an event for the event loop. It blocks while the queue is full
// and reports false when the loop has ended.
func (a *Agent) post(e loopEvent) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

// publish copies the dispatcher's load and residency to where other goroutines
// read them.
func (a *Agent) publish() {
	r := a.dispatcher.Report()
	a.report.Store(&r)
	a.residencyGeneration.Store(a.dispatcher.Generation())
	a.publishResidency(time.Now())
	a.opts.Scope.Gauge("running").Update(float64(r.Running))
	a.opts.Scope.Gauge("queued").Update(float64(r.Queued))
}

// perform carries out the dispatcher's actions.
func (a *Agent) perform(ctx context.Context, actions []dispatch.Action) {
	for _, action := range actions {
		switch action.Kind {
		case dispatch.Start:
			a.start(ctx, a.attempts[action.Request.Key])
		case dispatch.Refuse:
			a.refuse(a.attempts[action.Request.Key], action.Reason)
		case dispatch.Load:
			a.opts.Log.Event(event.AdapterLoading).Stringer("adapter", action.Adapter).Str("reason", loadReason(action)).Send()
			go a.load(ctx, action.Adapter)
		case dispatch.Unload:
			a.opts.Log.Event(event.AdapterUnloading).Stringer("adapter", action.Adapter).Str("reason", "room_needed").Send()
			go a.unload(ctx, action.Adapter)
		}
	}
}

// loadReason returns the reason of a load for the log: predicted demand or a
// waiting request.
func loadReason(action dispatch.Action) string {
	if action.Prefetch {
		return "demand"
	}
	return "request_waits"
}

// refuse reports to the sender of at that the attempt did not run, unless the
// refusal is held until a crash diagnosis ends.
func (a *Agent) refuse(at *attempt, reason outcome.Reason) {
	if a.holdRefusal(at, reason) {
		return
	}
	reason = a.crashReason(time.Now(), at, reason)
	if reason == outcome.Expired {
		reason = at.expiryReason()
	}
	a.releaseClaim(at)
	a.opts.Log.Event(event.RequestNotRun).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("reason", reason).Send()
	a.opts.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refused").Inc(1)
	at.answer.refuse(time.Now(), reason, a.dispatcher.Report())
}

// cleanup removes attempts whose answers can no longer be requested, abandons
// those that were detached for too long and drops expired suspects and history.
func (a *Agent) cleanup(now time.Time) {
	for key, at := range a.attempts {
		if at.answer.removable(now) {
			a.history.add(now, key, !at.answer.refused(), at.submit.StartWithin)
			delete(a.attempts, key)
			continue
		}
		if at.answer.orphaned(now) {
			a.abandon(at)
		}
	}
	for f, until := range a.crashDiagnosis.suspects {
		if now.After(until) {
			delete(a.crashDiagnosis.suspects, f)
		}
	}
	a.history.cleanup(now)
}

// abandon discards the rest of an attempt's answer. A queued attempt is refused;
// a running one is cancelled unless it has an idempotency key.
func (a *Agent) abandon(at *attempt) {
	at.answer.abandon()
	if a.dispatcher.Withdraw(at.request.Key) {
		a.refuse(at, outcome.Cancelled)
		return
	}
	if at.cancel != nil && !at.keyed() { // a keyed request runs to its end, so that its result can be replayed
		at.cancel()
	}
}

// load orders the engine to load an adapter and posts the result.
func (a *Agent) load(ctx context.Context, id adapter.ID) {
	ctx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	began := time.Now()
	err := a.loadWithRetry(ctx, id)
	a.stopIfFenced(err)
	if err != nil {
		time.Sleep(crashSettleDelay) // a crash that caused the failure is detected by then
		a.opts.Log.Event(event.AdapterLoadFailed).Stringer("adapter", id).Err(err).Send()
	} else {
		a.opts.Log.Event(event.AdapterLoaded).Stringer("adapter", id).Dur("took", time.Since(began)).Send()
	}
	a.post(loaded{id: id, ok: err == nil})
}

// unload orders the engine to unload an adapter. If the order fails, the next
// state report corrects the residency by the engine's own list.
func (a *Agent) unload(ctx context.Context, id adapter.ID) {
	ctx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	if err := a.opts.Engine.Unload(ctx, id); err != nil {
		a.stopIfFenced(err)
		a.opts.Log.Event(event.EngineUnreachable).Err(err).Send()
	}
	a.post(unloaded{id: id})
}

// watchEngine polls the engine's state and posts it until ctx is done.
func (a *Agent) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(engineStateInterval)
	defer ticker.Stop()
	var asOf uint64 // generation before the previous poll, because reports lag behind orders
	for {
		residencyGeneration := a.residencyGeneration.Load()
		a.readEngineState(ctx, asOf)
		asOf = residencyGeneration
		select {
		case <-ticker.C:
		case <-a.stateRequests:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) readEngineState(ctx context.Context, asOf uint64) {
	ctx, cancel := context.WithTimeout(ctx, 4*engineStateInterval)
	defer cancel()
	s, err := a.opts.Engine.State(ctx)
	if err != nil {
		return // a restarting or hung engine is detected by the requests to it
	}
	a.post(engineReported{state: s, asOf: asOf})
}
