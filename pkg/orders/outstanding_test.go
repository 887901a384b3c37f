package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestOutstanding guards against orders that leave no room for those that the engine may still
// execute, and against places that are kept free without need.
func TestOutstanding(t *testing.T) {
	convey.Convey("Given an engine with three adapter slots, one of which is free", t, func() {
		u := NewOutstanding()
		p := NewPlanner(u)
		r := reportHolding("a1", "a2")
		r.Instance, r.Sequence = "i", 4
		late := func(sequence int64, o Order) OutstandingOrder {
			return OutstandingOrder{Sequence: sequence, Order: o, Within: OrderLifetime}
		}
		load := func(name string) Order { return Order{Adapter: adapterNamed(name)} }
		next := func(now time.Time) string {
			p.RecordDemand(now, Demand{Adapter: adapterNamed("new"), Waiting: 1})
			o, ok := p.Next(now, r, capacity)
			switch {
			case !ok:
				return "none"
			case o.Unload:
				return "unload " + o.Adapter.Name
			}
			return "load " + o.Adapter.Name
		}
		convey.Convey("the slot is used if no order is outstanding", func() {
			convey.So(next(start), convey.ShouldEqual, "load new")
		})
		convey.Convey("the slot is kept while the order that would fill it makes a load valid", func() {
			u.Add(start, "i", late(5, load("b1")))
			convey.So(next(start), convey.ShouldEqual, "unload a1")
			convey.So(p.Held(), convey.ShouldBeTrue)
			convey.So(next(start.Add(OrderLifetime)), convey.ShouldEqual, "load new")
			convey.So(p.Held(), convey.ShouldBeFalse)
		})
		convey.Convey("an order for a sequence that passed, or comes later, keeps no slot", func() {
			u.Add(start, "i", late(3, load("b1")), late(6, load("b1")))
			convey.So(next(start), convey.ShouldEqual, "load new")
		})
		convey.Convey("an order for another instance keeps no slot", func() {
			u.Add(start, "j", late(5, load("b1")))
			convey.So(next(start), convey.ShouldEqual, "load new")
		})
		convey.Convey("an order to unload keeps no slot, but makes the next load valid", func() {
			u.Add(start, "i", late(5, Order{Unload: true, Adapter: adapterNamed("b1")}))
			convey.So(next(start), convey.ShouldEqual, "load new")
			u.Add(start, "i", late(6, load("b2")))
			convey.So(next(start), convey.ShouldEqual, "unload a1")
		})
		convey.Convey("orders for consecutive sequences need a slot each", func() {
			u.Add(start, "i", late(5, load("b1")), late(6, load("b2")), late(7, load("b3")))
			convey.So(next(start), convey.ShouldEqual, "none") // one adapter and three orders
			convey.So(p.Full(), convey.ShouldBeTrue)
		})
		convey.Convey("an order to load the engine's model needs no slot, one to load another model does", func() {
			u.Add(start, "i", late(5, Order{Adapter: Adapter{Model: "m"}}))
			convey.So(next(start), convey.ShouldEqual, "load new")
			u.Add(start, "i", late(5, Order{Adapter: Adapter{Model: "m2"}}))
			convey.So(next(start), convey.ShouldEqual, "none")
		})
		convey.Convey("a full engine frees a slot when an order turns out to be valid", func() {
			r.Adapters = append(r.Adapters, Resident{Adapter: adapterNamed("a3"), Version: 1})
			u.Add(start, "i", late(4, load("b1")))
			o, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(o.Unload, convey.ShouldBeTrue)
		})
		convey.Convey("an outdated adapter is unloaded only if that makes no load valid that has no room", func() {
			u.Add(start, "i", late(5, load("b1")), late(6, load("b2")), late(7, load("b3")))
			p.RecordVersion(start, adapterNamed("a1"), 2)
			_, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("an empty engine loads its model unless the adapters that may follow have no room", func() {
			r := &Report{Instance: "i", Started: 1}
			_, ok := p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeTrue)
			for i := range int64(4) {
				u.Add(start, "i", late(1+i, load(fmt.Sprint("b", i))))
			}
			_, ok = p.Next(start, r, capacity)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
	convey.Convey("An order that is repeated is reported again only when its time has moved", t, func() {
		u := NewOutstanding()
		o := OutstandingOrder{Sequence: 1, Within: OrderLifetime}
		convey.So(u.Add(start, "i", o), convey.ShouldHaveLength, 1)
		convey.So(u.Add(start.Add(refreshAfter/2), "i", o), convey.ShouldBeEmpty)
		convey.So(u.Add(start.Add(refreshAfter), "i", o), convey.ShouldHaveLength, 1)
		convey.So(u.Orders(start.Add(refreshAfter), "i"), convey.ShouldResemble, []OutstandingOrder{o})
		u.Expire(start.Add(refreshAfter + OrderLifetime))
		convey.So(u.engines, convey.ShouldBeEmpty)
	})
}

// TestInheritedOrders guards against an overfilled engine because the process that ordered it
// before ended without a report of its last order.
func TestInheritedOrders(t *testing.T) {
	convey.Convey("Given a process that continues the work of another one", t, func() {
		u := NewOutstanding()
		u.Inherit(start)
		p := NewPlanner(u)
		// loaded returns the adapters that an engine gets which has none at the given time.
		loaded := func(now time.Time, r *Report) int {
			for i := range 5 {
				p.RecordDemand(now, Demand{Adapter: adapterNamed(fmt.Sprint("a", i)), Waiting: 1})
			}
			for {
				u.Observe(now, r)
				o, ok := p.Next(now, r, capacity)
				if !ok || o.Unload {
					return len(r.Adapters)
				}
				r.Adapters = append(r.Adapters, Resident{Adapter: o.Adapter, Version: 1})
				r.Sequence++
			}
		}
		engine := func(started, sequence int64) *Report {
			return &Report{Instance: "i", Started: started, Models: []Model{{Name: "m"}}, Sequence: sequence}
		}
		convey.Convey("one slot of an engine that got no order yet is kept free for the time in which the order may come", func() {
			convey.So(loaded(start, engine(7, 0)), convey.ShouldEqual, 2)
			convey.So(loaded(start.Add(OrderLifetime), engine(7, 0)), convey.ShouldEqual, 3)
		})
		convey.Convey("an engine that the other process ordered is filled, but not its next start", func() {
			convey.So(loaded(start, engine(7, 5)), convey.ShouldEqual, 3)
			convey.So(loaded(start, engine(8, 0)), convey.ShouldEqual, 2)
		})
		convey.Convey("an engine that may have executed an outstanding order is not filled", func() {
			u.Add(start, "i", OutstandingOrder{Sequence: 0, Order: Order{Adapter: Adapter{Model: "m"}}, Within: OrderLifetime})
			convey.So(loaded(start, engine(7, 1)), convey.ShouldEqual, 2)
		})
		convey.Convey("an engine that can't have executed an outstanding order first is filled", func() {
			u.Add(start, "i", OutstandingOrder{Sequence: 9, Order: Order{Adapter: adapterNamed("b1")}, Within: OrderLifetime})
			convey.So(loaded(start, engine(7, 5)), convey.ShouldEqual, 3)
		})
		convey.Convey("nothing is kept free for long", func() {
			convey.So(loaded(start.Add(OrderLifetime), engine(7, 0)), convey.ShouldEqual, 3)
		})
	})
}
