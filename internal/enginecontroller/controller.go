package enginecontroller

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/permits"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/quota"
)

// Polling intervals of the engine's report, which costs nothing on the engine's
// own VM, and limits on messages and orders.
const (
	// idleInterval is the polling interval while nothing is being loaded. It bounds
	// the age of the load that entryds see.
	idleInterval = 100 * time.Millisecond
	// loadingInterval is the polling interval while adapters are being loaded: the
	// duration of a load from the VM's memory, a tenth of one from the store.
	loadingInterval = 25 * time.Millisecond
	// disconnectedInterval is the polling interval while no entryd is
	// connected.
	disconnectedInterval = 500 * time.Millisecond
	// minLoadUpdateInterval is the minimum interval between two EngineLoad messages,
	// unless Full changes: a little less than idleInterval, so that each report may lead
	// to one. minLoadChange is the minimum change in requests that
	// causes one: an eighth of the smallest batch of the users' engines, which has 12
	// slots.
	minLoadUpdateInterval = 90 * time.Millisecond
	minLoadChange         = 1
	// maxOrdersPerStep bounds the orders between two updates to entryds.
	maxOrdersPerStep = 8
)

// Engine is the engine on the same VM.
type Engine interface {
	// Report returns the engine's current state. The notice of this and of Order is
	// valid also with an error.
	Report(ctx context.Context) (orders.Report, orders.Notice, error)
	// Order has the engine execute o on condition that it is the given instance
	// and has accepted exactly sequence orders.
	Order(ctx context.Context, instance string, sequence int64, o orders.Order) (orders.Notice, error)
	// IsRejected reports whether an order failed because the engine rejected it, so
	// that it never takes effect.
	IsRejected(err error) bool
}

// Options are the dependencies and the identity of a Controller.
type Options struct {
	Self   peer.Identity
	Key    peer.Key
	Engine Engine
	Log    event.Log
	Scope  tally.Scope
	Quota  quota.Bounds // by which quotas may be exceeded

	// FirstStart states that the whole system starts for the first time, so that no process has
	// sent the engine orders before.
	FirstStart bool

	Configuration Configuration
}

// Controller is the sole controller of one engine.
type Controller struct {
	Options
	inbox chan func(now time.Time)
	pacer *pacer

	mu      sync.Mutex // guards conns, orderConns, entryds, crashes and segments
	conns   map[*peer.Conn]struct{}
	entryds map[string]int      // connections by the entryd's name; counted for each request for credit
	crashes map[string][][]byte // fingerprints of the requests in flight at known crashes, by engine instance

	orderConns map[*peer.Conn]struct{} // of entryds that keep outstanding orders

	segments segmentReports
	permits  *permits.Issuer
	credit   *credit.Issuers
	origins  *originTable

	configuration *configurationWatch

	// Owned by the loop.
	stepRequested    bool // a message arrived that may lead to an order
	planner          *orders.Planner
	load             peer.EngineLoad
	loadSentAt       time.Time
	specs            map[int64]peer.EngineSpec    // by the start time of the engine that they are meant for
	models           map[int64][]orders.ModelSize // as specs; entryds of earlier releases don't send them
	lastSpec         peer.EngineSpec              // received last
	state            peer.EngineState
	report           orders.Report
	reachable        bool
	unansweredOrders int       // consecutive orders without a response
	backoffUntil     time.Time // the engine wants neither reports nor orders before
	newestStart      int64     // newest start of the engine in a spec; it may have reported nothing yet

	outstanding  *orders.Outstanding
	informed     map[*peer.Conn]struct{} // entryds that were sent the outstanding orders
	heldLoggedAt time.Time               // last EngineOrdersHeld
}

// inboxSize is the number of messages buffered for the loop. Connections block
// when the buffer is full.
const inboxSize = 256

// New returns a controller without any state of the engine or of entryds.
func New(opts Options) *Controller {
	outstanding := orders.NewOutstanding()
	if !opts.FirstStart {
		outstanding.Inherit(time.Now())
	}
	return &Controller{
		Options: opts,
		inbox:   make(chan func(time.Time), inboxSize),
		conns:   map[*peer.Conn]struct{}{},
		entryds: map[string]int{},
		crashes: map[string][][]byte{},
		planner: orders.NewPlanner(outstanding),
		pacer:   newPacer(opts.Log),
		permits: permits.New(),
		credit:  credit.NewIssuers(credit.Now(), opts.Quota, opts.Log, opts.Scope),
		origins: newOriginTable(),

		configuration: &configurationWatch{Configuration: opts.Configuration, log: opts.Log},

		specs:  map[int64]peer.EngineSpec{},
		models: map[int64][]orders.ModelSize{},

		outstanding: outstanding,
		orderConns:  map[*peer.Conn]struct{}{},
	}
}

