package enginecontroller

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// slotEngine is an engine that executes orders at once and counts the adapters that it was
// ordered to load beyond its slots. It can be restarted under its instance.
type slotEngine struct {
	mu       sync.Mutex
	started  int64
	model    bool
	adapters []string
	sequence int64
	overfull int
	withhold bool // the next order to load an adapter gets no response and is executed late
	late     []func()
}

const slotEngineInstance = "i-1"

func (e *slotEngine) Report(context.Context) (orders.Report, orders.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := orders.Report{Started: e.started, Sequence: e.sequence}
	if e.model {
		r.Models = []orders.Model{{Name: "m", Version: 1}}
	}
	for _, name := range e.adapters {
		r.Adapters = append(r.Adapters, orders.Resident{Adapter: orders.Adapter{Model: "m", Name: name}, Version: 1})
	}
	return r, orders.Notice{}, nil
}

func (e *slotEngine) Order(_ context.Context, instance string, sequence int64, o orders.Order) (orders.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance != slotEngineInstance {
		return orders.Notice{}, errRejected
	}
	if e.withhold && !o.Unload && o.Adapter.Name != "" {
		e.withhold = false
		e.late = append(e.late, func() { _ = e.execute(sequence, o) }) // nobody learns of a rejection
		return orders.Notice{}, errUnanswered
	}
	return orders.Notice{}, e.execute(sequence, o)
}

// execute executes an order. The caller holds mu.
func (e *slotEngine) execute(sequence int64, o orders.Order) error {
	if sequence != e.sequence {
		return errRejected
	}
	e.sequence++
	i := slices.Index(e.adapters, o.Adapter.Name)
	switch {
	case o.Adapter.Name == "":
		e.model = true
	case o.Unload && i >= 0:
		e.adapters = slices.Delete(e.adapters, i, i+1)
	case !o.Unload && i < 0:
		e.adapters = append(e.adapters, o.Adapter.Name)
	}
	if len(e.adapters) > engineSpec("", 0).AdapterSlots {
		e.overfull++
	}
	return nil
}

func (e *slotEngine) IsRejected(err error) bool { return errors.Is(err, errRejected) }

// restart starts the engine again under its instance, without a model.
func (e *slotEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	e.model, e.adapters, e.sequence = false, nil, 0
}

func (e *slotEngine) holds(names ...string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		if !slices.Contains(e.adapters, name) {
			return false
		}
	}
	return true
}

// setWithhold has the next order to load an adapter get no response.
func (e *slotEngine) setWithhold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withhold = true
}

// executeLate executes the orders that got no response.
func (e *slotEngine) executeLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, execute := range e.late {
		execute()
	}
	e.late = nil
}

// overfills returns the number of orders to load beyond the slots.
func (e *slotEngine) overfills() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfull
}

// request asks for adapters until the engine holds all of them, or for the given time.
func request(t *testing.T, c *fakeEntryd, e *slotEngine, within time.Duration, names ...string) bool {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.holds(names...) {
			return true
		}
		for _, name := range names {
			c.send(t, wantAdapter(name))
		}
	}
	return false
}

// fillWithLateOrder fills an engine that holds its model by three orders, and has it replace an
// adapter by two more. The last one, conditional on four accepted orders, gets no response before
// it is repeated.
func fillWithLateOrder(t *testing.T, c *fakeEntryd, e *slotEngine) {
	t.Helper()
	for _, name := range []string{"a1", "a2", "a3"} {
		if !request(t, c, e, 5*time.Second, name) {
			t.Fatalf("adapter %s is not loaded", name)
		}
	}
	time.Sleep(time.Second) // the demand for these adapters expires
	e.setWithhold()
	if !request(t, c, e, 5*time.Second, "a4") {
		t.Fatal("adapter a4 is not loaded")
	}
	time.Sleep(time.Second)
}

// TestLateOrderAfterRestart guards against an overfilled engine because an order without a
// response becomes valid again when the engine starts again under its instance and counts its
// orders from zero.
func TestLateOrderAfterRestart(t *testing.T) {
	convey.Convey("An engine that held its model from the start has executed an order late after a restart", t, func() {
		e := &slotEngine{started: 7, model: true}
		c := connect(t, startController(t, e), "e1")
		c.send(t, engineSpec(slotEngineInstance, 7))
		fillWithLateOrder(t, c, e)
		e.restart() // the model is loaded by an order now, so that the engine is full after four
		c.send(t, engineSpec(slotEngineInstance, 8))
		request(t, c, e, 3*time.Second, "a1", "a2", "a3")
		e.executeLate()
		convey.So(e.overfills(), convey.ShouldEqual, 0)
	})
}

