package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/speed"
	"github.com/borageusher/borageusher/pkg/target"
)

// learnReading teaches the fleet that engines of the service read a thousand tokens in
// 40 ms and take 100 ms for the rest until the first event.
func learnReading(f *Fleet) {
	for range 100 {
		for thousands := range 10 {
			f.latencyOf("llm").readTime.Observe(1000*thousands, 100*time.Millisecond+time.Duration(thousands)*40*time.Millisecond)
		}
	}
}

// A target that is slower than its service's mean got the same share of requests as the
// others, or none for good after one slow response.
func TestTargetSpeed(t *testing.T) {
	convey.Convey("Given engines that hold an adapter, of which one reads prompts twice as slowly", t, func() {
		now := time.Now()
		f := engineFleet(now, 2)
		learnReading(f)
		c := callFor("a1")
		c.meta.PromptTokens = 5000 // 300 ms at a mean target
		slow, other := f.targets["i-0"], f.targets["i-1"]
		for _, engine := range f.targets {
			engine.resident = map[orders.Adapter]int64{c.adapter: 1}
		}
		for range 50 {
			f.observeReading(now, slow, 5000, 600*time.Millisecond)
			f.observeReading(now, other, 5000, 300*time.Millisecond)
			now = now.Add(100 * time.Millisecond)
		}
		read, work := slow.speed.factors(now)
		convey.So(read, convey.ShouldBeBetween, 1.3, 2)
		convey.So(work, convey.ShouldEqual, 1)
		for _, engine := range f.targets {
			engine.lastMessageAt = now
		}
		choose := func() selection {
			sel, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			return sel
		}
		convey.So(choose().target, convey.ShouldEqual, other)
		convey.Convey("it gets requests while the others are busier", func() {
			other.observeBacklog(now, 10000)
			convey.So(choose().target, convey.ShouldEqual, slow)
			convey.So(choose().extra, convey.ShouldBeBetween, 50*time.Millisecond, 300*time.Millisecond)
		})
		convey.Convey("if all report the same slowness, waits are not estimated twice as long", func() {
			other.observeLoad(now, Load{Running: 4, Slots: 4})
			for range 100 {
				for _, engine := range f.targets {
					f.observeLoad(now, engine, Load{Slowness: 2})
					f.observeLatency(now, engine, 600*time.Millisecond, time.Second)
				}
				now = now.Add(100 * time.Millisecond)
			}
			latency := f.latencyOf("llm")
			convey.So(latency.atNormalSpeed(latency.firstEvent), convey.ShouldBeBetween, 300*time.Millisecond, 330*time.Millisecond)
			convey.So(latency.firstEvent.Value(), convey.ShouldEqual, 600*time.Millisecond)
		})
		convey.Convey("it counts as slow while it is", func() {
			for range 100 {
				f.observeLoad(now, slow, Load{Slots: 4, Slowness: 4})
				now = now.Add(100 * time.Millisecond)
			}
			f.Sweep(now)
			n, _ := f.choiceStats()
			convey.So(n, convey.ShouldEqual, 1)
			f.Sweep(now.Add(time.Minute))
			n, _ = f.choiceStats()
			convey.So(n, convey.ShouldEqual, 0)
		})
		convey.Convey("it is like a mean one again if it is not observed, and after a restart", func() {
			later, _ := slow.speed.factors(now.Add(10 * speed.Learned.TimeConstant))
			convey.So(later, convey.ShouldAlmostEqual, 1, 0.01)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.upsert(now, target.Replica{ID: "i-0", Service: "llm", Addr: testAddr(0), Zone: "a", Slots: 4, State: target.Live, Started: now})
			read, _ := f.targets["i-0"].speed.factors(now)
			convey.So(read, convey.ShouldEqual, 1)
		})
		convey.Convey("a slowness that explains the times is not counted twice", func() {
			for range 400 {
				now = now.Add(100 * time.Millisecond)
				f.observeLoad(now, slow, Load{Slots: 4, Slowness: 2})
				f.observeReading(now, slow, 5000, 600*time.Millisecond)
				f.observeReading(now, other, 5000, 300*time.Millisecond)
			}
			read, work := slow.speed.factors(now)
			convey.So(read, convey.ShouldBeBetween, 1.7, 2.2)
			convey.So(work, convey.ShouldBeBetween, 1.7, 2)
		})
	})
	convey.Convey("Plain responses and events teach the speed, but not waits at a full target or short streams", t, func() {
		now := time.Now()
		f := NewFleet("a", "north", nil, event.Discard())
		f.mu.Lock()
		f.upsert(now, target.Replica{ID: "fast", Service: "s", Addr: testAddr(1), Slots: 2, State: target.Live})
		f.upsert(now, target.Replica{ID: "slow", Service: "s", Addr: testAddr(2), Slots: 2, State: target.Live})
		f.mu.Unlock()
		fast, slow := f.targets["fast"], f.targets["slow"]
		f.observePlain(now, fast, 1, 100*time.Millisecond)
		f.observePlain(now, slow, 2, time.Second)
		f.observeEvents(now, slow, minTimedEvents, time.Second)
		_, work := slow.speed.factors(now)
		convey.So(work, convey.ShouldEqual, 1)
		for range 30 {
			f.observePlain(now, slow, 1, 300*time.Millisecond)
			f.observePlain(now, fast, 1, 100*time.Millisecond)
		}
		_, work = slow.speed.factors(now)
		convey.So(work, convey.ShouldBeBetween, 1.3, 3)
		_, work = fast.speed.factors(now)
		convey.So(work, convey.ShouldBeLessThan, 0.9)
		c := callFor("")
		c.service, c.model = "s", ""
		sel, _ := f.choose(now, c)
		convey.So(sel.target, convey.ShouldEqual, fast)
	})
}
