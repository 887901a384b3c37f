package keeper

import (
	"context"
	"net/http"
	"reflect"
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

// ServeHTTP accepts the connection of an entry.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := peer.Accept(w, r, k.Self, k.Key)
	if err != nil {
		k.Log.At(event.PeerRefused).Err(err).Send()
		return
	}
	k.Log.At(event.PeerConnected).Str("peer", c.Remote().Name).Send()
	k.join(c)
	err = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		k.receive(r.Context(), c, m)
	})
	k.leave(c)
	k.Log.At(event.PeerLost).Str("peer", c.Remote().Name).Err(err).Send()
}

func (k *Keeper) join(c *peer.Conn) {
	k.mu.Lock()
	k.links[c] = struct{}{}
	for engine, prints := range k.crashes {
		_, _ = c.Send(peer.CrashReport{Engine: engine, Fingerprints: prints}) // a failed link is dialled again
	}
	k.mu.Unlock()
	k.inbox <- func(time.Time) {
		k.state.Entries = k.entries()
		_, _ = c.Send(k.state) // a failed link is dialled again
		_, _ = c.Send(k.load)
	}
}

func (k *Keeper) leave(c *peer.Conn) {
	k.mu.Lock()
	delete(k.links, c)
	k.mu.Unlock()
}

// entries returns the number of connected entries.
func (k *Keeper) entries() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.links)
}

// receive passes a message of an entry to the loop.
func (k *Keeper) receive(ctx context.Context, c *peer.Conn, m peer.Message) {
	var act func(now time.Time)
	switch m := m.(type) {
	case peer.EngineTerms:
		act = func(now time.Time) {
			k.learn(now, m)
			k.hurry = true
		}
	case peer.AdapterWants:
		act = func(now time.Time) { k.want(now, m) }
	case peer.CrashReport:
		k.relay(c, m)
		return
	default:
		return // heartbeats need no action
	}
	select {
	case k.inbox <- act:
	case <-ctx.Done():
	}
}

// crashesKept bounds the crashes that late entries are told of.
const crashesKept = 200

// relay passes a crash report on to the other entries, once.
func (k *Keeper) relay(from *peer.Conn, m peer.CrashReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.remember(m) {
		return
	}
	for c := range k.links {
		if c != from {
			_, _ = c.Send(m) // a failed link is dialled again and told all
		}
	}
}

// remember reports whether m says something new.
func (k *Keeper) remember(m peer.CrashReport) bool {
	known := map[string]bool{}
	for _, f := range k.crashes[m.Engine] {
		known[string(f)] = true
	}
	fresh := false
	for _, f := range m.Fingerprints {
		if !known[string(f)] {
			k.crashes[m.Engine] = append(k.crashes[m.Engine], f)
			fresh = true
		}
	}
	for engine := range k.crashes {
		if len(k.crashes) <= crashesKept {
			break
		}
		if engine != m.Engine {
			delete(k.crashes, engine)
		}
	}
	return fresh
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

// tell sends the entries what changed: the engine's state at once, its load if
// it differs enough to change a choice.
func (k *Keeper) tell(now time.Time) {
	state := k.describe()
	if !reflect.DeepEqual(state, k.state) {
		k.state = state
		k.send(state)
	}
	load := peer.EngineLoad{
		Running: k.report.Running,
		Queued:  k.report.Queued,
		Wanted:  k.planner.Missing(now, &k.report),
		Full:    k.planner.Full(),
	}
	if !worthTelling(k.load, load) || (now.Sub(k.loadTold) < loadInterval && load.Full == k.load.Full) {
		return
	}
	k.load, k.loadTold = load, now
	k.send(load)
}

// worthTelling reports whether a load differs from the one that entries know by
// more than their own requests tell them.
func worthTelling(known, now peer.EngineLoad) bool {
	difference := max(now.Running+now.Queued-known.Running-known.Queued, known.Running+known.Queued-now.Running-now.Queued)
	return difference >= loadStep || now.Wanted != known.Wanted || now.Full != known.Full
}

// send sends m to all entries.
func (k *Keeper) send(m peer.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.links {
		_, _ = c.Send(m) // a failed link is dialled again
	}
}

func (k *Keeper) describe() peer.EngineState {
	s := peer.EngineState{
		Instance:   k.instance(),
		Started:    k.report.Started,
		Reachable:  k.reachable,
		Departing:  k.report.Departing,
		Resident:   describeAdapters(k.report.Adapters),
		Coming:     describeAdapters(k.report.Coming),
		Unanswered: k.unanswered,
		Entries:    k.entries(),
	}
	for _, m := range k.report.Models {
		s.Models = append(s.Models, m.Name)
	}
	return s
}

func describeAdapters(in []orders.Resident) []peer.AdapterVersion {
	var out []peer.AdapterVersion
	for _, a := range in {
		out = append(out, peer.AdapterVersion{Model: a.Adapter.Model, Adapter: a.Adapter.Name, Version: a.Version})
	}
	return out
}
