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
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of the event loop.
const (
	resumeWindow  = 10 * time.Second // how long a detached answer is kept
	sweepInterval = time.Second      // between two searches for what can be forgotten
	stateInterval = 500 * time.Millisecond
	loadTimeout   = 60 * time.Second // for one order to the engine
)

// eventBacklog is the number of events that may wait for the loop.
const eventBacklog = 1024

// Engine is what stands behind the target.
type Engine interface {
	Load(ctx context.Context, id adapter.ID) error
	Unload(ctx context.Context, id adapter.ID) error
	State(ctx context.Context) (engine.State, error)
	Run(ctx context.Context, r engine.Request) (*engine.Answer, error)
	Cancel(ctx context.Context, requestID string) error
}

// Configurations gives the configuration in force.
type Configurations interface {
	Current() *configuration.Configuration
}

// Options are what an Agent needs.
type Options struct {
	Self           target.Target
	Limits         dispatch.Limits
	Share          *loadbudget.Share // of the weight store's rate; nil for no limit
	Engine         Engine
	Crashes        Crashes
	PlainService   bool // the target is a plain service: no adapters, no state
	Configurations Configurations
	Claims         Claims
	Log            event.Log
	Scope          tally.Scope
}

// Agent is the authority over one target.
type Agent struct {
	opts   Options
	events chan agentEvent
	done   chan struct{} // closed when the loop has ended

	draining chan struct{} // closed when no more work is taken

	// Owned by the loop.
	dispatcher *dispatch.Dispatcher
	attempts   map[dispatch.RequestKey]*attempt
	voided     map[dispatch.RequestKey]time.Time // attempts that must not start, until their start-by time
	boot       uint64                            // of the engine, zero before its first report
	broken     []*attempt                        // broke off together, cause not known yet
	sessions   map[sender]closer                 // open peer connections

	pulse *pulse
	gate  gate // of claims

	granters granters

	report atomic.Pointer[dispatch.Report]
	hint   atomic.Pointer[peer.Residency]
}

// attempt is one attempt that the agent knows.
type attempt struct {
	submit  peer.Submit
	request *dispatch.Request
	answer  *answer
	cancel  context.CancelFunc // set while running
	boot    uint64             // of the engine that runs it, zero if unknown

	brokeOff chan struct{} // closed when it is known why the run broke off

	// Of attempts with an idempotency key.
	deferred bool           // the object API did not settle the claim; owned by the loop
	mayHold  bool           // the record may be claimed for this attempt
	held     *claim.Verdict // of the claim, while running
	recorder recorder       // of the answer, for replay
}

// New returns an agent that does nothing until Run.
func New(opts Options) *Agent {
	a := &Agent{
		opts:       opts,
		events:     make(chan agentEvent, eventBacklog),
		done:       make(chan struct{}),
		draining:   make(chan struct{}),
		dispatcher: dispatch.New(opts.Limits, noTerms{}),
		attempts:   map[dispatch.RequestKey]*attempt{},
		voided:     map[dispatch.RequestKey]time.Time{},
		sessions:   map[sender]closer{},
		pulse:      newPulse(time.Now()),
	}
	a.granters.names = map[sender]string{}
	if opts.Share != nil {
		a.dispatcher.SetBudget(opts.Share)
	}
	a.report.Store(&dispatch.Report{})
	return a
}

// Run runs the event loop until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.done)
	if !a.opts.PlainService {
		go a.watchEngine(ctx)
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	balance := time.NewTicker(askInterval)
	defer balance.Stop()
	deadline := time.NewTimer(time.Hour)
	defer deadline.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			a.noticePause(time.Now())
			e.apply(ctx, a, time.Now())
		case <-sweep.C:
			a.noticePause(time.Now())
			a.sweep(time.Now())
		case <-beat.C:
			a.noticePause(time.Now())
			continue
		case <-deadline.C:
			a.noticePause(time.Now())
		case now := <-balance.C:
			a.balance(now)
			continue
		}
		a.perform(ctx, a.dispatcher.Next(time.Now()))
		a.publish()
		if next := a.dispatcher.NextDeadline(time.Now()); !next.IsZero() {
			deadline.Reset(max(0, time.Until(next)))
		}
	}
}

// Report returns the target's load as of the last event.
func (a *Agent) Report() dispatch.Report { return *a.report.Load() }