// outstanding returns the outstanding orders that the entryd received, by instance.
func (e *fakeEntryd) outstanding() map[string][]orders.OutstandingOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := map[string][]orders.OutstandingOrder{}
	for _, m := range e.outstandingReports {
		found[m.Instance] = append(found[m.Instance], m.Orders...)
	}
	return found
}

// connectKeeper connects an entryd that keeps outstanding orders, and passes those of the given
// one on.
func connectKeeper(t *testing.T, addr netip.AddrPort, id peer.Identity, from *fakeEntryd) *fakeEntryd {
	t.Helper()
	c := connectAs(t, addr, id)
	m := peer.OutstandingOrders{Instance: slotEngineInstance}
	if from != nil {
		m.Orders = from.outstanding()[slotEngineInstance]
	}
	c.send(t, m)
	return c
}

// TestLateOrderAfterBothRestart guards against an overfilled engine because the targetd that knew
// of an order without a response ended, before or after its engine did.
func TestLateOrderAfterBothRestart(t *testing.T) {
	convey.Convey("Given an engine that gives no response to an order", t, func() {
		e := &slotEngine{started: 7, model: true}
		first := connectKeeper(t, startController(t, e), entrydNamed("e1", "a"), nil)
		first.send(t, engineSpec(slotEngineInstance, 7))
		fillWithLateOrder(t, first, e)
		loaded := func(c *fakeEntryd, started int64) {
			c.send(t, engineSpec(slotEngineInstance, started))
			request(t, c, e, 3*time.Second, "a1", "a2", "a3")
			e.executeLate()
		}
		convey.Convey("an engine that restarts with its targetd is not overfilled", func() {
			e.restart()
			loaded(connectKeeper(t, startController(t, e), entrydNamed("e1", "a"), first), 8)
			convey.So(e.overfills(), convey.ShouldEqual, 0)
		})
		convey.Convey("an engine that restarts after its targetd, twice, is not overfilled", func() {
			c := connectKeeper(t, startController(t, e), entrydNamed("e1", "a"), first)
			c.send(t, engineSpec(slotEngineInstance, 7))
			convey.So(eventually(func() bool { return c.state().Started == 7 }), convey.ShouldBeTrue)
			e.restart()
			c.send(t, engineSpec(slotEngineInstance, 8))
			convey.So(request(t, c, e, 5*time.Second, "a5"), convey.ShouldBeTrue)
			e.restart()
			loaded(c, 9)
			convey.So(e.overfills(), convey.ShouldEqual, 0)
		})
	})
}

// TestKeepers guards against outstanding orders that no process remembers after some were lost,
// and against a report of each order to every entryd.
func TestKeepers(t *testing.T) {
	convey.Convey("Given five entryds in three availability zones, one of an earlier release", t, func() {
		e := &slotEngine{started: 7, model: true}
		addr := startController(t, e)
		old := connect(t, addr, "e0")
		var entryds []*fakeEntryd
		for _, id := range []peer.Identity{entrydNamed("e1", "a"), entrydNamed("e2", "a"), entrydNamed("e3", "b"), entrydNamed("e4", "c")} {
			entryds = append(entryds, connectKeeper(t, addr, id, nil))
		}
		informed := func() (n int) {
			for _, c := range entryds {
				for _, o := range c.outstanding()[slotEngineInstance] {
					if !o.Order.Unload && o.Order.Adapter.Name == "a1" {
						n++
						break
					}
				}
			}
			return n
		}
		convey.So(eventually(func() bool { return entryds[0].state().ConnectedEntries == 5 }), convey.ShouldBeTrue)
		entryds[0].send(t, engineSpec(slotEngineInstance, 7))
		e.setWithhold()
		convey.So(request(t, entryds[0], e, 5*time.Second, "a1"), convey.ShouldBeTrue)
		convey.Convey("one of each zone keeps an order without a response", func() {
			convey.So(eventually(func() bool { return informed() == 3 }), convey.ShouldBeTrue)
			convey.So(entryds[1].outstanding(), convey.ShouldBeEmpty)
			convey.So(old.outstanding(), convey.ShouldBeEmpty)
			convey.Convey("another one takes the place of one that is lost", func() {
				entryds[0].conn.Close()
				convey.So(eventually(func() bool { return informed() == 4 }), convey.ShouldBeTrue)
			})
		})
	})
}
