package enginecontroller

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// Polling intervals of the engine's report, which costs nothing on the engine's
// own VM, and limits on messages and orders.
const (
	// idleInterval is the polling interval while nothing is being loaded. It bounds
	// the age of the load that entry processes see.
	idleInterval = 100 * time.Millisecond
	// loadingInterval is the polling interval while adapters are being loaded: the
	// duration of a load from the VM's memory, a tenth of one from the store.
	loadingInterval = 25 * time.Millisecond
	// disconnectedInterval is the polling interval while no entry process is
	// connected.
	disconnectedInterval = 500 * time.Millisecond
	// minLoadUpdateInterval is the minimum interval between two EngineLoad messages,
	// unless Full changes. minLoadChange is the minimum change in requests that
	// causes one: an eighth of the smallest batch of the users' engines.
	minLoadUpdateInterval = 200 * time.Millisecond
	minLoadChange         = 4
	// maxOrdersPerStep bounds the orders between two updates to entry processes.
	maxOrdersPerStep = 8
)

// Engine is the engine on the same VM.
type Engine interface {
	// Report returns the engine's current state.
	Report(ctx context.Context) (orders.Report, error)
	// Order has the engine execute o on condition that it is the given instance
	// and has accepted exactly sequence orders.
	Order(ctx context.Context, instance string, sequence int64, o orders.Order) error
	// IsRejected reports whether an order failed because the engine refused it, so
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
}

// Controller is the sole controller of one engine.
type Controller struct {
	Options
	inbox chan func(now time.Time)

	mu      sync.Mutex // guards conns and crashes
	conns   map[*peer.Conn]struct{}
	crashes map[string][][]byte // fingerprints of the requests in flight at known crashes, by engine instance

	// Owned by the loop.
	stepRequested    bool // a message arrived that may lead to an order
	planner          *orders.Planner
	load             peer.EngineLoad
	loadSentAt       time.Time
	spec             peer.EngineSpec
	instances        map[int64]string // identities of the engine's starts, by start time
	state            peer.EngineState
	report           orders.Report
	reachable        bool
	unansweredOrders int // consecutive orders without an answer
}

// inboxSize is the number of messages buffered for the loop. Connections block
// when the buffer is full.
const inboxSize = 256

// New returns a controller without any state of the engine or of entry processes.
func New(opts Options) *Controller {
	return &Controller{
		Options: opts,
		inbox:   make(chan func(time.Time), inboxSize),
		conns:   map[*peer.Conn]struct{}{},
		crashes: map[string][][]byte{},
		planner: orders.NewPlanner(),

		instances: map[int64]string{},
	}
}

// maxInstances bounds the number of engine starts whose identity is kept.
const maxInstances = 32

// applySpec records the capacity, the identity and the announced adapter
// versions that an entry process sent for the engine.
func (k *Controller) applySpec(now time.Time, m peer.EngineSpec) {
	if len(k.instances) > maxInstances {
		clear(k.instances)
	}
	k.instances[m.Started] = m.Instance
	k.spec = m
	for _, a := range m.Announced {
		k.planner.RecordVersion(now, orders.Adapter{Model: a.Model, Name: a.Adapter}, a.Version)
	}
}

// recordDemands passes the demand of an entry process to the planner.
func (k *Controller) recordDemands(now time.Time, m peer.AdapterDemands) {
	for _, w := range m.Demands {
		k.planner.RecordDemand(now, orders.Demand{
			Adapter: orders.Adapter{Model: w.Model, Name: w.Adapter},
			Version: w.Version,
			Waiting: w.Waiting,
			Used:    w.Used,
			Running: w.Running,
		})
	}
}

// Run controls the engine until ctx is done.
func (k *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	expire := time.NewTicker(time.Minute)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case handle := <-k.inbox:
			handle(time.Now())
			if !k.stepRequested && k.planner.Missing(time.Now(), &k.report) == 0 {
				continue
			}
		case now := <-expire.C:
			k.planner.Expire(now)
			continue
		case <-timer.C:
		}
		k.drainInbox()
		k.stepRequested = false
		timer.Reset(k.step(ctx))
	}
}

