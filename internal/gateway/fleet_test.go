package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// engineFleet returns a fleet of n engines that serve the model m and can load
// adapters.
func engineFleet(now time.Time, n int) *Fleet {
	f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
	f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{AdapterSlots: 4}}}, routing.Limits{})
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		f.mu.Lock()
		f.upsert(now, target.Replica{ID: id, Service: "llm", Addr: testAddr(i), Zone: "a", Slots: 4, State: target.Live})
		f.targets[id].conn = &peer.Conn{}
		f.targets[id].lastMessageAt = now
		f.mu.Unlock()
		f.applyEngineState(now, f.targets[id], peer.EngineState{Reachable: true, Models: []string{"m"}})
	}
	return f
}

// callFor returns a call that needs an adapter of the model m.
func callFor(adapter string) *call {
	return &call{
		route:        &routing.Route{Objective: time.Second},
		service:      "llm",
		model:        "m",
		adapter:      orders.Adapter{Model: "m", Name: adapter},
		placementKey: adapterKey(orders.Adapter{Model: "m", Name: adapter}),
		tried:        map[string]bool{},
		refused:      map[string]bool{},
	}
}

func TestLoadCoalescing(t *testing.T) {
	convey.Convey("Given engines that lack an adapter", t, func() {
		now := time.Now()
		f := engineFleet(now, 6)
		c := callFor("a1")
		preferred, ok := f.choose(now, c)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(preferred.resident, convey.ShouldBeFalse)
		convey.Convey("requests wait at an engine that already loads it, even if rendezvous hashing prefers another", func() {
			for id, engine := range f.targets {
				if id != preferred.replica.ID {
					engine.loading[c.adapter] = true
					break
				}
			}
			for range 20 {
				got, _ := f.choose(now, c)
				convey.So(got.target.loading[c.adapter], convey.ShouldBeTrue)
			}
		})
		convey.Convey("further requests join the first at the preferred engine even if it is busy", func() {
			preferred.target.waiting[c.adapter] = 1
			preferred.target.inFlight = 6
			for range 20 {
				got, _ := f.choose(now, c)
				convey.So(got.replica.ID, convey.ShouldEqual, preferred.replica.ID)
			}
		})
		convey.Convey("they avoid the preferred engine if its targetd is silent", func() {
			preferred.target.waiting[c.adapter] = 1
			later := now.Add(2 * targetdSilenceTimeout)
			for _, engine := range f.targets {
				if engine != preferred.target {
					engine.lastMessageAt = later
				}
			}
			got, ok := f.choose(later, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.replica.ID, convey.ShouldNotEqual, preferred.replica.ID)
		})
		convey.Convey("they avoid the preferred engine if it can't free a slot", func() {
			f.latencyOf("llm").duration.Observe(3 * time.Second)
			preferred.target.slotsPinned = true
			got, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.replica.ID, convey.ShouldNotEqual, preferred.replica.ID)
			convey.Convey("if no engine can free a slot, the expected wait includes freeing one, and grows with the adapters queued ahead", func() {
				for _, engine := range f.targets {
					engine.slotsPinned = true
					engine.resident = map[orders.Adapter]int64{{Name: "x"}: 1, {Name: "y"}: 1, {Name: "z"}: 1}
				}
				first, ok := f.choose(now, c)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(first.wait, convey.ShouldEqual, defaultLoadTime+time.Second)
				for _, engine := range f.targets {
					engine.missingAdapters = 2
				}
				later, _ := f.choose(now, c)
				convey.So(later.wait, convey.ShouldEqual, defaultLoadTime+3*time.Second)
			})
		})
		convey.Convey("they avoid the preferred engine if requests still use an older version there", func() {
			f.latencyOf("llm").duration.Observe(3 * time.Second)
			preferred.target.resident[c.adapter] = 1
			f.versions[c.adapter] = 2
			got, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.resident, convey.ShouldBeFalse)
			convey.So(got.replica.ID, convey.ShouldNotEqual, preferred.replica.ID)
		})
		convey.Convey("requests beyond those that it can start in time go to another engine, and those that wait already stay", func() {
			c.meta.PromptTokens = 1000
			for range 300 {
				for tokens := range 10 {
					f.latencyOf("llm").readTime.Observe(1000*tokens, time.Duration(tokens)*30*time.Millisecond)
				}
			}
			preferred.target.loadRequestedAt[c.adapter] = now // suppresses the load request, as the test connection can't send
			for range 20 {
				f.addWaiter(now, preferred.target, c)
			}
			got, _ := f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldNotEqual, preferred.replica.ID)
			c.waitTarget = preferred.target
			got, _ = f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldEqual, preferred.replica.ID)
		})
		convey.Convey("a request that no longer waits for a load goes to a busy engine that holds the adapter", func() {
			preferred.target.resident[c.adapter] = 1
			preferred.target.observeLoad(now, Load{Running: 12, Slots: 4})
			f.latencyOf("llm").duration.Observe(3 * time.Second)
			got, _ := f.choose(now, c)
			convey.So(got.resident, convey.ShouldBeFalse)
			held, ok := f.chooseResident(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(held.resident, convey.ShouldBeTrue)
			convey.So(held.replica.ID, convey.ShouldEqual, preferred.replica.ID)
			delete(preferred.target.resident, c.adapter)
			_, ok = f.chooseResident(now, c)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("an engine with an older version than announced does not count as holding the adapter", func() {
			preferred.target.resident[c.adapter] = 1
			got, _ := f.choose(now, c)
			convey.So(got.resident, convey.ShouldBeTrue)
			f.versions[c.adapter] = 2
			got, _ = f.choose(now, c)
			convey.So(got.resident, convey.ShouldBeFalse)
		})
	})
}