// Drain stops taking requests; what runs goes on.
func (a *Agent) Drain() { a.post(drained{}) }

// SetConfiguration puts the lending terms of cfg in force.
func (a *Agent) SetConfiguration(cfg *configuration.Configuration) {
	a.post(configured{cfg: cfg})
}

// post hands an event to the loop and reports false when the loop has ended.
func (a *Agent) post(e agentEvent) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

// publish makes the load visible outside the loop.
func (a *Agent) publish() {
	r := a.dispatcher.Report()
	a.report.Store(&r)
	a.publishHint(time.Now())
	a.opts.Scope.Gauge("running").Update(float64(r.Running))
	a.opts.Scope.Gauge("queued").Update(float64(r.Queued))
}

// perform carries out what the dispatcher decided.
func (a *Agent) perform(ctx context.Context, actions []dispatch.Action) {
	for _, action := range actions {
		switch action.Kind {
		case dispatch.Start:
			a.start(ctx, a.attempts[action.Request.Key])
		case dispatch.Refuse:
			a.refuse(a.attempts[action.Request.Key], action.Reason)
		case dispatch.Load:
			a.opts.Log.At(event.AdapterLoading).Stringer("adapter", action.Adapter).Str("reason", loadReason(action)).Send()
			go a.load(ctx, action.Adapter)
		case dispatch.Unload:
			a.opts.Log.At(event.AdapterUnloading).Stringer("adapter", action.Adapter).Str("reason", "room_needed").Send()
			go a.unload(ctx, action.Adapter)
		}
	}
}

// loadReason says in logs why an adapter is loaded, or unloaded to make room.
func loadReason(action dispatch.Action) string {
	if action.Ahead {
		return "demand"
	}
	return "request_waits"
}

// refuse tells the sender of at that it did not run.
func (a *Agent) refuse(at *attempt, reason outcome.Reason) {
	if reason == outcome.Expired {
		reason = at.expiry()
	}
	a.release(at)
	a.opts.Log.At(event.RequestNotRun).Str("request", at.submit.Request).Uint32("attempt", at.submit.Attempt).
		Stringer("reason", reason).Send()
	a.opts.Scope.Tagged(map[string]string{"reason": reason.String()}).Counter("refused").Inc(1)
	at.answer.refuse(time.Now(), reason, a.dispatcher.Report())
}

// sweep forgets what nobody can ask for any more.
func (a *Agent) sweep(now time.Time) {
	for key, at := range a.attempts {
		if at.answer.forgettable(now, resumeWindow) {
			delete(a.attempts, key)
			continue
		}
		if at.answer.orphaned(now, resumeWindow) {
			a.abandon(at)
		}
	}
	for key, until := range a.voided {
		if now.After(until) {
			delete(a.voided, key)
		}
	}
}

// abandon ends an attempt whose answer nobody takes.
func (a *Agent) abandon(at *attempt) {
	at.answer.abandon()
	if a.dispatcher.Withdraw(at.request.Key) {
		a.refuse(at, outcome.Cancelled)
		return
	}
	if at.cancel != nil && !at.keyed() { // the result of a keyed request is kept for its next sending
		at.cancel()
	}
}

// load orders the engine to load an adapter.
func (a *Agent) load(ctx context.Context, id adapter.ID) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := time.Now()
	err := a.opts.Engine.Load(ctx, id)
	if err != nil {
		a.opts.Log.At(event.AdapterLoadFailed).Stringer("adapter", id).Err(err).Send()
	} else {
		a.opts.Log.At(event.AdapterLoaded).Stringer("adapter", id).Dur("took", time.Since(began)).Send()
	}
	a.post(loaded{id: id, ok: err == nil})
}

// unload orders the engine to unload an adapter. A refused order leaves the
// engine's own list as the truth, which the next state report brings.
func (a *Agent) unload(ctx context.Context, id adapter.ID) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := a.opts.Engine.Unload(ctx, id); err != nil {
		a.opts.Log.At(event.EngineUnreachable).Err(err).Send()
	}
	a.post(unloaded{id: id})
}

// watchEngine posts the engine's reports until ctx is done.
func (a *Agent) watchEngine(ctx context.Context) {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		a.readState(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) readState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*stateInterval)
	defer cancel()
	s, err := a.opts.Engine.State(ctx)
	if err != nil {
		return // the engine restarts or hangs; requests to it tell more
	}
	a.post(engineReported{state: s})
}