// drainInbox handles the messages that are already in the inbox.
func (k *Controller) drainInbox() {
	for {
		select {
		case handle := <-k.inbox:
			handle(time.Now())
		default:
			return
		}
	}
}

// step reads the report, executes orders as long as they are accepted, sends the
// changes to entry processes, and returns the time until the next step.
func (k *Controller) step(ctx context.Context) time.Duration {
	if k.spec.Instance == "" && k.entryCount() == 0 {
		return disconnectedInterval
	}
	for range maxOrdersPerStep {
		k.readReport(ctx)
		if !k.reachable || !k.executeNextOrder(ctx) {
			break
		}
	}
	k.sendChanges(time.Now())
	switch {
	case len(k.report.Loading) > 0 || k.report.ModelChanging || k.planner.Missing(time.Now(), &k.report) > 0:
		return loadingInterval
	case k.entryCount() == 0:
		return disconnectedInterval
	}
	return idleInterval
}

// readReport reads the engine's report and logs changes of its availability.
func (k *Controller) readReport(ctx context.Context) {
	r, err := k.Engine.Report(ctx)
	if err != nil {
		if k.reachable {
			k.Log.At(event.EngineUnreachable).Err(err).Send()
		}
		k.reachable = false
		return
	}
	if !k.reachable {
		k.Log.At(event.EngineReachable).Int64("started", r.Started).Int("adapters", len(r.Adapters)).Send()
	}
	if k.reachable && r.Started != k.report.Started {
		k.Log.At(event.EngineRestarted).Int64("started", r.Started).Int64("before", k.report.Started).Send()
	}
	k.reachable = true
	k.report = r
}

// executeNextOrder sends the planner's next order to the engine. It reports
// whether another order may succeed now: after an accepted order, or after a
// refused one if the planner says so.
func (k *Controller) executeNextOrder(ctx context.Context) bool {
	instance := k.instance()
	if instance == "" {
		return false // an order could reach a different start of the engine
	}
	now := time.Now()
	o, ok := k.planner.Next(now, &k.report, k.capacity())
	if !ok {
		return false
	}
	err := k.Engine.Order(ctx, instance, k.report.Sequence, o)
	e := k.Log.At(event.EngineOrdered).
		Bool("unload", o.Unload).
		Str("model", o.Adapter.Model).
		Str("adapter", o.Adapter.Name).
		Int64("version", o.Version).
		Int64("sequence", k.report.Sequence).
		Int("resident", len(k.report.Adapters)).
		Int("coming", len(k.report.Loading)).
		Dur("took", time.Since(now))
	switch {
	case err == nil:
		e.Str("outcome", "accepted").Send()
		k.countOrder("accepted")
		k.unansweredOrders = 0
		k.planner.Accepted(now, &k.report, o)
		return true
	case k.Engine.IsRejected(err):
		e.Str("outcome", "refused").Err(err).Send()
		k.countOrder("refused")
		k.unansweredOrders = 0
		return k.planner.Rejected(now, o)
	}
	e.Str("outcome", "unanswered").Err(err).Send()
	k.countOrder("unanswered")
	k.unansweredOrders++
	return false
}

// countOrder increments the metric of orders with the given result.
func (k *Controller) countOrder(result string) {
	k.Scope.Tagged(map[string]string{"result": result}).Counter("engine_orders").Inc(1)
}

// instance returns the identity of the engine start that sent the report, or an
// empty string if it is not known.
func (k *Controller) instance() string {
	if k.report.Instance != "" {
		return k.report.Instance
	}
	return k.instances[k.report.Started]
}

// capacity returns the capacity of the engine according to its spec.
func (k *Controller) capacity() orders.Capacity {
	return orders.Capacity{
		AdapterSlots: k.spec.AdapterSlots,
		WeightsMB:    k.spec.WeightsMB,
		Model:        k.spec.Model,
		ModelMB:      k.spec.ModelMB,
		AdapterMB:    k.spec.AdapterMB,
		MaxLoads:     k.spec.MaxLoads,
	}
}
