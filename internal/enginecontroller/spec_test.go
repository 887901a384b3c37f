package enginecontroller

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// TestSpecOfOtherEntry guards against orders beyond the engine's capacity, or for another
// instance, because an entry of another service names the engine's address.
func TestSpecOfOtherEntry(t *testing.T) {
	convey.Convey("Given a targetd with the spec of its engine", t, func() {
		ec := New(Options{Log: event.Discard()})
		now := time.Now()
		ec.report.Started = 5
		own := peer.EngineSpec{Instance: "x", Started: 5, AdapterSlots: 4, WeightsMB: 1000}
		ec.applySpec(now, own)
		convey.Convey("specs for other starts do not change its capacity and instance, however many there are", func() {
			for i := range int64(5 * maxSpecs) {
				ec.applySpec(now, peer.EngineSpec{Instance: "y", Started: 100 + i, AdapterSlots: 64, WeightsMB: 8000})
			}
			convey.So(ec.capacity().AdapterSlots, convey.ShouldEqual, 4)
			convey.So(ec.capacity().WeightsMB, convey.ShouldEqual, 1000)
			convey.So(ec.instance(), convey.ShouldEqual, "x")
			convey.So(len(ec.specs), convey.ShouldBeLessThanOrEqualTo, maxSpecs+1)
		})
		convey.Convey("an engine that started again has the capacity of the start before until its spec arrives", func() {
			ec.report.Started = 6
			convey.So(ec.capacity().AdapterSlots, convey.ShouldEqual, 4)
			convey.So(ec.instance(), convey.ShouldBeEmpty)
			ec.applySpec(now, peer.EngineSpec{Instance: "z", Started: 6, AdapterSlots: 8})
			convey.So(ec.capacity().AdapterSlots, convey.ShouldEqual, 8)
			convey.So(ec.instance(), convey.ShouldEqual, "z")
		})
	})
}

// TestSizesOfModels guards against loads by the size of one model at an engine that may hold
// several, and against the loss of the sizes beside entryds of earlier releases.
func TestSizesOfModels(t *testing.T) {
	convey.Convey("Given a targetd with the spec of its engine", t, func() {
		ec := New(Options{Log: event.Discard()})
		now := time.Now()
		ec.report.Started = 5
		spec := peer.EngineSpec{Instance: "x", Started: 5, AdapterSlots: 4, WeightsMB: 1000, Model: "m0", ModelMB: 400, AdapterMB: 2}
		sizes := []orders.ModelSize{{Name: "m0", WeightsMB: 400, AdapterMB: 2}, {Name: "m1", WeightsMB: 300, AdapterMB: 7}}
		ec.applySpec(now, spec)
		convey.So(ec.capacity().Models, convey.ShouldResemble, sizes[:1])
		ec.models[5] = sizes
		convey.Convey("the sizes of all its models are used, also after a spec without them", func() {
			ec.applySpec(now, spec)
			convey.So(ec.capacity().Models, convey.ShouldResemble, sizes)
		})
		convey.Convey("those for other starts do not replace them, however many there are", func() {
			for i := range int64(5 * maxSpecs) {
				ec.models[100+i] = sizes[:1]
				ec.applySpec(now, peer.EngineSpec{Instance: "y", Started: 100 + i})
			}
			convey.So(ec.capacity().Models, convey.ShouldResemble, sizes)
			convey.So(len(ec.models), convey.ShouldBeLessThanOrEqualTo, maxSpecs+2)
		})
		convey.Convey("an engine that started again has those of the start before until its spec arrives", func() {
			ec.report.Started = 6
			convey.So(ec.capacity().Models, convey.ShouldResemble, sizes)
		})
	})
}
