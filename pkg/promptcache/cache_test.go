package promptcache

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestCache(t *testing.T) {
	now := time.Unix(1000, 0)
	system, doc, other := Segment{1, 400}, Segment{2, 600}, Segment{3, 500}
	prompt := func(root uint64, s ...Segment) Prompt { return NewPrompt(root, s) }
	convey.Convey("Given an engine that has read a prompt with two shared segments", t, func() {
		var c Cache
		p := prompt(7, system, doc)
		convey.So(c.Held(now, p, 10000), convey.ShouldEqual, 0)
		c.Record(now, p, 1200, 1)
		convey.So(p.Shared(), convey.ShouldEqual, 1000)
		convey.So(c.Held(now, p, 10000), convey.ShouldEqual, 1000)
		convey.Convey("another prompt profits from the segments that both begin with", func() {
			convey.So(c.Held(now, prompt(7, system, other), 10000), convey.ShouldEqual, 400)
			convey.So(c.Held(now, prompt(7, system, doc, other), 10000), convey.ShouldEqual, 1000)
		})
		convey.Convey("a segment does not count after another one, nor for another adapter or version", func() {
			convey.So(c.Held(now, prompt(7, doc), 10000), convey.ShouldEqual, 0)
			convey.So(c.Held(now, prompt(7, other, doc), 10000), convey.ShouldEqual, 0)
			convey.So(c.Held(now, prompt(8, system, doc), 10000), convey.ShouldEqual, 0)
		})
		convey.Convey("running requests take its memory, the last segment first", func() {
			convey.So(c.Held(now, p, 999), convey.ShouldEqual, 400)
			convey.So(c.Held(now, p, 399), convey.ShouldEqual, 0)
			convey.So(c.Held(now, p, -5), convey.ShouldEqual, 0)
		})
		convey.Convey("later prompts evict it, unless it is used again", func() {
			c.Record(now, prompt(7, other), 3500, 1)
			convey.So(c.Held(now, p, 4000), convey.ShouldEqual, 400)
			c.Record(now, p, 1000, 1)
			convey.So(c.Held(now, p, 4000), convey.ShouldEqual, 1000)
			convey.Convey("as do those of other processes", func() {
				c.Record(now, prompt(7, other), 1500, 0.2)
				convey.So(c.Held(now, p, 4000), convey.ShouldEqual, 0)
			})
		})
		convey.Convey("it counts for less with time", func() {
			convey.So(c.Held(now.Add(MaxAge/2), p, 10000), convey.ShouldEqual, 500)
			convey.So(c.Held(now.Add(MaxAge), p, 10000), convey.ShouldEqual, 0)
			convey.So(c.Held(now.Add(-time.Second), p, 10000), convey.ShouldEqual, 1000)
		})
		convey.Convey("nothing is left after a restart, and of an adapter after it was unloaded", func() {
			c.Record(now, prompt(8, system), 400, 1)
			c.Drop(7)
			convey.So(c.Held(now, p, 10000), convey.ShouldEqual, 0)
			convey.So(c.Held(now, prompt(8, system), 10000), convey.ShouldEqual, 400)
			c.Reset()
			convey.So(c.Held(now, prompt(8, system), 10000), convey.ShouldEqual, 0)
		})
		convey.Convey("segments after one without tokens don't count", func() {
			convey.So(prompt(7, system, Segment{ID: 2}, other).Shared(), convey.ShouldEqual, 400)
			convey.So(prompt(7).Shared(), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("The memory is bounded, and the prefixes in use stay", t, func() {
		var c Cache
		inUse := prompt(7, system)
		for i := range 1000 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			c.Record(at, inUse, 400, 1)
			c.Record(at, prompt(uint64(i), Segment{uint64(i), 10}, Segment{9, 10}), 20, 1)
			if len(c.entries) > MaxPrefixes {
				t.Fatal(fmt.Sprint(len(c.entries), " prefixes"))
			}
		}
		convey.So(c.Held(now.Add(time.Second), inUse, 1000000), convey.ShouldBeGreaterThan, 390)
		many := make([]Segment, 500)
		for i := range many {
			many[i] = Segment{uint64(i), 1}
		}
		c.Record(now, prompt(1, many...), 500, 1)
		convey.So(len(c.entries), convey.ShouldBeLessThanOrEqualTo, MaxPrefixes)
	})
}

// Engines that keep no prompts would get requests for the sake of savings that don't come.
func TestGain(t *testing.T) {
	convey.Convey("Expected savings that don't come count for less, and for more once they do", t, func() {
		var g Gain
		convey.So(g.Value(), convey.ShouldEqual, 1)
		g.Observe(time.Second, 100*time.Millisecond, minSaving-1) // too small to tell
		convey.So(g.Value(), convey.ShouldEqual, 1)
		for range 100 {
			g.Observe(150*time.Millisecond, 150*time.Millisecond, 50*time.Millisecond)
		}
		convey.So(g.Value(), convey.ShouldBeLessThan, 0.05)
		for range 20 {
			g.Observe(100*time.Millisecond, 150*time.Millisecond, 50*time.Millisecond)
		}
		convey.So(g.Value(), convey.ShouldBeGreaterThan, 0.5)
		g.Observe(time.Hour, 150*time.Millisecond, 50*time.Millisecond)
		convey.So(g.Value(), convey.ShouldBeGreaterThan, 0.4)
	})
}