func TestWaiterNotification(t *testing.T) {
	convey.Convey("A waiting request is notified when its adapter becomes resident or the targets change, and not for other adapters", t, func() {
		now := time.Now()
		f := engineFleet(now, 2)
		a1, a2 := callFor("a1").adapter, callFor("a2").adapter
		holding := func(names ...string) peer.EngineState {
			s := peer.EngineState{Reachable: true, Models: []string{"m"}}
			for _, name := range names {
				s.Resident = append(s.Resident, peer.AdapterVersion{Model: "m", Adapter: name, Version: 1})
			}
			return s
		}
		notified := func(ch <-chan struct{}) bool {
			select {
			case <-ch:
				return true
			default:
				return false
			}
		}
		engine := f.targets["i-0"]
		first, second := f.changeSignal(a1), f.changeSignal(a2)
		f.applyEngineState(now, engine, holding("a2"))
		convey.So(notified(first), convey.ShouldBeFalse)
		convey.So(notified(second), convey.ShouldBeTrue)
		f.applyEngineState(now, engine, holding("a2"))
		convey.So(notified(f.changeSignal(a2)), convey.ShouldBeFalse)
		f.applyEngineState(now, engine, peer.EngineState{})
		convey.So(notified(first), convey.ShouldBeTrue)
	})
}

func TestOverloaded(t *testing.T) {
	convey.Convey("A stream is rejected immediately if its caller would time out before the first event", t, func() {
		now := time.Now()
		f := engineFleet(now, 1)
		c := callFor("a1")
		c.meta.PromptTokens = 1000
		c.start, c.deadline = now, now.Add(time.Minute)
		g := New(Options{Fleet: f, Log: event.Discard(), Scope: tally.NoopScope})
		for range 100 {
			for tokens := range 20 {
				f.latencyOf("llm").readTime.Observe(1000*tokens, 200*time.Millisecond+time.Duration(tokens)*40*time.Millisecond)
			}
		}
		engine := f.targets["i-0"]
		f.applyEngineState(now, engine, peer.EngineState{Reachable: true, Models: []string{"m"}, Resident: []peer.AdapterVersion{{Model: "m", Adapter: "a1", Version: 1}}})
		for _, test := range []struct {
			ahead int
			want  bool
		}{{0, false}, {40, false}, {90, false}, {100, true}} {
			engine.observeBacklog(now, 1000*test.ahead)
			p, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(g.rejects(now, c, p, false) == "overloaded", convey.ShouldEqual, test.want)
		}
		convey.So(c.retryAfter, convey.ShouldBeBetween, 0, time.Second) // the backlog is little above the limit
		c.headerSent = true
		p, _ := f.choose(now, c)
		convey.So(g.rejects(now, c, p, false), convey.ShouldBeEmpty) // a started stream can't be rejected
	})
}
