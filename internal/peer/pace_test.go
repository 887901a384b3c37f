package peer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestPace(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("An idle connection beats seldom and says so", t, func() {
		p := newPace(start)
		now := start.Add(busyTime)
		convey.So(p.busy(now), convey.ShouldBeFalse)
		convey.So(p.nextBeat(now), convey.ShouldEqual, start.Add(HeartbeatInterval)) // the one that says so
		convey.So(p.beat(now, Heartbeat{}).Slow, convey.ShouldBeTrue)
		p.sent(now, false)
		convey.So(p.nextBeat(now), convey.ShouldEqual, now.Add(IdleInterval))
		p.heardBeat(now, Heartbeat{Slow: true})
		convey.So(p.silentAt(), convey.ShouldEqual, now.Add(IdleSilenceTimeout))
	})
	convey.Convey("A request on an idle connection that went silent is noticed within SilenceTimeout", t, func() {
		p := newPace(start)
		p.heardBeat(start.Add(10*time.Second), Heartbeat{Slow: true})
		sent := start.Add(13 * time.Second)
		p.sent(sent, true)
		convey.So(p.silentAt(), convey.ShouldEqual, sent.Add(SilenceTimeout))
		convey.Convey("also when a slow heartbeat crosses the request", func() {
			p.heardBeat(sent.Add(10*time.Millisecond), Heartbeat{Slow: true})
			convey.So(p.silentAt(), convey.ShouldEqual, sent.Add(10*time.Millisecond+SilenceTimeout))
		})
	})
	convey.Convey("A connection stays busy while a request is in flight without messages", t, func() {
		p := newPace(start)
		p.active = true
		now := start.Add(time.Minute)
		convey.So(p.busy(now), convey.ShouldBeTrue)
		p.active, p.peerActive = false, true
		convey.So(p.busy(now), convey.ShouldBeTrue)
	})
	convey.Convey("A peer that turned idle a little earlier does not count as silent", t, func() {
		p := newPace(start)
		now := start.Add(busyTime - 100*time.Millisecond)
		p.heardBeat(now, Heartbeat{Slow: true})
		convey.So(p.silentAt().After(now.Add(IdleInterval)), convey.ShouldBeTrue)
	})
}

func TestPacesAgree(t *testing.T) {
	convey.Convey("Neither end of a working connection ever takes the other for silent", t, func() {
		for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 300 * time.Millisecond} {
			ends := [2]pace{newPace(time.Unix(1000, 0)), newPace(time.Unix(1000, 0).Add(delay))}
			requests := map[int]bool{7000: true, 12100: true, 31999: true} // milliseconds
			beats, drops := runPaces(&ends, delay, requests)
			convey.So(drops, convey.ShouldEqual, 0)
			convey.So(beats, convey.ShouldBeLessThan, 2*2*(4*int(busyTime/HeartbeatInterval)+12))
		}
	})
}

// flight is a heartbeat or request under way.
type flight struct {
	arrives time.Time
	to      int
	beat    *Heartbeat // nil for a request
}

// runPaces runs two ends for a minute, with the first end sending requests at
// the given milliseconds, and counts heartbeats and silent ends.
func runPaces(ends *[2]pace, delay time.Duration, requests map[int]bool) (beats, drops int) {
	var flights []flight
	start := time.Unix(1000, 0).Add(delay)
	for ms := range 60000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if requests[ms] {
			ends[0].sent(now, true)
			flights = append(flights, flight{arrives: now.Add(delay), to: 1})
		}
		for i := range ends {
			if !now.Before(ends[i].silentAt()) {
				drops++
			}
			if !now.Before(ends[i].nextBeat(now)) {
				m := ends[i].beat(now, Heartbeat{})
				ends[i].sent(now, false)
				beats++
				flights = append(flights, flight{arrives: now.Add(delay), to: 1 - i, beat: &m})
			}
		}
		flights = deliver(ends, flights, now)
	}
	return beats, drops
}

// deliver hands over what has arrived and returns the rest.
func deliver(ends *[2]pace, flights []flight, now time.Time) []flight {
	var rest []flight
	for _, f := range flights {
		switch {
		case now.Before(f.arrives):
			rest = append(rest, f)
		case f.beat == nil:
			ends[f.to].heard(now, true)
		default:
			ends[f.to].heardBeat(now, *f.beat)
		}
	}
	return rest
}