// maxSpecs bounds the number of specs that are kept. When it is exceeded, only that of
// the engine that reported last is kept beside the next one.
const maxSpecs = 32

// applySpec records the capacity, the identity and the announced adapter
// versions that an entryd sent for the engine.
func (ec *Controller) applySpec(now time.Time, m peer.EngineSpec) {
	if len(ec.specs) > maxSpecs {
		maps.DeleteFunc(ec.specs, func(started int64, _ peer.EngineSpec) bool { return started != ec.report.Started })
		maps.DeleteFunc(ec.models, func(started int64, _ []orders.ModelSize) bool {
			return started != ec.report.Started && started != m.Started
		})
	}
	ec.specs[m.Started] = m
	ec.lastSpec = m
	known := max(ec.newestStart, ec.report.Started)
	if restarted := known != 0 && m.Started > known; restarted {
		ec.backoffUntil = time.Time{}
	}
	ec.newestStart = max(ec.newestStart, m.Started)
	for _, a := range m.Announced {
		ec.planner.RecordVersion(now, orders.Adapter{Model: a.Model, Name: a.Adapter}, a.Version)
	}
}

// recordDemands passes the demand of an entryd to the planner.
func (ec *Controller) recordDemands(now time.Time, m peer.AdapterDemands) {
	for _, d := range m.Demands {
		ec.planner.RecordDemand(now, orders.Demand{
			Adapter: orders.Adapter{Model: d.Model, Name: d.Adapter},
			Version: d.Version,
			Waiting: d.Waiting,
			Used:    d.Used,
			Running: d.Running,
		})
	}
}

// Run controls the engine until ctx is done.
func (ec *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	expire := time.NewTicker(time.Minute)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case handle := <-ec.inbox:
			handle(time.Now())
			if !ec.stepRequested && ec.planner.Missing(time.Now(), &ec.report) == 0 {
				continue // the message leads to no order; the timer starts the next step
			}
		case now := <-expire.C:
			ec.planner.Expire(now)
			ec.outstanding.Expire(now)
			continue
		case <-timer.C:
		}
		ec.drainInbox()
		ec.stepRequested = false
		timer.Reset(ec.step(ctx))
	}
}

// drainInbox handles the messages that are already in the inbox.
func (ec *Controller) drainInbox() {
	for {
		select {
		case handle := <-ec.inbox:
			handle(time.Now())
		default:
			return
		}
	}
}

// step reads the report, executes orders as long as they are accepted, sends the
// changes to entryds, and returns the time until the next step.
func (ec *Controller) step(ctx context.Context) time.Duration {
	if ec.lastSpec.Instance == "" && ec.entrydCount() == 0 {
		return disconnectedInterval
	}
	ec.informKeepers(time.Now())
	for range maxOrdersPerStep {
		if time.Now().Before(ec.backoffUntil) {
			break
		}
		ec.readReport(ctx)
		if !ec.reachable || time.Now().Before(ec.backoffUntil) || !ec.executeNextOrder(ctx) {
			break
		}
	}
	ec.sendChanges(time.Now())
	switch {
	case len(ec.report.Loading) > 0 || ec.report.ModelChanging || ec.planner.Missing(time.Now(), &ec.report) > 0:
		return loadingInterval
	case ec.entrydCount() == 0:
		return disconnectedInterval
	}
	return idleInterval
}

