package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

// TestEnginesRestartTogether guards against calls that are rejected while all engines of a
// service start again, and whose callers return late.
func TestEnginesRestartTogether(t *testing.T) {
	convey.Convey("Given engines that became unreachable together", t, func() {
		now := time.Now()
		f := engineFleet(now, 2)
		g := New(Options{Fleet: f})
		c := callFor("a1")
		c.start, c.deadline = now, now.Add(10*time.Second)
		waitUntil := now.Add(time.Second)
		down := func(s peer.EngineState) {
			for _, tg := range f.targets {
				f.applyEngineState(now, tg, s)
			}
		}
		down(peer.EngineState{Models: []string{"m"}})
		_, usable := f.choose(now, c)
		convey.So(usable, convey.ShouldBeFalse)
		convey.Convey("calls wait for them", func() {
			_, reason := g.awaitUsable(now, c, waitUntil)
			convey.So(reason, convey.ShouldEqual, "")
			convey.Convey("also if the report is repeated", func() {
				later := now.Add(restartGrace / 2)
				for _, tg := range f.targets {
					f.applyEngineState(later, tg, peer.EngineState{Models: []string{"m"}})
				}
				convey.So(f.awaitsTargets(now.Add(restartGrace), c), convey.ShouldBeFalse)
			})
			convey.Convey("but not beyond the time in which engines start", func() {
				_, reason := g.awaitUsable(now.Add(restartGrace), c, now.Add(restartGrace+time.Second))
				convey.So(reason, convey.ShouldEqual, "no_target")
			})
			convey.Convey("and use them once they can be reached", func() {
				down(peer.EngineState{Reachable: true, Models: []string{"m"}})
				_, usable := f.choose(now, c)
				convey.So(usable, convey.ShouldBeTrue)
			})
		})
		convey.Convey("calls do not wait for engines that leave", func() {
			down(peer.EngineState{Reachable: true, Models: []string{"m"}})
			down(peer.EngineState{Departing: true, Models: []string{"m"}})
			_, reason := g.awaitUsable(now, c, waitUntil)
			convey.So(reason, convey.ShouldEqual, "no_target")
		})
	})
}
