package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/routing"
)

// callWithPrompt returns a call whose prompt begins with two shared segments.
func callWithPrompt(adapter, document string) *call {
	c := callFor(adapter)
	c.meta.PromptTokens, c.meta.MaxResponseTokens = 2200, 300
	c.meta.PromptSegments, c.meta.PromptSegmentTokens = []string{"system", document}, []int{500, 1500}
	c.promptSegments = promptSegments(c.meta)
	c.placementKey = placement.Hash(document)
	return c
}

// Requests for prompts that one engine has cached were spread over all engines, which read
// them again.
func TestCachedPrompts(t *testing.T) {
	for _, engines := range []int{6, 80} {
		convey.Convey(fmt.Sprintf("Given %d engines of which one has read a prompt", engines), t, func() {
			now := time.Now()
			f := engineFleet(now, engines)
			f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{AdapterSlots: 4, CacheTokens: 100000}}}, routing.Limits{})
			learnReading(f)
			f.latencyOf("llm").observe(100*time.Millisecond, time.Second, 1)
			read := func(engine *targetState, c *call, took time.Duration) {
				a := f.beginAttempt(now, engine, c, nil, func() {})
				f.recordFirstEvent(now, engine, a, 0, took)
				f.endAttempt(engine, c.adapter, a)
			}
			c := callWithPrompt("", "d1")
			first := f.targets["i-3"]
			read(first, c, 190*time.Millisecond)
			chosen := func(c *call) (same int) {
				for range 20 {
					if sel, _ := f.choose(now, c); sel.target == first {
						same++
					}
				}
				return same
			}
			convey.So(chosen(callWithPrompt("", "d1")), convey.ShouldEqual, 20)
			convey.Convey("prompts with other segments go anywhere", func() {
				other := callWithPrompt("", "d2")
				other.promptSegments = other.promptSegments[1:]
				convey.So(chosen(other), convey.ShouldBeLessThan, 15)
			})
			convey.Convey("it is not chosen if the wait there is longer than what the cache saves", func() {
				first.observeBacklog(now, 2500)
				convey.So(chosen(c), convey.ShouldEqual, 0)
			})
			convey.Convey("nor while its requests need the memory", func() {
				f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{CacheTokens: 2600}}}, routing.Limits{})
				convey.So(first.heldTokens(now, f.promptOf(c), 2600, 2500), convey.ShouldEqual, 2000)
				first.observeLoad(now, Load{Running: 1, Slots: 4})
				convey.So(first.heldTokens(now, f.promptOf(c), 2600, 2500), convey.ShouldEqual, 0)
			})
			convey.Convey("a restart of the engine empties the cache", func() {
				f.applyEngineState(now, first, peer.EngineState{Reachable: true, Models: []string{"m"}, Started: 9})
				convey.So(chosen(c), convey.ShouldBeLessThan, 15)
			})
			convey.Convey("the engines' capacity has to be known", func() {
				f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{}}}, routing.Limits{})
				convey.So(chosen(c), convey.ShouldBeLessThan, 15)
			})
			convey.Convey("cached prompts don't teach that the engine is fast, and savings that don't come stop to count", func() {
				slope := f.latencyOf("llm").readTime.Slope()
				for range 60 {
					read(first, callWithPrompt("", "d1"), 190*time.Millisecond)
				}
				convey.So(f.latencyOf("llm").readTime.Slope(), convey.ShouldEqual, slope)
				factor, _ := first.speed.factors(now)
				convey.So(factor, convey.ShouldAlmostEqual, 1, 0.05)
				convey.So(f.latencyOf("llm").cacheGain.Value(), convey.ShouldBeLessThan, 0.1)
			})
		})
	}
	convey.Convey("An unloaded adapter takes its cached prompts with it", t, func() {
		now := time.Now()
		f := engineFleet(now, 2)
		f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{CacheTokens: 100000}}}, routing.Limits{})
		engine, c := f.targets["i-0"], callWithPrompt("a1", "d1")
		f.versions[c.adapter] = 1
		f.applyEngineState(now, engine, adapterState("a1"))
		a := f.beginAttempt(now, engine, c, nil, func() {})
		f.recordFirstEvent(now, engine, a, 0, time.Second)
		held := func() int { return engine.heldTokens(now, f.promptOf(c), 100000, 0) }
		convey.So(held(), convey.ShouldEqual, 2000)
		convey.Convey("even if it is loaded again", func() {
			f.applyEngineState(now, engine, adapterState())
			f.applyEngineState(now, engine, adapterState("a1"))
			convey.So(held(), convey.ShouldEqual, 0)
		})
		convey.Convey("as does a new version", func() {
			f.versions[c.adapter] = 2
			convey.So(held(), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("Prompts without the tokens of their segments are not tracked", t, func() {
		convey.So(promptSegments(RequestMeta{PromptSegments: []string{"a"}}), convey.ShouldBeNil)
	})
}

func TestPromptReaders(t *testing.T) {
	convey.Convey("The last readers of a prompt are remembered, the latest first, until the targets change", t, func() {
		f := engineFleet(time.Now(), 30)
		p := f.services["llm"].models["m"]
		ids := func() (out []string) {
			for _, t := range p.prompts[5].targets {
				if t != nil {
					out = append(out, t.replica.ID)
				}
			}
			return out
		}
		for _, id := range []string{"i-1", "i-2", "i-1", "i-3", "i-4", "i-3"} {
			p.remember(5, f.targets[id])
		}
		convey.So(ids(), convey.ShouldResemble, []string{"i-3", "i-4", "i-1"})
		p.remember(5+homeCacheSize, f.targets["i-9"]) // the same place
		convey.So(ids(), convey.ShouldResemble, []string{"i-9"})
		f.drop(time.Now(), f.targets["i-9"])
		convey.So(p.prompts, convey.ShouldBeEmpty)
	})
}
