package agent

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestGate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := now.Add(probePause)
	convey.Convey("Claims pass until one fails, then one at a time until one succeeds", t, func() {
		var g gate
		convey.So(g.enter(now), convey.ShouldBeTrue)
		convey.So(g.enter(now), convey.ShouldBeTrue)
		g.leave(now, false)
		convey.So(g.enter(now), convey.ShouldBeFalse)
		convey.So(g.enter(later), convey.ShouldBeTrue)
		convey.So(g.enter(later), convey.ShouldBeFalse)
		g.leave(later, false)
		convey.So(g.enter(later), convey.ShouldBeFalse)
		later = later.Add(probePause)
		convey.So(g.enter(later), convey.ShouldBeTrue)
		g.leave(later, true)
		convey.So(g.enter(later), convey.ShouldBeTrue)
		convey.So(g.enter(later), convey.ShouldBeTrue)
	})
}
