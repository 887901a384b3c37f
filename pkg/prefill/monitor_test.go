package prefill

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	// observe records streams, one every 100 ms, of which a share is late, and
	// returns the time after the last one and whether prompts were ever paced.
	observe := func(m *Monitor, now time.Time, r *rand.Rand, streams int, share float64) (time.Time, bool) {
		paced := false
		for range streams {
			m.Observe(now, r.Float64() < share)
			now = now.Add(100 * time.Millisecond)
			paced = paced || m.Paces(now)
		}
		return now, paced
	}
	convey.Convey("Prompts are paced within seconds where they make a fifth of the streams late", t, func() {
		for seed := range uint64(50) {
			var m Monitor
			_, paced := observe(&m, start, rand.New(rand.NewPCG(seed, 1)), 100, 0.2)
			convey.So(paced, convey.ShouldBeTrue)
		}
	})
	convey.Convey("Prompts are not paced because of a slow engine", t, func() {
		for seed := range uint64(50) {
			var m Monitor
			_, paced := observe(&m, start, rand.New(rand.NewPCG(seed, 1)), 600, 0.01)
			convey.So(paced, convey.ShouldBeFalse)
		}
	})
	convey.Convey("Pacing continues for a while after it has ended the late events", t, func() {
		var m Monitor
		r := rand.New(rand.NewPCG(1, 1))
		now, _ := observe(&m, start, r, 100, 0.3)
		now, _ = observe(&m, now, r, 300, 0)
		convey.So(m.Paces(now), convey.ShouldBeTrue)
		now, _ = observe(&m, now, r, 600, 0)
		convey.So(m.Paces(now), convey.ShouldBeFalse)
	})
}
