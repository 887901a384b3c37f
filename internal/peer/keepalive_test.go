package peer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestKeepalive(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("An idle connection announces the longer heartbeat interval and then uses it", t, func() {
		k := newKeepalive(start)
		now := start.Add(busyPeriod)
		convey.So(k.busy(now), convey.ShouldBeFalse)
		convey.So(k.heartbeatDueAt(now), convey.ShouldEqual, start.Add(HeartbeatInterval)) // the announcement
		convey.So(k.prepareHeartbeat(now, Heartbeat{}).Idle, convey.ShouldBeTrue)
		k.recordSent(now, false)
		convey.So(k.heartbeatDueAt(now), convey.ShouldEqual, now.Add(IdleInterval))
		k.recordHeartbeat(now, Heartbeat{Idle: true})
		convey.So(k.silenceDeadline(), convey.ShouldEqual, now.Add(IdleSilenceTimeout))
	})
	convey.Convey("A request sent on an idle connection shortens its silence timeout to SilenceTimeout", t, func() {
		k := newKeepalive(start)
		k.recordHeartbeat(start.Add(10*time.Second), Heartbeat{Idle: true})
		sent := start.Add(13 * time.Second)
		k.recordSent(sent, true)
		convey.So(k.silenceDeadline(), convey.ShouldEqual, sent.Add(SilenceTimeout))
		convey.Convey("also when an idle heartbeat of the peer crosses the request", func() {
			k.recordHeartbeat(sent.Add(10*time.Millisecond), Heartbeat{Idle: true})
			convey.So(k.silenceDeadline(), convey.ShouldEqual, sent.Add(10*time.Millisecond+SilenceTimeout))
		})
	})
	convey.Convey("A connection stays busy while a request is in flight, even without messages", t, func() {
		k := newKeepalive(start)
		k.active = true
		now := start.Add(time.Minute)
		convey.So(k.busy(now), convey.ShouldBeTrue)
		k.active, k.peerActive = false, true
		convey.So(k.busy(now), convey.ShouldBeTrue)
	})
	convey.Convey("The idle silence timeout applies when the peer became idle slightly earlier", t, func() {
		k := newKeepalive(start)
		now := start.Add(busyPeriod - 100*time.Millisecond)
		k.recordHeartbeat(now, Heartbeat{Idle: true})
		convey.So(k.silenceDeadline().After(now.Add(IdleInterval)), convey.ShouldBeTrue)
	})
}

// TestNoSpuriousSilence guards against an end that closes a working connection,
// because an idle heartbeat and a request crossed in transit and the two ends
// assume different heartbeat intervals.
func TestNoSpuriousSilence(t *testing.T) {
	convey.Convey("The silence timeout never expires at either end of a working connection", t, func() {
		for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 300 * time.Millisecond} {
			ends := [2]keepalive{newKeepalive(time.Unix(1000, 0)), newKeepalive(time.Unix(1000, 0).Add(delay))}
			requests := map[int]bool{7000: true, 12100: true, 31999: true} // send times in milliseconds
			heartbeats, drops := simulateConnection(&ends, delay, requests)
			convey.So(drops, convey.ShouldEqual, 0)
			// In the minute, each of the two ends has four busy periods, one at the start
			// and one after each request, and at most 12 idle heartbeats. The bound is
			// twice their number.
			convey.So(heartbeats, convey.ShouldBeLessThan, 2*2*(4*int(busyPeriod/HeartbeatInterval)+12))
		}
	})
}

// transitMessage is a heartbeat or request in transit.
type transitMessage struct {
	arrives   time.Time
	to        int
	heartbeat *Heartbeat // nil for a request
}

// simulateConnection simulates the two ends of a connection for a minute. The
// first end sends requests at the given milliseconds. It returns the number of
// heartbeats and of expired silence timeouts.
func simulateConnection(ends *[2]keepalive, delay time.Duration, requests map[int]bool) (heartbeats, drops int) {
	var inTransit []transitMessage
	start := time.Unix(1000, 0).Add(delay)
	for ms := range 60000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if requests[ms] {
			ends[0].recordSent(now, true)
			inTransit = append(inTransit, transitMessage{arrives: now.Add(delay), to: 1})
		}
		for i := range ends {
			if !now.Before(ends[i].silenceDeadline()) {
				drops++
			}
			if !now.Before(ends[i].heartbeatDueAt(now)) {
				m := ends[i].prepareHeartbeat(now, Heartbeat{})
				ends[i].recordSent(now, false)
				heartbeats++
				inTransit = append(inTransit, transitMessage{arrives: now.Add(delay), to: 1 - i, heartbeat: &m})
			}
		}
		inTransit = deliver(ends, inTransit, now)
	}
	return heartbeats, drops
}

// deliver passes messages that have arrived by now to their receivers and
// returns the others.
func deliver(ends *[2]keepalive, inTransit []transitMessage, now time.Time) []transitMessage {
	var rest []transitMessage
	for _, m := range inTransit {
		switch {
		case now.Before(m.arrives):
			rest = append(rest, m)
		case m.heartbeat == nil:
			ends[m.to].recordReceived(now, true)
		default:
			ends[m.to].recordHeartbeat(now, *m.heartbeat)
		}
	}
	return rest
}
