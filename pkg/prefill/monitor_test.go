package prefill

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	// observe records streams, one every 100 ms, of which a share is late, and
	// returns the time after the last one and whether prompts were ever paced.
	observe := func(m *Monitor, now time.Time, r *rand.Rand, streams int, share float64) (time.Time, bool) {
		paced := false
		for range streams {
			m.Observe(now, r.Float64() < share)
			now = now.Add(100 * time.Millisecond)
			paced = paced || m.Paces(now)
		}
		return now, paced
	}
	convey.Convey("Prompts are paced within seconds where they make a fifth of the streams late", t, func() {
		for seed := range uint64(50) {
			var m Monitor
			_, paced := observe(&m, start, rand.New(rand.NewPCG(seed, 1)), 100, 0.2)
			convey.So(paced, convey.ShouldBeTrue)
		}
	})
	convey.Convey("Prompts are not paced because of a slow engine", t, func() {
		for seed := range uint64(50) {
			var m Monitor
			_, paced := observe(&m, start, rand.New(rand.NewPCG(seed, 1)), 600, 0.01)
			convey.So(paced, convey.ShouldBeFalse)
		}
	})
	convey.Convey("Pacing continues for a while after it has ended the late events", t, func() {
		var m Monitor
		r := rand.New(rand.NewPCG(1, 1))
		now, _ := observe(&m, start, r, 100, 0.3)
		now, _ = observe(&m, now, r, 300, 0)
		convey.So(m.Paces(now), convey.ShouldBeTrue)
		now, _ = observe(&m, now, r, 600, 0)
		convey.So(m.Paces(now), convey.ShouldBeFalse)
	})
}

// engine is what a Monitor beside an engine sees: prompts that come in turn from many
// entryds, a share of whose streams are late half a second after their prompts were read.
type engine struct {
	tokens    int     // of a prompt
	lateShare float64 // of the streams
}

// run plays prompts at 6 a second and returns the number after which they were first
// paced, zero for never.
func (e engine) run(seed uint64, prompts int) int {
	var m Monitor
	r := rand.New(rand.NewPCG(seed, 2))
	now := time.Unix(1000, 0)
	for i := range prompts {
		p := Prompt{Key: Key{Sender: uint64(i % 30), ID: uint64(i/30 + 1)}, Tokens: e.tokens, TokenTime: tokenTime}
		m.ObservePrompt(now, p)
		now = now.Add(p.readTime())
		m.ObserveRead(now, p.Key)
		if r.Float64() < e.lateShare {
			m.ObserveLate(now, allowedGap)
		}
		if m.Paces(now) {
			return i + 1
		}
		now = now.Add(time.Second/6 - p.readTime()%(time.Second/6))
	}
	return 0
}

func TestMonitorOfEngine(t *testing.T) {
	convey.Convey("Prompts are paced within seconds where they make a fifth of the streams late, however many entryds send them", t, func() {
		for seed := range uint64(50) {
			convey.So(engine{tokens: 1460, lateShare: 0.23}.run(seed, 150), convey.ShouldBeBetween, 0, 151)
		}
	})
	convey.Convey("Where few streams are late, prompts are paced for next to no engine", t, func() {
		paced := 0
		for seed := range uint64(1000) {
			if (engine{tokens: 1460, lateShare: 0.01}).run(seed, 600) > 0 {
				paced++
			}
		}
		convey.So(paced, convey.ShouldBeLessThan, 50)
	})
	convey.Convey("Late events while the engine reads prompts that take longer than the allowed gap pace none", t, func() {
		for seed := range uint64(50) {
			convey.So(engine{tokens: 6000, lateShare: 0.5}.run(seed, 600), convey.ShouldEqual, 0)
		}
	})
	convey.Convey("Given a large prompt", t, func() {
		now := time.Unix(1000, 0)
		var m Monitor
		large := Prompt{Key: Key{Sender: 1, ID: 1}, Tokens: 6000, TokenTime: tokenTime}
		m.ObservePrompt(now, large)
		manyLate := func(now time.Time) bool {
			for range 20 {
				m.ObserveLate(now, allowedGap)
			}
			return m.Paces(now)
		}
		convey.Convey("late events don't count until it was read, and shortly after", func() {
			convey.So(manyLate(now.Add(time.Second)), convey.ShouldBeFalse)
			now = now.Add(2 * time.Second)
			m.ObserveRead(now, large.Key)
			convey.So(manyLate(now.Add(allowedGap)), convey.ShouldBeFalse)
			convey.So(manyLate(now.Add(allowedGap+time.Millisecond)), convey.ShouldBeTrue)
		})
		convey.Convey("it doesn't matter for ever if its sender is lost", func() {
			convey.So(manyLate(now.Add(unreadMemory)), convey.ShouldBeFalse)
			convey.So(manyLate(now.Add(unreadMemory+time.Millisecond)), convey.ShouldBeTrue)
			convey.So(m.recent, convey.ShouldBeEmpty)
		})
	})
}
