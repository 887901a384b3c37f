package spread

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

func TestFlappingPeer(t *testing.T) {
	n := New(Options{})
	start := time.Unix(1000, 0)
	convey.Convey("A peer that is lost again and again is dialled more and more seldom", t, func() {
		r := &relayState{}
		dials, now := 0, start
		for now.Before(start.Add(10 * time.Minute)) {
			dials++
			r.conn, r.openedAt = &peer.Conn{}, now
			n.lost(r, now.Add(time.Second)) // the connection stood for a second
			convey.So(r.notBefore, convey.ShouldHappenWithin, 3*mostBackoff/2, now.Add(time.Second))
			now = r.notBefore
		}
		convey.So(dials, convey.ShouldBeLessThan, 30)

		convey.Convey("and soon again after a connection that lasted", func() {
			r.conn, r.openedAt = &peer.Conn{}, now
			end := now.Add(2 * stableTime)
			n.lost(r, end)
			convey.So(r.notBefore, convey.ShouldHappenWithin, 3*firstBackoff/2, end)
		})
	})
	convey.Convey("Processes that lost a peer at once dial it spread over the backoff", t, func() {
		early, late := false, false
		for range 200 {
			r := &relayState{}
			n.lost(r, start)
			early = early || r.notBefore.Before(start.Add(3*firstBackoff/4))
			late = late || r.notBefore.After(start.Add(5*firstBackoff/4))
		}
		convey.So(early && late, convey.ShouldBeTrue)
	})
}
