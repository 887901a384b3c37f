package residency

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
)

func TestDemand(t *testing.T) {
	convey.Convey("Counts halve every half-life and are additive", t, func() {
		d := NewDemand(10)
		d.Observe(start, id("a"))
		d.Observe(start, id("a"))
		convey.So(d.Count(start, id("a")), convey.ShouldAlmostEqual, 2)
		later := start.Add(HalfLife)
		convey.So(d.Count(later, id("a")), convey.ShouldAlmostEqual, 1)
		d.Observe(later, id("a"))
		convey.So(d.Count(later, id("a")), convey.ShouldAlmostEqual, 2)
		convey.So(d.Count(later, id("b")), convey.ShouldEqual, 0)
	})
	convey.Convey("Counts stay finite and accurate over months", t, func() {
		d := NewDemand(10)
		now := start
		for range 2000 {
			d.Observe(now, id("a"))
			now = now.Add(time.Hour)
		}
		convey.So(d.Count(now.Add(-time.Hour), id("a")), convey.ShouldAlmostEqual, 1, 0.001)
	})
	convey.Convey("Pruning keeps the adapters with high demand", t, func() {
		d := NewDemand(100)
		for n := range 5000 {
			d.Observe(start, id("hot"))
			d.Observe(start, id(strconv.Itoa(n)))
		}
		convey.So(d.Count(start, id("hot")), convey.ShouldAlmostEqual, 5000)
		convey.So(len(d.counts), convey.ShouldBeLessThanOrEqualTo, 100)
	})
}

// BenchmarkDemandMemory measures the memory used per tracked adapter, without
// its name, which the caller owns.
func BenchmarkDemandMemory(b *testing.B) {
	const adapters = 63000
	ids := make([]adapter.ID, adapters)
	for n := range ids {
		ids[n] = id("adapter-" + strconv.Itoa(n))
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := NewDemand(adapters)
		for _, i := range ids {
			d.Observe(start, i)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/adapters, "B/adapter")
		runtime.KeepAlive(d)
	}
}

func TestDemandLimit(t *testing.T) {
	convey.Convey("At most the limit of adapters is tracked, also if all counts are equal", t, func() {
		for limit := 2; limit <= 50; limit++ {
			d := NewDemand(limit)
			for i := range 3 * limit {
				d.Observe(start, id(strconv.Itoa(i)))
				convey.So(len(d.counts), convey.ShouldBeBetweenOrEqual, 1, limit)
			}
			convey.So(len(d.counts), convey.ShouldBeGreaterThanOrEqualTo, limit/2)
		}
	})
	convey.Convey("The adapters with the highest counts stay", t, func() {
		d := NewDemand(8)
		for i := range 100 {
			d.Observe(start, id("busy"))
			d.Observe(start, id("busy"))
			d.Observe(start, id(strconv.Itoa(i)))
		}
		convey.So(d.Count(start, id("busy")), convey.ShouldEqual, 200)
	})
}
