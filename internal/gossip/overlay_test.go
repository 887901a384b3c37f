package gossip

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

func TestFlappingPeer(t *testing.T) {
	n := New(Options{})
	start := time.Unix(1000, 0)
	convey.Convey("The backoff of a peer grows with repeated short connections", t, func() {
		state := &overlayPeer{}
		dials, now := 0, start
		for now.Before(start.Add(10 * time.Minute)) {
			dials++
			state.conn, state.openedAt = &peer.Conn{}, now
			n.recordDisconnect(state, now.Add(time.Second)) // the connection lasted for a second
			convey.So(state.nextDialAt, convey.ShouldHappenWithin, 3*maxBackoff/2, now.Add(time.Second))
			now = state.nextDialAt
		}
		convey.So(dials, convey.ShouldBeLessThan, 30) // without a growing backoff there would be about 300

		convey.Convey("and is reset by a connection that outlasts stablePeriod", func() {
			state.conn, state.openedAt = &peer.Conn{}, now
			end := now.Add(2 * stablePeriod)
			n.recordDisconnect(state, end)
			convey.So(state.nextDialAt, convey.ShouldHappenWithin, 3*initialBackoff/2, end)
		})
	})
	convey.Convey("Processes that lose a peer at the same time dial it at different times", t, func() {
		early, late := false, false
		for range 200 {
			state := &overlayPeer{}
			n.recordDisconnect(state, start)
			early = early || state.nextDialAt.Before(start.Add(3*initialBackoff/4))
			late = late || state.nextDialAt.After(start.Add(5*initialBackoff/4))
		}
		convey.So(early && late, convey.ShouldBeTrue)
	})
}
