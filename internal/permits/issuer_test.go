package permits

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

// limitOf returns the statement of a target's limit.
func limitOf(perSecond float64, age time.Duration) peer.RateLimit {
	return peer.RateLimit{Target: "t1/7", Limited: true, PerSecond: perSecond, Age: age}
}

// collector collects answers.
type collector struct{ answers chan peer.PermitAnswer }

func newCollector() collector { return collector{make(chan peer.PermitAnswer, 100)} }

func (c collector) add(a peer.PermitAnswer) { c.answers <- a }

// within returns the answers that arrive within a time.
func (c collector) within(d time.Duration) []peer.PermitAnswer {
	var out []peer.PermitAnswer
	timeout := time.After(d)
	for {
		select {
		case a := <-c.answers:
			out = append(out, a)
		case <-timeout:
			return out
		}
	}
}

func TestIssuer(t *testing.T) {
	convey.Convey("Given an issuer that hears of a limit of 20 requests a second", t, func() {
		i, got, now := New(), newCollector(), time.Now()
		convey.So(i.Observe(now, limitOf(20, 0)), convey.ShouldBeTrue)
		request := func(sender *peer.Conn, id uint64, within time.Duration) {
			i.Request(time.Now(), sender, peer.PermitRequest{ID: id, Limit: limitOf(20, time.Since(now)), Within: within}, got.add)
		}
		convey.Convey("permits are issued when they fall due", func() {
			request(nil, 1, time.Second)
			request(nil, 2, time.Second)
			convey.So(len(got.answers), convey.ShouldEqual, 0)
			a := got.within(200 * time.Millisecond)
			convey.So(len(a), convey.ShouldEqual, 2)
			convey.So(a[0].ID, convey.ShouldEqual, 1)
			convey.So(a[0].Granted, convey.ShouldBeTrue)
			convey.So(a[1].Granted, convey.ShouldBeTrue)
			convey.So(time.Since(now), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		})
		convey.Convey("a request that can't get one in time is answered at once", func() {
			request(nil, 1, time.Millisecond)
			a := <-got.answers
			convey.So(a.Granted, convey.ShouldBeFalse)
			convey.So(a.Wait, convey.ShouldBeBetween, 10*time.Millisecond, 51*time.Millisecond)
		})
		convey.Convey("requests that were given up use no permit", func() {
			sender := &peer.Conn{}
			for id := range uint64(10) {
				request(sender, id, time.Minute)
			}
			request(nil, 1, time.Minute)
			i.RemoveSender(time.Now(), sender)
			request(nil, 2, time.Minute)
			i.Cancel(time.Now(), nil, 2)
			i.Cancel(time.Now(), nil, 99)
			a := got.within(200 * time.Millisecond)
			convey.So(len(a), convey.ShouldEqual, 1)
			convey.So(a[0].ID, convey.ShouldEqual, 1)
		})
		convey.Convey("all requests are answered at the end of the limit, and later ones at once", func() {
			request(nil, 1, time.Minute)
			request(nil, 2, time.Minute)
			convey.So(i.Observe(time.Now(), peer.RateLimit{Target: "t1/7"}), convey.ShouldBeTrue)
			convey.So(len(got.answers), convey.ShouldEqual, 2)
			request(nil, 3, time.Minute)
			convey.So(len(got.answers), convey.ShouldEqual, 3)
			convey.So(i.Limits(time.Now()), convey.ShouldBeEmpty)
			convey.Convey("also if an entryd states the earlier limit again", func() {
				convey.So(i.Observe(time.Now(), limitOf(20, time.Since(now))), convey.ShouldBeFalse)
				convey.So(i.Limits(time.Now()), convey.ShouldBeEmpty)
			})
		})
		convey.Convey("only a newer statement replaces the limit", func() {
			convey.So(i.Observe(now.Add(time.Second), limitOf(5, 2*time.Second)), convey.ShouldBeFalse)
			convey.So(i.Observe(now.Add(time.Second), limitOf(20, 0)), convey.ShouldBeFalse)
			convey.So(i.Observe(now.Add(2*time.Second), limitOf(5, 0)), convey.ShouldBeTrue)
			limits := i.Limits(now.Add(3 * time.Second))
			convey.So(limits, convey.ShouldResemble, []peer.RateLimit{limitOf(5, time.Second)})
		})
		convey.Convey("a limit of which nothing is heard is dropped", func() {
			convey.So(len(i.Limits(now.Add(limitRetention))), convey.ShouldEqual, 1)
			convey.So(i.Limits(now.Add(limitRetention+time.Second)), convey.ShouldBeEmpty)
		})
	})
	convey.Convey("An issuer learns of an unknown limit from a request, and begins without a permit", t, func() {
		i, got, now := New(), newCollector(), time.Now()
		changed := i.Request(now, nil, peer.PermitRequest{ID: 1, Limit: limitOf(10, time.Hour), Within: time.Minute}, got.add)
		convey.So(changed, convey.ShouldBeTrue)
		convey.So(len(got.answers), convey.ShouldEqual, 0)
		convey.So(len(got.within(200*time.Millisecond)), convey.ShouldEqual, 1)
	})
}
