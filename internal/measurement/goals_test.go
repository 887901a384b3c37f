package measurement

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Limits of the performance goals that the system meets at a Zipf exponent of 1 and
// a load of half of the capacity. docs/MEASUREMENTS.md lists all goals.
const (
	maxStalledRatio    = 1.25 // share of stalled calls over the miss share of the optimal static residency
	maxRecoverySeconds = 60   // until the share of stalled calls is within a tenth of its steady value
)

func TestGoals(t *testing.T) {
	convey.Convey("With steady popularity, the share of stalled calls is close to the miss share of the optimal static residency, all calls run, and the quotas and the limit of loads in flight hold", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			s := simulate(d, scenario{}, policyBorageusher, 1.0, 0.5).summarise(runDuration)
			convey.So(s.stalled, convey.ShouldBeLessThanOrEqualTo, maxStalledRatio*d.missShare(1.0))
			convey.So(s.notRun, convey.ShouldEqual, 0)
			convey.So(s.quotaViolations, convey.ShouldEqual, 0)
			convey.So(s.peakLoadsInFlight, convey.ShouldBeLessThanOrEqualTo, d.limits.InFlight)
		}
	})
	convey.Convey("After a popularity shift or a cold restart, the share of stalled calls recovers in time", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			for _, sc := range scenarios[:2] {
				f := simulate(d, sc, policyBorageusher, 1.0, 0.5)
				steady := share(f.metrics.arrivedBetween(warmUp, disturbanceAt), isStalled)
				at, ok := recoveryTime(&f.metrics, steady)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(at.Seconds(), convey.ShouldBeLessThanOrEqualTo, maxRecoverySeconds)
			}
		}
	})
	convey.Convey("Without the load allocator, the load rate stays within its limit, and so do the loads in flight if the limit allows one for each target", t, func() {
		for _, d := range []deployment{tessaro, dobrescu} {
			s := simulate(d, scenario{allocatorUnreachable: true}, policyBorageusher, 1.0, 0.95).summarise(runDuration)
			convey.So(s.loadsPerSecond, convey.ShouldBeLessThanOrEqualTo, d.limits.Rate)
			convey.So(s.quotaViolations, convey.ShouldEqual, 0)
			if d.limits.InFlight >= d.targets {
				convey.So(s.peakLoadsInFlight, convey.ShouldBeLessThanOrEqualTo, d.limits.InFlight)
			}
		}
	})
}

// TestInFlightWithoutAllocator checks the limit of loads in flight for a weight
// store whose limit is below the number of targets.
func TestInFlightWithoutAllocator(t *testing.T) {
	convey.Convey("Without the load allocator, the loads in flight stay within the limit", t, func() {
		s := simulate(dobrescu, scenario{allocatorUnreachable: true}, policyBorageusher, 1.0, 0.95).summarise(runDuration)
		convey.So(s.peakLoadsInFlight, convey.ShouldBeLessThanOrEqualTo, dobrescu.limits.InFlight)
	})
}
