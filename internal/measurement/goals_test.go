package measurement

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Goals of issue 5 that are met, at a Zipf exponent of 1 and half of capacity.
const (
	mostStalled  = 1.25 // times the share of the best static residency
	recoveryGoal = 60   // seconds until the share of stalled calls is back
)

func TestGoals(t *testing.T) {
	convey.Convey("Steady popularity", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			s := play(d, scenario{}, policyOwn, 1.0, 0.5).summarise(runLength)
			convey.So(s.stalled, convey.ShouldBeLessThanOrEqualTo, mostStalled*d.missShare(1.0))
			convey.So(s.notRun, convey.ShouldEqual, 0)
			convey.So(s.overTerms, convey.ShouldEqual, 0)
			convey.So(s.peak, convey.ShouldBeLessThanOrEqualTo, d.limits.InFlight)
		}
	})
	convey.Convey("After a shift or a cold restart", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, sc := range scenarios[:2] {
				f := play(d, sc, policyOwn, 1.0, 0.5)
				steady := share(f.m.between(warmUp, disturbed), isStalled)
				at, ok := recoveryTime(&f.m, steady)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(at.Seconds(), convey.ShouldBeLessThanOrEqualTo, recoveryGoal)
			}
		}
	})
	convey.Convey("Cut off from the granter, the rate holds, and the loads in flight with one for each target", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			s := play(d, scenario{cutOff: true}, policyOwn, 1.0, 0.95).summarise(runLength)
			convey.So(s.loads, convey.ShouldBeLessThanOrEqualTo, d.limits.Rate)
			convey.So(s.overTerms, convey.ShouldEqual, 0)
			if d.limits.InFlight >= d.targets {
				convey.So(s.peak, convey.ShouldBeLessThanOrEqualTo, d.limits.InFlight)
			}
		}
	})
}

// A weight store that slows down with fewer loads in flight than it has targets.
func TestInFlightCutOff(t *testing.T) {
	convey.Convey("Cut off from the granter, the loads in flight stay under the limit", t, func() {
		s := play(dobrescu, scenario{cutOff: true}, policyOwn, 1.0, 0.95).summarise(runLength)
		convey.So(s.peak, convey.ShouldBeLessThanOrEqualTo, dobrescu.limits.InFlight)
	})
}
