package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestEstimate(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("Without observations the factor is 1", t, func() {
		e := New(Reported)
		convey.So(e.Factor(start), convey.ShouldEqual, 1)
		_, ok := e.Age(start)
		convey.So(ok, convey.ShouldBeFalse)
		convey.Convey("values that say nothing are ignored", func() {
			for _, v := range []float64{0, -2, math.NaN(), math.Inf(1), math.Inf(-1)} {
				e.Observe(start, v)
			}
			e.ObserveTimes(start, 0, time.Second)
			e.ObserveTimes(start, time.Second, 0)
			convey.So(e, convey.ShouldResemble, New(Reported))
		})
	})
	convey.Convey("Given reports ten times a second of a target that is slower by a factor of 3", t, func() {
		e, now := New(Reported), start
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			e.Observe(now, 3)
		}
		convey.So(e.Factor(now), convey.ShouldBeBetween, 2.7, 3)
		convey.Convey("the factor returns to 1 while there are none", func() {
			last := e.Factor(now)
			for _, age := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second} {
				got := e.Factor(now.Add(age))
				convey.So(got, convey.ShouldBeBetween, 1, last)
				last = got
			}
			convey.So(last, convey.ShouldBeLessThan, 1.01)
			age, _ := e.Age(now.Add(time.Second))
			convey.So(age, convey.ShouldEqual, time.Second)
		})
		convey.Convey("it follows a recovery within two time constants", func() {
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				e.Observe(now, 1)
			}
			convey.So(e.Factor(now), convey.ShouldBeBetween, 1, 1.4)
		})
		convey.Convey("one extreme report changes it little", func() {
			before := e.Factor(now)
			e.Observe(now.Add(100*time.Millisecond), 100)
			convey.So(e.Factor(now.Add(100*time.Millisecond)), convey.ShouldBeLessThan, before+0.5)
		})
	})
	convey.Convey("A burst of equal reports counts as one", t, func() {
		one, burst := New(Reported), New(Reported)
		one.Observe(start, 6)
		for range 100 {
			burst.Observe(start, 6)
		}
		convey.So(burst.Factor(start), convey.ShouldEqual, one.Factor(start))
		convey.So(one.Factor(start), convey.ShouldBeLessThan, 4)
	})
	convey.Convey("An observation from before the last one does not move the time back", t, func() {
		e := New(Learned)
		e.Observe(start, 2)
		e.Observe(start.Add(-time.Minute), 2)
		convey.So(e.at, convey.ShouldEqual, start)
	})
	convey.Convey("A factor is learned from some tens of times that vary by their mean", t, func() {
		r := rand.New(rand.NewPCG(3, 4))
		e, now, sum := New(Learned), start, 0.0
		const n = 400
		for range n {
			now = now.Add(time.Second)
			e.ObserveTimes(now, time.Duration(2*r.ExpFloat64()*float64(time.Second)), time.Second)
			sum += e.Factor(now)
		}
		convey.So(sum/n, convey.ShouldBeBetween, 1.5, 2) // the prior has a sixth of the weight
	})
}