// readReport reads the engine's report and logs changes of its availability.
func (ec *Controller) readReport(ctx context.Context) {
	r, notice, err := ec.Engine.Report(ctx)
	if err != nil {
		ec.applyNotice(time.Now(), notice)
		if notice.Backoff > 0 {
			return // an engine that turns calls away responds
		}
		if ec.reachable {
			ec.Log.Event(event.EngineUnreachable).Err(err).Send()
		}
		ec.reachable = false
		return
	}
	if !ec.reachable {
		ec.Log.Event(event.EngineReachable).Int64("started", r.Started).Int("adapters", len(r.Adapters)).Send()
	}
	if ec.reachable && r.Started != ec.report.Started {
		ec.Log.Event(event.EngineRestarted).Int64("started", r.Started).Int64("before", ec.report.Started).Send()
	}
	ec.reachable = true
	departs := ec.report.Departing && ec.report.Started == r.Started
	ec.report = r
	ec.report.Departing = r.Departing || departs
	ec.applyNotice(time.Now(), notice)
	ec.pacer.observe(time.Now(), r.Running+r.Queued)
}

// applyNotice records what the engine said about further requests. An engine that
// departs does so until it restarts.
func (ec *Controller) applyNotice(now time.Time, n orders.Notice) {
	if n.Departing && !ec.report.Departing {
		ec.report.Departing = true
		ec.Log.Event(event.EngineDeparting).Int64("started", ec.report.Started).Send()
	}
	if n.Backoff > 0 {
		ec.backoffUntil = now.Add(n.Backoff)
		ec.Log.Event(event.EngineBackoff).Int64("started", ec.report.Started).Dur("for", n.Backoff).Send()
	}
}

// executeNextOrder sends the planner's next order to the engine. It reports
// whether another order may succeed now: after an accepted order, or after a
// rejected one if the planner permits it.
func (ec *Controller) executeNextOrder(ctx context.Context) bool {
	instance := ec.instance()
	if instance == "" {
		return false // an order could reach a different instance of the engine
	}
	now := time.Now()
	r := ec.report
	r.Instance = instance
	ec.reportOutstanding(now, nil, instance, ec.outstanding.Observe(now, &r))
	o, ok := ec.planner.Next(now, &r, ec.capacity())
	ec.logHeld(now, instance)
	if !ok {
		return false
	}
	notice, err := ec.Engine.Order(ctx, instance, ec.report.Sequence, o)
	ec.applyNotice(time.Now(), notice)
	e := ec.Log.Event(event.EngineOrdered).
		Bool("unload", o.Unload).
		Str("model", o.Adapter.Model).
		Str("adapter", o.Adapter.Name).
		Int64("version", o.Version).
		Str("instance", instance).
		Int64("started", ec.report.Started).
		Int64("sequence", ec.report.Sequence).
		Int("resident", len(ec.report.Adapters)).
		Int("coming", len(ec.report.Loading)).
		Dur("took", time.Since(now))
	switch {
	case err == nil:
		e.Str("outcome", "accepted").Send()
		ec.countOrder("accepted")
		ec.unansweredOrders = 0
		ec.planner.Accepted(now, &ec.report, o)
		return true
	case ec.Engine.IsRejected(err):
		e.Str("outcome", "refused").Err(err).Send()
		ec.countOrder("refused")
		ec.unansweredOrders = 0
		return ec.planner.Rejected(now, o)
	}
	e.Str("outcome", "unanswered").Err(err).Send()
	ec.recordUnanswered(time.Now(), instance, ec.report.Sequence, o)
	ec.countOrder("unanswered")
	ec.unansweredOrders++
	return false
}

// countOrder increments the metric of orders with the given result.
func (ec *Controller) countOrder(result string) {
	ec.Scope.Tagged(map[string]string{"result": result}).Counter("engine_orders").Inc(1)
}

// instance returns the id of the engine instance that sent the report, or an
// empty string if it is not known.
func (ec *Controller) instance() string {
	if ec.report.Instance != "" {
		return ec.report.Instance
	}
	return ec.specs[ec.report.Started].Instance
}

// capacity returns the capacity of the engine according to the spec for its start: entries
// of other writers may name its address, so that specs for other services arrive too. An
// engine whose entry is not listed yet has the capacity of the start before it.
func (ec *Controller) capacity() orders.Capacity {
	spec, ok := ec.specs[ec.report.Started]
	if !ok {
		spec = ec.lastSpec
	}
	models := ec.models[spec.Started]
	if len(models) == 0 && spec.Model != "" {
		models = []orders.ModelSize{{Name: spec.Model, WeightsMB: spec.ModelMB, AdapterMB: spec.AdapterMB}}
	}
	return orders.Capacity{AdapterSlots: spec.AdapterSlots, WeightsMB: spec.WeightsMB, Models: models, MaxLoads: spec.MaxLoads}
}
