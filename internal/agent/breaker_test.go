package agent

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBreaker(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := now.Add(probeInterval)
	convey.Convey("After a failed claim one probe at a time is allowed until one succeeds", t, func() {
		var b claimBreaker
		convey.So(b.allow(now), convey.ShouldBeTrue)
		convey.So(b.allow(now), convey.ShouldBeTrue)
		b.record(now, false)
		convey.So(b.allow(now), convey.ShouldBeFalse)
		convey.So(b.allow(later), convey.ShouldBeTrue)
		convey.So(b.allow(later), convey.ShouldBeFalse)
		b.record(later, false)
		convey.So(b.allow(later), convey.ShouldBeFalse)
		later = later.Add(probeInterval)
		convey.So(b.allow(later), convey.ShouldBeTrue)
		b.record(later, true)
		convey.So(b.allow(later), convey.ShouldBeTrue)
		convey.So(b.allow(later), convey.ShouldBeTrue)
	})
}
