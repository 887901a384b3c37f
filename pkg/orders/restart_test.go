package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// restartSimulation is an engine that starts again under its instance, with the targetd that
// orders it and an entryd that keeps the outstanding orders.
type restartSimulation struct {
	t    *testing.T
	seed uint64
	rand *rand.Rand
	now  time.Time

	started  int64 // zero while the engine is down
	upAt     time.Time
	model    bool
	adapters map[string]bool // that it holds or loads
	sequence int64
	late     []lateOrder

	planner     *Planner // nil while the targetd is down
	outstanding *Outstanding
	targetdAt   time.Time
	keeper      *Outstanding

	restarts int
	stale    int // orders of an earlier start that the engine executed
	loads    int
}

// lateOrder is an order that the engine executes without a response.
type lateOrder struct {
	at       time.Time
	order    Order
	expected int64
	started  int64
}

const simulatedInstance = "i"

func newRestartSimulation(t *testing.T, seed uint64) *restartSimulation {
	s := &restartSimulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 2)), now: start, keeper: NewOutstanding()}
	s.startEngine()
	s.outstanding = NewOutstanding()
	s.planner = NewPlanner(s.outstanding)
	return s
}

func (s *restartSimulation) startEngine() {
	s.started, s.model, s.adapters, s.sequence = s.now.UnixMilli(), false, map[string]bool{}, 0
}

// startTargetd starts a targetd that gets the orders that the entryd keeps.
func (s *restartSimulation) startTargetd() {
	s.outstanding = NewOutstanding()
	s.outstanding.Inherit(s.now)
	s.outstanding.Add(s.now, simulatedInstance, s.keeper.Orders(s.now, simulatedInstance)...)
	s.planner = NewPlanner(s.outstanding)
}

// within returns a random time from low to high.
func (s *restartSimulation) within(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// execute has the engine execute an order if it accepts it.
func (s *restartSimulation) execute(o Order, expected int64) bool {
	if s.started == 0 || expected != s.sequence {
		return false
	}
	switch {
	case o.Adapter.Name == "":
		s.model = true
	case !s.model:
		return false
	case o.Unload:
		delete(s.adapters, o.Adapter.Name)
	default:
		s.adapters[o.Adapter.Name] = true
		s.loads++
	}
	s.sequence++
	if n := len(s.adapters); n > capacity.AdapterSlots {
		s.t.Fatalf("seed %d: %d adapters in %d slots after %s", s.seed, n, capacity.AdapterSlots, s.now.Sub(start))
	}
	return true
}

func (s *restartSimulation) executeLate() {
	kept := s.late[:0]
	for _, l := range s.late {
		if s.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		if s.execute(l.order, l.expected) && l.started != s.started {
			s.stale++
		}
	}
	s.late = kept
}

// order has the targetd send its next order. It reports whether the response was lost.
func (s *restartSimulation) order() (unanswered bool) {
	r := &Report{Instance: simulatedInstance, Started: s.started, Sequence: s.sequence}
	if s.model {
		r.Models = []Model{{Name: capacity.Models[0].Name}}
	}
	for name := range s.adapters {
		r.Adapters = append(r.Adapters, Resident{Adapter: adapterNamed(name), Version: 1})
	}
	if name := fmt.Sprint("a", s.rand.IntN(8)); !s.adapters[name] {
		s.planner.RecordDemand(s.now, Demand{Adapter: adapterNamed(name), Waiting: 1})
	}
	s.keeper.Add(s.now, simulatedInstance, s.outstanding.Observe(s.now, r)...)
	o, ok := s.planner.Next(s.now, r, capacity)
	if !ok {
		return false
	}
	if s.rand.IntN(2) == 0 && s.execute(o, r.Sequence) {
		s.planner.Accepted(s.now, r, o)
		return false
	}
	l := lateOrder{at: s.now.Add(s.within(2*time.Second, 12*time.Second)), order: o, expected: r.Sequence, started: s.started}
	s.late = append(s.late, l)
	added := s.outstanding.Add(s.now, simulatedInstance, OutstandingOrder{Sequence: l.expected, Order: o, Within: OrderLifetime})
	if s.rand.IntN(40) == 0 {
		s.stopTargetd() // before it reports the order
		return true
	}
	s.keeper.Add(s.now, simulatedInstance, added...)
	return true
}

func (s *restartSimulation) stopTargetd() {
	s.planner, s.targetdAt = nil, s.now.Add(s.within(0, time.Second))
}

func (s *restartSimulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(50 * time.Millisecond) {
		s.executeLate()
		if s.planner == nil && !s.now.Before(s.targetdAt) {
			s.startTargetd()
		}
		if s.started == 0 && !s.now.Before(s.upAt) {
			s.startEngine()
		}
		unanswered := s.planner != nil && s.started != 0 && s.order()
		if s.planner != nil && s.rand.IntN(300) == 0 {
			s.stopTargetd()
		}
		if s.started == 0 || s.rand.IntN(60) > 0 {
			continue
		}
		// The engine crashes, half of the time with its targetd.
		s.restarts++
		s.started, s.upAt = 0, s.now.Add(s.within(100*time.Millisecond, 2*time.Second))
		if s.planner != nil && !unanswered && s.rand.IntN(2) == 0 {
			s.stopTargetd()
		}
	}
}

// TestOrdersOfEarlierStartNeverOverfill guards against more adapters than the engine has slots
// for because it starts again under its instance, counts its orders from zero, and then executes
// an order that an earlier start got without a response. The targetd is restarted too: alone,
// with its engine, and before it has reported its last order.
func TestOrdersOfEarlierStartNeverOverfill(t *testing.T) {
	convey.Convey("Orders for earlier starts of an engine never occupy more than its adapter slots", t, func() {
		restarts, stale, loads := 0, 0, 0
		for seed := range uint64(200) {
			s := newRestartSimulation(t, seed)
			s.run(time.Minute)
			restarts, stale, loads = restarts+s.restarts, stale+s.stale, loads+s.loads
		}
		convey.So(restarts, convey.ShouldBeGreaterThan, 5*200)
		convey.So(stale, convey.ShouldBeGreaterThan, 200) // one a seed on average
		convey.So(loads, convey.ShouldBeGreaterThan, 50*200)
	})
}
