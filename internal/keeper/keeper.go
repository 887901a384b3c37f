package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// Intervals of the engine's report, which is free on its own VM.
const (
	// steadyInterval is the pause while nothing is being loaded. It bounds the
	// age of the load that entries see.
	steadyInterval = 100 * time.Millisecond
	// loadingInterval is the pause while adapters are being loaded: the time
	// that one takes from the VM's memory, which is a tenth of one from the store.
	loadingInterval = 25 * time.Millisecond
	// unusedInterval is the pause while no entry is connected.
	unusedInterval = 500 * time.Millisecond
	// loadInterval is the pause between two messages on the load, and loadStep the
	// least difference worth a message: an eighth of the smallest batch of the
	// users' engines.
	loadInterval = 200 * time.Millisecond
	loadStep     = 4
	// ordersInARow bounds the orders between two reports to entries.
	ordersInARow = 8
)

// Engine is the engine beside the process.
type Engine interface {
	Report(ctx context.Context) (orders.Report, error)
	Order(ctx context.Context, instance string, sequence int64, o orders.Order) error
	// Refused reports whether an order failed because the engine refused it, so
	// that it never takes effect.
	Refused(err error) bool
}

// Options are what a Keeper needs.
type Options struct {
	Self   peer.Identity
	Key    peer.Key
	Engine Engine
	Log    event.Log
	Scope  tally.Scope
}

// Keeper is the only giver of orders to one engine.
type Keeper struct {
	Options
	inbox chan func(now time.Time)

	mu      sync.Mutex // guards links
	links   map[*peer.Conn]struct{}
	crashes map[string][][]byte // requests in flight at known crashes

	// Owned by the loop.
	hurry      bool // something arrived that may lead to an order
	planner    *orders.Planner
	load       peer.EngineLoad
	loadTold   time.Time
	terms      peer.EngineTerms
	instances  map[int64]string // identities of the engine's starts
	state      peer.EngineState
	report     orders.Report
	reachable  bool
	unanswered int // orders in a row
}

// inboxSize is the number of messages that wait for the loop. Connections wait
// when it is full.
const inboxSize = 256

// New returns a keeper that knows nothing yet.
func New(opts Options) *Keeper {
	return &Keeper{
		Options: opts,
		inbox:   make(chan func(time.Time), inboxSize),
		links:   map[*peer.Conn]struct{}{},
		crashes: map[string][][]byte{},
		planner: orders.NewPlanner(),

		instances: map[int64]string{},
	}
}

// instancesKept bounds the starts of the engine that are remembered.
const instancesKept = 32

func (k *Keeper) learn(now time.Time, m peer.EngineTerms) {
	if len(k.instances) > instancesKept {
		clear(k.instances)
	}
	k.instances[m.Started] = m.Instance
	k.terms = m
	for _, a := range m.Announced {
		k.planner.NewVersion(now, orders.Adapter{Model: a.Model, Name: a.Adapter}, a.Version)
	}
}

func (k *Keeper) want(now time.Time, m peer.AdapterWants) {
	for _, w := range m.Wants {
		k.planner.Want(now, orders.Want{
			Adapter: orders.Adapter{Model: w.Model, Name: w.Adapter},
			Version: w.Version,
			Waiting: w.Waiting,
			Used:    w.Used,
			Running: w.Running,
		})
	}
}

// Run looks after the engine until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	expire := time.NewTicker(time.Minute)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case act := <-k.inbox:
			act(time.Now())
			if !k.hurry && k.planner.Missing(time.Now(), &k.report) == 0 {
				continue
			}
		case now := <-expire.C:
			k.planner.Expire(now)
			continue
		case <-timer.C:
		}
		k.drainInbox()
		k.hurry = false
		timer.Reset(k.step(ctx))
	}
}

// drainInbox handles the messages that wait already.
func (k *Keeper) drainInbox() {
	for {
		select {
		case act := <-k.inbox:
			act(time.Now())
		default:
			return
		}
	}
}

// step reads the report, gives orders as long as they are accepted, tells the
// entries, and returns the time until the next look.
func (k *Keeper) step(ctx context.Context) time.Duration {
	if k.terms.Instance == "" && k.entries() == 0 {
		return unusedInterval
	}
	for range ordersInARow {
		k.look(ctx)
		if !k.reachable || !k.orderNext(ctx) {
			break
		}
	}
	k.tell(time.Now())
	switch {
	case len(k.report.Coming) > 0 || k.report.Changing || k.planner.Missing(time.Now(), &k.report) > 0:
		return loadingInterval
	case k.entries() == 0:
		return unusedInterval
	}
	return steadyInterval
}

// look reads the engine's report.
func (k *Keeper) look(ctx context.Context) {
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

// orderNext carries out the planner's next order and reports whether it was
// accepted.
func (k *Keeper) orderNext(ctx context.Context) bool {
	instance := k.instance()
	if instance == "" {
		return false // an order could reach another start of the engine
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
		Int("coming", len(k.report.Coming)).
		Dur("took", time.Since(now))
	switch {
	case err == nil:
		e.Str("outcome", "accepted").Send()
		k.count("accepted")
		k.unanswered = 0
		k.planner.Sent(now, &k.report, o)
		return true
	case k.Engine.Refused(err):
		e.Str("outcome", "refused").Err(err).Send()
		k.count("refused")
		k.unanswered = 0
		return k.planner.Refused(now, o)
	}
	e.Str("outcome", "unanswered").Err(err).Send()
	k.count("unanswered")
	k.unanswered++
	return false
}

func (k *Keeper) count(result string) {
	k.Scope.Tagged(map[string]string{"result": result}).Counter("engine_orders").Inc(1)
}

// instance returns the identity of the start of the engine that the report is
// of, empty when it is not known.
func (k *Keeper) instance() string {
	if k.report.Instance != "" {
		return k.report.Instance
	}
	return k.instances[k.report.Started]
}

func (k *Keeper) capacity() orders.Capacity {
	return orders.Capacity{
		Places:    k.terms.Places,
		WeightsMB: k.terms.WeightsMB,
		Model:     k.terms.Model,
		ModelMB:   k.terms.ModelMB,
		AdapterMB: k.terms.AdapterMB,
		InFlight:  k.terms.AtOnce,
	}
}
