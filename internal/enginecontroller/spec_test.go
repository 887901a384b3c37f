package enginecontroller

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
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
