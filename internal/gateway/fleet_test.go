package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// engineFleet returns a fleet of n engines that hold the model m and can load
// adapters.
func engineFleet(now time.Time, n int) *Fleet {
	f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
	f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{AdapterSlots: 4}}}, routing.Limits{})
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		f.put(now, target.Replica{ID: id, Service: "llm", Addr: testAddr(i), Zone: "a", Slots: 4, State: target.Live})
		f.nodes[id].link = &peer.Conn{}
		f.nodes[id].heardAt = now
		f.nodes[id].believe(now, peer.EngineState{Reachable: true, Models: []string{"m"}})
	}
	return f
}

// callFor returns a call that needs an adapter of the model m.
func callFor(adapter string) *call {
	return &call{
		route:     &routing.Route{Objective: time.Second},
		service:   "llm",
		model:     "m",
		adapter:   orders.Adapter{Model: "m", Name: adapter},
		placement: placement.Hash(adapter),
		tried:     map[string]bool{},
		refused:   map[string]bool{},
	}
}

func TestPendingHome(t *testing.T) {
	convey.Convey("Given engines that lack an adapter", t, func() {
		now := time.Now()
		f := engineFleet(now, 6)
		c := callFor("a1")
		home, ok := f.choose(now, c)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(home.holds, convey.ShouldBeFalse)
		convey.Convey("requests wait where it is being loaded already, also when that is not its home", func() {
			for id, n := range f.nodes {
				if id != home.replica.ID {
					n.coming[c.adapter] = true
					break
				}
			}
			for range 20 {
				got, _ := f.choose(now, c)
				convey.So(got.node.coming[c.adapter], convey.ShouldBeTrue)
			}
		})
		convey.Convey("they stay together when the home becomes busy", func() {
			home.node.waiting[c.adapter] = 1
			home.node.inFlight = 6
			for range 20 {
				got, _ := f.choose(now, c)
				convey.So(got.replica.ID, convey.ShouldEqual, home.replica.ID)
			}
		})
		convey.Convey("they leave a home whose targetd is silent", func() {
			home.node.waiting[c.adapter] = 1
			later := now.Add(2 * silentAfter)
			for _, n := range f.nodes {
				if n != home.node {
					n.heardAt = later
				}
			}
			got, ok := f.choose(later, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.replica.ID, convey.ShouldNotEqual, home.replica.ID)
		})
		convey.Convey("and one that can free no place", func() {
			f.paceOf("llm").stay.Observe(3 * time.Second)
			home.node.full = true
			got, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.replica.ID, convey.ShouldNotEqual, home.replica.ID)
			convey.Convey("unless none can: then they wait for a place, and longer behind others", func() {
				for _, n := range f.nodes {
					n.full = true
					n.holds = map[orders.Adapter]int64{{Name: "x"}: 1, {Name: "y"}: 1, {Name: "z"}: 1}
				}
				first, ok := f.choose(now, c)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(first.wait, convey.ShouldEqual, firstLoad+time.Second)
				for _, n := range f.nodes {
					n.wanted = 2
				}
				later, _ := f.choose(now, c)
				convey.So(later.wait, convey.ShouldEqual, firstLoad+3*time.Second)
			})
		})
		convey.Convey("and one whose older version requests still run on", func() {
			f.paceOf("llm").stay.Observe(3 * time.Second)
			home.node.holds[c.adapter] = 1
			f.versions[c.adapter] = 2
			got, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(got.holds, convey.ShouldBeFalse)
			convey.So(got.replica.ID, convey.ShouldNotEqual, home.replica.ID)
		})
		convey.Convey("when more wait than it can begin in time, the next ones go elsewhere and the first stay", func() {
			for range 300 {
				for ahead := range 10 {
					f.paceOf("llm").queue.Observe(ahead, time.Duration(ahead)*30*time.Millisecond)
				}
			}
			home.node.asked[c.adapter] = now // so that nothing is sent
			for range 20 {
				f.want(now, home.node, c.adapter)
			}
			got, _ := f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldNotEqual, home.replica.ID)
			c.waitsAt = home.node
			got, _ = f.choose(now, c)
			convey.So(got.replica.ID, convey.ShouldEqual, home.replica.ID)
		})
		convey.Convey("a request that waits no longer for a copy goes to a busy holder", func() {
			home.node.holds[c.adapter] = 1
			home.node.observe(now, Load{Running: 12, Slots: 4})
			f.paceOf("llm").stay.Observe(3 * time.Second)
			got, _ := f.choose(now, c)
			convey.So(got.holds, convey.ShouldBeFalse)
			held, ok := f.chooseHolder(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(held.holds, convey.ShouldBeTrue)
			convey.So(held.replica.ID, convey.ShouldEqual, home.replica.ID)
			delete(home.node.holds, c.adapter)
			_, ok = f.chooseHolder(now, c)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("an engine that holds an older version than announced does not hold it", func() {
			home.node.holds[c.adapter] = 1
			got, _ := f.choose(now, c)
			convey.So(got.holds, convey.ShouldBeTrue)
			f.versions[c.adapter] = 2
			got, _ = f.choose(now, c)
			convey.So(got.holds, convey.ShouldBeFalse)
		})
	})
}

func TestNews(t *testing.T) {
	convey.Convey("A request that waits is woken when its adapter arrives or targets change, not by other adapters", t, func() {
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
		woken := func(ch <-chan struct{}) bool {
			select {
			case <-ch:
				return true
			default:
				return false
			}
		}
		n := f.nodes["i-0"]
		first, second := f.newsOf(a1), f.newsOf(a2)
		f.believe(now, n, holding("a2"))
		convey.So(woken(first), convey.ShouldBeFalse)
		convey.So(woken(second), convey.ShouldBeTrue)
		f.believe(now, n, holding("a2"))
		convey.So(woken(f.newsOf(a2)), convey.ShouldBeFalse)
		f.believe(now, n, peer.EngineState{})
		convey.So(woken(first), convey.ShouldBeTrue)
	})
}

func TestOverloaded(t *testing.T) {
	convey.Convey("A stream whose caller would leave before its first event is refused at once", t, func() {
		now := time.Now()
		f := engineFleet(now, 1)
		c := callFor("a1")
		for range 100 {
			for ahead := range 20 {
				f.paceOf("llm").queue.Observe(ahead, 200*time.Millisecond+time.Duration(ahead)*40*time.Millisecond)
			}
		}
		n := f.nodes["i-0"]
		f.believe(now, n, peer.EngineState{Reachable: true, Models: []string{"m"}, Resident: []peer.AdapterVersion{{Model: "m", Adapter: "a1", Version: 1}}})
		for _, test := range []struct {
			ahead int
			want  bool
		}{{0, false}, {40, false}, {90, false}, {100, true}} {
			n.observe(now, Load{Waiting: test.ahead})
			p, ok := f.choose(now, c)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(f.overloaded(c, p), convey.ShouldEqual, test.want)
		}
		c.started = true
		p, _ := f.choose(now, c)
		convey.So(f.overloaded(c, p), convey.ShouldBeFalse) // one that goes on has no other way
	})
}
