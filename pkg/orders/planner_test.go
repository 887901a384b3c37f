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
	capacity = Capacity{Places: 3, WeightsMB: 110, Model: "m", ModelMB: 100, AdapterMB: 1, InFlight: 2}
)

func named(name string) Adapter { return Adapter{Model: "m", Name: name} }

func holding(names ...string) *Report {
	r := &Report{Started: 1, Models: []Model{{Name: "m"}}}
	for _, n := range names {
		r.Adapters = append(r.Adapters, Resident{Adapter: named(n), Version: 1})
	}
	return r
}

func TestNext(t *testing.T) {
	convey.Convey("Given an engine with three places", t, func() {
		p := NewPlanner()
		convey.Convey("an empty one loads the model, once", func() {
			r := &Report{Started: 1}
			o, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Adapter: Adapter{Model: "m"}})
			p.Sent(start, r, o)
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
		convey.Convey("nothing wanted means no order", func() {
			_, ok := p.Next(start, holding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a wanted adapter is loaded into a free place", func() {
			p.Want(start, Want{Adapter: named("b"), Version: 4, Waiting: 1})
			o, ok := p.Next(start, holding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Adapter: named("b"), Version: 4})
		})
		convey.Convey("one that more requests wait for comes first, unless another has waited for much longer", func() {
			p.Want(start, Want{Adapter: named("old"), Waiting: 1})
			later := start.Add(waitingWorth)
			p.Want(later, Want{Adapter: named("many"), Waiting: 3})
			o, _ := p.Next(later, holding(), capacity)
			convey.So(o.Adapter, convey.ShouldResemble, named("many"))
			p.Want(later, Want{Adapter: named("old"), Waiting: 3})
			o, _ = p.Next(later, holding(), capacity)
			convey.So(o.Adapter, convey.ShouldResemble, named("old"))
		})
		convey.Convey("a want that is not repeated lapses", func() {
			p.Want(start, Want{Adapter: named("b"), Waiting: 1})
			_, ok := p.Next(start.Add(2*wantedFor), holding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("with all places taken the least used adapter makes way", func() {
			for i, name := range []string{"a", "b", "c"} {
				p.Want(start, Want{Adapter: named(name), Used: 10 - i})
			}
			later := start.Add(2 * time.Second)
			p.Want(later, Want{Adapter: named("d"), Waiting: 1})
			o, ok := p.Next(later, holding("a", "b", "c"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Unload: true, Adapter: named("c")})
			convey.Convey("unless the engine says that it is in use: then the next one does", func() {
				convey.So(p.Refused(later, o), convey.ShouldBeTrue)
				o, ok := p.Next(later, holding("a", "b", "c"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(o.Adapter, convey.ShouldResemble, named("b"))
			})
		})
		convey.Convey("adapters in use make no way", func() {
			for _, name := range []string{"a", "b", "c"} {
				p.Want(start, Want{Adapter: named(name), Running: 1})
			}
			p.Want(start, Want{Adapter: named("d"), Waiting: 1})
			_, ok := p.Next(start, holding("a", "b", "c"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
			convey.So(p.Full(), convey.ShouldBeTrue)
		})
		convey.Convey("an old version is unloaded", func() {
			p.NewVersion(start, named("a"), 2)
			o, ok := p.Next(start, holding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o, convey.ShouldResemble, Order{Unload: true, Adapter: named("a")})
			convey.Convey("and the new one loaded when requests wait for it", func() {
				_, ok := p.Next(start, holding("c"), capacity)
				convey.So(ok, convey.ShouldBeFalse)
				p.Want(start, Want{Adapter: named("a"), Version: 2, Waiting: 1})
				o, ok := p.Next(start, holding("c"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(o, convey.ShouldResemble, Order{Adapter: named("a"), Version: 2})
			})
			convey.Convey("while it is in use, not again at once, and other adapters are not held up", func() {
				convey.So(p.Refused(start, o), convey.ShouldBeTrue)
				_, ok := p.Next(start.Add(inUseFor/2), holding("a"), capacity)
				convey.So(ok, convey.ShouldBeFalse)
				p.Want(start, Want{Adapter: named("b"), Waiting: 1})
				other, ok := p.Next(start.Add(inUseFor/2), holding("a"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(other.Adapter, convey.ShouldResemble, named("b"))
				again, ok := p.Next(start.Add(inUseFor), holding("a"), capacity)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(again, convey.ShouldResemble, o)
			})
		})
		convey.Convey("a load that was refused is not ordered again at once", func() {
			p.Want(start, Want{Adapter: named("b"), Waiting: 1})
			o, _ := p.Next(start, holding("a"), capacity)
			convey.So(p.Refused(start, o), convey.ShouldBeFalse)
			_, ok := p.Next(start.Add(refusedPause/2), holding("a"), capacity)
			convey.So(ok, convey.ShouldBeFalse)
			again, ok := p.Next(start.Add(refusedPause), holding("a"), capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(again, convey.ShouldResemble, o)
		})
		convey.Convey("an engine that leaves gets no orders", func() {
			p.Want(start, Want{Adapter: named("b"), Waiting: 1})
			r := holding("a")
			r.Departing = true
			_, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// engine carries out orders as the platform's engines do, late ones too.
type engine struct {
	t        *testing.T
	resident map[string]int64
	coming   map[string]int64
	sequence int64
	late     []lateOrder
}

type lateOrder struct {
	order    Order
	expected int64
}

func (e *engine) report() *Report {
	r := &Report{Started: 1, Models: []Model{{Name: "m"}}, Sequence: e.sequence}
	for n, v := range e.resident {
		r.Adapters = append(r.Adapters, Resident{Adapter: named(n), Version: v})
	}
	for n, v := range e.coming {
		r.Coming = append(r.Coming, Resident{Adapter: named(n), Version: v})
	}
	return r
}

func (e *engine) carryOut(o Order, expected int64) {
	if expected != e.sequence {
		return
	}
	e.sequence++
	if o.Unload {
		delete(e.resident, o.Adapter.Name)
		return
	}
	if _, ok := e.resident[o.Adapter.Name]; !ok {
		e.coming[o.Adapter.Name] = max(1, o.Version)
	}
	if n := len(e.resident) + len(e.coming); n > capacity.Places {
		e.t.Fatalf("%d adapters in %d places", n, capacity.Places)
	}
}

func TestPlacesWithLateOrders(t *testing.T) {
	convey.Convey("Orders that get no answer and are carried out at any later time never overfill an engine", t, func() {
		for seed := range uint64(200) {
			r := rand.New(rand.NewPCG(seed, 1))
			e := &engine{t: t, resident: map[string]int64{}, coming: map[string]int64{}}
			p := NewPlanner()
			now := start
			for range 300 {
				now = now.Add(50 * time.Millisecond)
				report := e.report()
				// Entries want only what the engine lacks.
				if a := named(fmt.Sprint("a", r.IntN(40))); e.resident[a.Name] == 0 {
					p.Want(now, Want{Adapter: a, Waiting: 1})
				}
				if o, ok := p.Next(now, report, capacity); ok {
					if r.IntN(2) == 0 {
						e.late = append(e.late, lateOrder{o, report.Sequence})
					} else {
						e.carryOut(o, report.Sequence)
						p.Sent(now, report, o)
					}
				}
				if len(e.late) > 0 && r.IntN(3) == 0 {
					i := r.IntN(len(e.late))
					e.carryOut(e.late[i].order, e.late[i].expected)
				}
				for n, v := range e.coming {
					if r.IntN(4) == 0 {
						e.resident[n] = v
						delete(e.coming, n)
					}
				}
			}
			convey.So(e.sequence, convey.ShouldBeGreaterThan, 10)
		}
	})
}

func ExampleCapacity_Adapters() {
	c := Capacity{Places: 15, WeightsMB: 75200, ModelMB: 72700, AdapterMB: 200}
	fmt.Println(c.Adapters())
	// Output: 12
}

func BenchmarkNext(b *testing.B) {
	p := NewPlanner()
	r := holding()
	for i := range 3000 {
		p.Want(start, Want{Adapter: named(fmt.Sprint("a", i)), Used: 1})
	}
	for i := range 15 {
		r.Adapters = append(r.Adapters, Resident{Adapter: named(fmt.Sprint("a", i)), Version: 1})
	}
	p.Want(start, Want{Adapter: named("new"), Waiting: 1})
	c := Capacity{Places: 15, WeightsMB: 75200, ModelMB: 72700, AdapterMB: 66, InFlight: 4}
	b.ReportAllocs()
	for b.Loop() {
		p.Next(start.Add(time.Second), r, c)
	}
}
