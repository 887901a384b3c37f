package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestSeveralModels guards against an overfilled engine that holds several models whose weights
// and adapters differ in size.
func TestSeveralModels(t *testing.T) {
	convey.Convey("Given an engine that holds two models", t, func() {
		c := Capacity{
			AdapterSlots: 30,
			WeightsMB:    75000,
			Models:       []ModelSize{{Name: "m0", WeightsMB: 36000, AdapterMB: 40}, {Name: "m1", WeightsMB: 34000, AdapterMB: 600}},
			MaxLoads:     4,
		}
		p := NewPlanner(NewOutstanding())
		r := &Report{Instance: "i", Started: 1, Models: []Model{{Name: "m0"}, {Name: "m1"}}}
		now := start
		// request has requests wait for adapters, and executes orders until there is none. It returns
		// the numbers of loads and unloads.
		request := func(model string, n int) (loads, unloads int) {
			for range 100 {
				for i := range n {
					a := Adapter{Model: model, Name: fmt.Sprint("a", i)}
					if _, ok := r.ResidentVersion(a); !ok {
						p.RecordDemand(now, Demand{Adapter: a, Waiting: 1})
					}
				}
				o, ok := p.Next(now, r, c)
				if !ok {
					return loads, unloads
				}
				r.Sequence++
				if o.Unload {
					unloads++
					for i, resident := range r.Adapters {
						if resident.Adapter == o.Adapter {
							r.Adapters = append(r.Adapters[:i:i], r.Adapters[i+1:]...)
							break
						}
					}
				} else {
					loads++
					r.Adapters = append(r.Adapters, Resident{Adapter: o.Adapter, Version: 1})
				}
				if excess := c.Excess(c.Used(r)); excess != (Usage{}) {
					t.Fatalf("%d slots and %g MB too much", excess.Slots, excess.MB)
				}
			}
			t.Fatal("the orders don't end")
			return 0, 0
		}
		convey.Convey("adapters fill the memory that both models leave", func() {
			loads, _ := request("m0", 12)
			convey.So(loads, convey.ShouldEqual, 12)
			now = now.Add(time.Minute) // the demand for them has ended
			loads, unloads := request("m1", 7)
			convey.So(loads, convey.ShouldEqual, 7) // 4200 of 5000 MB, beside 12 times 40 MB
			convey.So(unloads, convey.ShouldEqual, 0)
			loads, unloads = request("m1", 8)
			convey.So(loads, convey.ShouldEqual, 1) // 4800 MB leave room for 5 of the first model
			convey.So(unloads, convey.ShouldEqual, 7)
		})
		convey.Convey("nothing is unloaded for an adapter that has no room even then", func() {
			c.WeightsMB = 70500
			loads, _ := request("m0", 12)
			convey.So(loads, convey.ShouldEqual, 12)
			now = now.Add(time.Minute)
			loads, unloads := request("m1", 1)
			convey.So(loads+unloads, convey.ShouldEqual, 0)
			convey.So(p.Full(), convey.ShouldBeTrue)
		})
		convey.Convey("a model that is not listed counts as large as any", func() {
			r.Models = append(r.Models, Model{Name: "m2"})
			convey.So(c.Used(r).MB, convey.ShouldEqual, 36000+34000+36000)
			r.Adapters = []Resident{{Adapter: Adapter{Model: "m2", Name: "a1"}}}
			convey.So(c.Used(r), convey.ShouldResemble, Usage{Slots: 1, MB: 36000 + 34000 + 36000 + 600})
		})
		convey.Convey("room is left for an outstanding order of the larger adapters", func() {
			loads, _ := request("m0", 4)
			convey.So(loads, convey.ShouldEqual, 4)
			now = now.Add(time.Minute)
			p.outstanding.Add(now, "i", OutstandingOrder{Sequence: 12, Order: Order{Adapter: Adapter{Model: "m1", Name: "late"}}, Within: OrderLifetime})
			loads, unloads := request("m1", 8)
			convey.So(loads, convey.ShouldEqual, 8) // 4960 MB
			convey.So(unloads, convey.ShouldEqual, 1)
		})
	})
}
