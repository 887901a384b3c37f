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
		op := &overlayPeer{}
		dials, now := 0, start
		for now.Before(start.Add(10 * time.Minute)) {
			dials++
			op.conn, op.openedAt = &peer.Conn{}, now
			n.recordDisconnect(op, now.Add(time.Second)) // the connection lasted for a second
			convey.So(op.nextDialAt, convey.ShouldHappenWithin, 3*maxBackoff/2, now.Add(time.Second))
			now = op.nextDialAt
		}
		convey.So(dials, convey.ShouldBeLessThan, 30)

		convey.Convey("and is reset by a connection that outlasts stablePeriod", func() {
			op.conn, op.openedAt = &peer.Conn{}, now
			end := now.Add(2 * stablePeriod)
			n.recordDisconnect(op, end)
			convey.So(op.nextDialAt, convey.ShouldHappenWithin, 3*initialBackoff/2, end)
		})
	})
	convey.Convey("Processes that lose a peer at the same time dial it at different times", t, func() {
		early, late := false, false
		for range 200 {
			op := &overlayPeer{}
			n.recordDisconnect(op, start)
			early = early || op.nextDialAt.Before(start.Add(3*initialBackoff/4))
			late = late || op.nextDialAt.After(start.Add(5*initialBackoff/4))
		}
		convey.So(early && late, convey.ShouldBeTrue)
	})
}
