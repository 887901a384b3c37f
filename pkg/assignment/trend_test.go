package assignment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestTrend(t *testing.T) {
	convey.Convey("A trend without observations, or with all of them at one count, is flat", t, func() {
		var trend Trend
		convey.So(trend.Slope(), convey.ShouldEqual, 0)
		for range 50 {
			trend.Observe(3, time.Second)
		}
		convey.So(trend.Slope(), convey.ShouldEqual, 0)
	})
	convey.Convey("Given times that grow with the requests ahead", t, func() {
		var trend Trend
		r := rand.New(rand.NewPCG(5, 1))
		observe := func(n int, each time.Duration) {
			for range n {
				ahead := r.IntN(30)
				noise := time.Duration(r.IntN(100)) * time.Millisecond
				trend.Observe(ahead, 200*time.Millisecond+time.Duration(ahead)*each+noise)
			}
		}
		observe(300, 30*time.Millisecond)
		convey.So(trend.Slope(), convey.ShouldAlmostEqual, 30*time.Millisecond, 3*time.Millisecond)
		convey.Convey("the slope follows a change", func() {
			observe(1000, 60*time.Millisecond)
			convey.So(trend.Slope(), convey.ShouldAlmostEqual, 60*time.Millisecond, 5*time.Millisecond)
		})
		convey.Convey("the slope is never negative", func() {
			for i := range 2000 {
				trend.Observe(i%20, time.Duration(20-i%20)*time.Millisecond)
			}
			convey.So(trend.Slope(), convey.ShouldEqual, 0)
		})
	})
}
