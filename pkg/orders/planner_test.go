package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var (
	start    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	capacity = Capacity{AdapterSlots: 3, WeightsMB: 110, Models: []ModelSize{{Name: "m", WeightsMB: 100, AdapterMB: 1}}, MaxLoads: 2}
)

func adapterNamed(name string) Adapter { return Adapter{Model: "m", Name: name} }

func reportHolding(names ...string) *Report {
	r := &Report{Started: 1, Models: []Model{{Name: "m"}}}
	for _, n := range names {
		r.Adapters = append(r.Adapters, Resident{Adapter: adapterNamed(n), Version: 1})
	}
	return r
}

func TestNext(t *testing.T) {
	convey.Convey("Given an engine with three adapter slots", t, func() {
		p := NewPlanner(NewOutstanding())
		convey.Convey("an empty engine loads the model once", func() {
			r := &Report{Started: 1}
			o, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Adapter: Adapter{Model: "m"}})
			p.Accepted(start, r, o)
			_, ok = p.Next(start.Add(time.Second), r, capacity)
			convey.So(ok, convey.ShouldBeFalse)
			convey.Convey("and again after a restart", func() {
				_, ok := p.Next(start.Add(time.Second), &Report{Started: 2}, capacity)
				convey.So(ok, convey.ShouldBeTrue)
			})
		})
		convey.Convey("a model that does not fit is never ordered", func() {
			small := capacity
			small.WeightsMB = 50
			_, ok := p.Next(start, &Report{Started: 1}, small)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("there is no order without demand", func() {
			_, ok := p.Next(start, reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("an adapter that requests wait for is loaded into a free slot", func() {
			p.RecordDemand(start, Demand{Adapter: adapterNamed("b"), Version: 4, Waiting: 1})
			o, ok := p.Next(start, reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Adapter: adapterNamed("b"), Version: 4})
		})
		convey.Convey("the adapter with more waiting requests is loaded first, unless the wait for another is much longer", func() {
			p.RecordDemand(start, Demand{Adapter: adapterNamed("old"), Waiting: 1})
			later := start.Add(waitingRequestBonus)
			p.RecordDemand(later, Demand{Adapter: adapterNamed("many"), Waiting: 3})
			o, _ := p.Next(later, reportHolding(), capacity)
			convey.So(o.Adapter, convey.ShouldResemble, adapterNamed("many"))
			p.RecordDemand(later, Demand{Adapter: adapterNamed("old"), Waiting: 3})
			o, _ = p.Next(later, reportHolding(), capacity)
			convey.So(o.Adapter, convey.ShouldResemble, adapterNamed("old"))
		})
		convey.Convey("a demand that is not repeated expires", func() {
			p.RecordDemand(start, Demand{Adapter: adapterNamed("b"), Waiting: 1})
			_, ok := p.Next(start.Add(2*demandTTL), reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("when all slots are occupied, the least used adapter is evicted", func() {
			for i, name := range []string{"a", "b", "c"} {
				p.RecordDemand(start, Demand{Adapter: adapterNamed(name), Used: 10 - i})
			}
			later := start.Add(2 * time.Second)
			p.RecordDemand(later, Demand{Adapter: adapterNamed("d"), Waiting: 1})
			o, ok := p.Next(later, reportHolding("a", "b", "c"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Unload: true, Adapter: adapterNamed("c")})
			convey.Convey("and the next one if the engine rejects the unload because the adapter is in use", func() {
				convey.So(p.Rejected(later, o), convey.ShouldBeTrue)
				o, ok := p.Next(later, reportHolding("a", "b", "c"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(o.Adapter, convey.ShouldResemble, adapterNamed("b"))
			})
		})
		convey.Convey("adapters in use are not evicted", func() {
			for _, name := range []string{"a", "b", "c"} {
				p.RecordDemand(start, Demand{Adapter: adapterNamed(name), Running: 1})
			}
			p.RecordDemand(start, Demand{Adapter: adapterNamed("d"), Waiting: 1})
			_, ok := p.Next(start, reportHolding("a", "b", "c"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
			convey.So(p.Full(), convey.ShouldBeTrue)
		})
		convey.Convey("an outdated version is unloaded", func() {
			p.RecordVersion(start, adapterNamed("a"), 2)
			o, ok := p.Next(start, reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Unload: true, Adapter: adapterNamed("a")})
			convey.Convey("and the new version is loaded when requests wait for it", func() {
				_, ok := p.Next(start, reportHolding("c"), capacity)
				convey.So(ok, convey.ShouldBeFalse)
				p.RecordDemand(start, Demand{Adapter: adapterNamed("a"), Version: 2, Waiting: 1})
				o, ok := p.Next(start, reportHolding("c"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(o, convey.ShouldResemble, Order{Adapter: adapterNamed("a"), Version: 2})
			})
			convey.Convey("a rejected unload is repeated only after usageTTL and does not block other adapters", func() {
				convey.So(p.Rejected(start, o), convey.ShouldBeTrue)
				_, ok := p.Next(start.Add(usageTTL/2), reportHolding("a"), capacity)
				convey.So(ok, convey.ShouldBeFalse)
				p.RecordDemand(start, Demand{Adapter: adapterNamed("b"), Waiting: 1})
				other, ok := p.Next(start.Add(usageTTL/2), reportHolding("a"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(other.Adapter, convey.ShouldResemble, adapterNamed("b"))
				again, ok := p.Next(start.Add(usageTTL), reportHolding("a"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(again, convey.ShouldResemble, o)
			})
		})
		convey.Convey("a rejected load is ordered again only after rejectedLoadBackoff", func() {
			p.RecordDemand(start, Demand{Adapter: adapterNamed("b"), Waiting: 1})
			o, _ := p.Next(start, reportHolding("a"), capacity)
			convey.So(p.Rejected(start, o), convey.ShouldBeFalse)
			_, ok := p.Next(start.Add(rejectedLoadBackoff/2), reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
			again, ok := p.Next(start.Add(rejectedLoadBackoff), reportHolding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(again, convey.ShouldResemble, o)
		})
		convey.Convey("a departing engine gets no orders", func() {
			p.RecordDemand(start, Demand{Adapter: adapterNamed("b"), Waiting: 1})
			r := reportHolding("a")
			r.Departing = true
			_, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// fakeEngine executes orders, including delayed ones, as the platform's engines
// do: only if the expected sequence number is the current one.
type fakeEngine struct {
	t        *testing.T
	resident map[string]int64 // versions of the resident adapters
	loading  map[string]int64 // versions of the adapters being loaded
	sequence int64            // orders accepted so far
	delayed  []delayedOrder
}

// delayedOrder is an order that the engine executes after a delay.
type delayedOrder struct {
	order    Order
	expected int64 // sequence number that the order is conditional on
}

func (e *fakeEngine) report() *Report {
	r := &Report{Started: 1, Models: []Model{{Name: "m"}}, Sequence: e.sequence}
	for n, v := range e.resident {
		r.Adapters = append(r.Adapters, Resident{Adapter: adapterNamed(n), Version: v})
	}
	for n, v := range e.loading {
		r.Loading = append(r.Loading, Resident{Adapter: adapterNamed(n), Version: v})
	}
	return r
}

func (e *fakeEngine) execute(o Order, expected int64) {
	if expected != e.sequence {
		return
	}
	e.sequence++
	if o.Unload {
		delete(e.resident, o.Adapter.Name)
		return
	}
	if _, ok := e.resident[o.Adapter.Name]; !ok {
		e.loading[o.Adapter.Name] = max(1, o.Version)
	}
	if n := len(e.resident) + len(e.loading); n > capacity.AdapterSlots {
		e.t.Fatalf("%d adapters in %d slots", n, capacity.AdapterSlots)
	}
}

// TestDelayedOrdersNeverOverfill guards against more adapters than the engine has
// slots for. That happens if the engine executes an order whose response was lost
// after the planner has replaced it by another one.
func TestDelayedOrdersNeverOverfill(t *testing.T) {
	convey.Convey("Orders that are executed late never occupy more than the engine's adapter slots", t, func() {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 1))
			e := &fakeEngine{t: t, resident: map[string]int64{}, loading: map[string]int64{}}
			p := NewPlanner(NewOutstanding())
			now := start
			for range 300 {
				now = now.Add(50 * time.Millisecond)
				report := e.report()
				// Entryds request only adapters that the engine does not hold.
				if a := adapterNamed(fmt.Sprint("a", r.IntN(40))); e.resident[a.Name] == 0 {
					p.RecordDemand(now, Demand{Adapter: a, Waiting: 1})
				}
				if o, ok := p.Next(now, report, capacity); ok {
					if r.IntN(2) == 0 {
						e.delayed = append(e.delayed, delayedOrder{o, report.Sequence})
					} else {
						e.execute(o, report.Sequence)
						p.Accepted(now, report, o)
					}
				}
				if len(e.delayed) > 0 && r.IntN(3) == 0 {
					i := r.IntN(len(e.delayed))
					e.execute(e.delayed[i].order, e.delayed[i].expected)
				}
				for n, v := range e.loading {
					if r.IntN(4) == 0 {
						e.resident[n] = v
						delete(e.loading, n)
					}
				}
			}
			convey.So(e.sequence, convey.ShouldBeGreaterThan, 10)
		}
	})
}

func ExampleCapacity_Excess() {
	c := Capacity{AdapterSlots: 15, WeightsMB: 75200, Models: []ModelSize{{Name: "m", WeightsMB: 72700, AdapterMB: 200}}}
	r := &Report{Models: []Model{{Name: "m"}}}
	for c.Excess(c.Used(r)) == (Usage{}) {
		r.Adapters = append(r.Adapters, Resident{Adapter: Adapter{Model: "m", Name: fmt.Sprint("a", len(r.Adapters))}})
	}
	fmt.Println("of", len(r.Adapters), "adapters", c.Excess(c.Used(r)).MB, "MB don't fit")
	// Output: of 13 adapters 100 MB don't fit
}

func BenchmarkNext(b *testing.B) {
	p := NewPlanner(NewOutstanding())
	r := reportHolding()
	for i := range 3000 {
		p.RecordDemand(start, Demand{Adapter: adapterNamed(fmt.Sprint("a", i)), Used: 1})
	}
	for i := range 15 {
		r.Adapters = append(r.Adapters, Resident{Adapter: adapterNamed(fmt.Sprint("a", i)), Version: 1})
	}
	p.RecordDemand(start, Demand{Adapter: adapterNamed("new"), Waiting: 1})
	c := Capacity{AdapterSlots: 15, WeightsMB: 75200, Models: []ModelSize{{Name: "m", WeightsMB: 72700, AdapterMB: 66}}, MaxLoads: 4}
	b.ReportAllocs()
	for b.Loop() {
		p.Next(start.Add(time.Second), r, c)
	}
}
