package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// spreadFleet returns the fleet of an entryd in the given zone with engines in three zones
// of two regions, which are added in a random order.
func spreadFleet(now time.Time, zone string, n int, seed uint64) *Fleet {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	f := NewFleet(zone, regions[zone], regions, event.Discard())
	f.cfg = routing.New(1, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{AdapterSlots: 16}}}, routing.Limits{})
	for _, i := range rand.New(rand.NewPCG(seed, 2)).Perm(n) {
		id := fmt.Sprintf("i-%d", i)
		f.mu.Lock()
		f.upsert(now, target.Replica{ID: id, Service: "llm", Addr: testAddr(i), Zone: "abc"[i%3 : i%3+1], Slots: 4, State: target.Live})
		f.targets[id].conn, f.targets[id].lastMessageAt = &peer.Conn{}, now
		f.mu.Unlock()
		f.applyEngineState(now, f.targets[id], adapterState())
	}
	return f
}

// Adapters that have other homes at each entryd would be loaded at many targets.
func TestSampledHomesAreStable(t *testing.T) {
	now := time.Now()
	a, b := spreadFleet(now, "a", 350, 1), spreadFleet(now, "c", 350, 2)
	full := spreadFleet(now, "b", 350, 3)
	full.maxFullChoice = 1000
	busy := rand.New(rand.NewPCG(5, 1))
	for _, f := range []*Fleet{a, b, full} {
		f.latencyOf("llm").observe(100*time.Millisecond, time.Second, 1)
	}
	moved := 0
	for i := range 500 {
		c := callFor(fmt.Sprintf("a%d", i))
		want, _ := full.choose(now, c)
		for _, f := range []*Fleet{a, b} {
			if got, ok := f.choose(now, c); !ok || got.replica.ID != want.replica.ID {
				t.Fatalf("the home of adapter %d is %s, with all targets %s", i, got.replica.ID, want.replica.ID)
			}
		}
		// With loads that each entryd sees differently, the homes stay among the first ones.
		first := full.indexOf("llm").all.homesOf(c.placementKey)
		for _, f := range []*Fleet{a, b} {
			for _, engine := range first.targets {
				f.targets[engine.replica.ID].observeLoad(now, Load{Running: busy.IntN(7), Slots: 4})
			}
			got, _ := f.choose(now, c)
			if !slices.ContainsFunc(first.targets[:3], func(t *targetState) bool { return t.replica.ID == got.replica.ID }) {
				moved++
			}
			for _, engine := range first.targets {
				f.targets[engine.replica.ID].observeLoad(now, Load{Slots: 4})
			}
		}
	}
	if moved > 50 {
		t.Errorf("%d of 1000 homes are not among the first three targets", moved)
	}
}

// Entryds that look at different targets with an adapter in memory would load it at more
// targets than needed.
func TestSampledHomesInMemoryAreStable(t *testing.T) {
	now := time.Now()
	a, b := spreadFleet(now, "a", 350, 1), spreadFleet(now, "c", 350, 2)
	full := spreadFleet(now, "b", 350, 3)
	full.maxFullChoice = 1000
	c := callFor("a1")
	for i := 0; i < 350; i += 7 {
		id := fmt.Sprintf("i-%d", i)
		for _, f := range []*Fleet{a, b, full} {
			f.applyEngineState(now, f.targets[id], adapterState("a1"))
			if i > 100 {
				f.applyEngineState(now, f.targets[id], adapterState())
			}
		}
	}
	for _, resident := range []bool{true, false} {
		for i := 0; i <= 100 && !resident; i += 7 {
			for _, f := range []*Fleet{a, b, full} {
				f.applyEngineState(now, f.targets[fmt.Sprintf("i-%d", i)], adapterState())
			}
		}
		for _, f := range []*Fleet{a, b, full} { // holders are too busy, so that the home is chosen
			for _, engine := range f.targets {
				if len(engine.resident) > 0 {
					engine.observeLoad(now, Load{Running: 4, Waiting: 80, Slots: 4})
				}
			}
			f.latencyOf("llm").observe(100*time.Millisecond, time.Second, 1)
		}
		want, _ := full.choose(now, c)
		differ := 0
		for range 50 {
			for _, f := range []*Fleet{a, b} {
				if got, ok := f.choose(now, c); !ok || got.replica.ID != want.replica.ID {
					differ++
				}
			}
		}
		if differ > 0 {
			t.Errorf("holders %t: %d of 100 homes are not %s, as with all targets", resident, differ, want.replica.ID)
		}
	}
}

// A bounded sample that has no usable target must not fail a call that others can take, and
// every rule on targets holds in the sample.
func TestSampledChoiceKeepsRules(t *testing.T) {
	convey.Convey("Given many engines", t, func() {
		now := time.Now()
		f := spreadFleet(now, "a", 120, 1)
		c := callFor("a1")
		base := callFor("")
		last := f.targets["i-77"]
		others := func(do func(*targetState)) {
			for _, engine := range f.targets {
				if engine != last {
					do(engine)
				}
			}
		}
		onlyLast := func() {
			for range 20 {
				for _, c := range []*call{c, base} {
					sel, ok := f.choose(now, c)
					convey.So(ok, convey.ShouldBeTrue)
					convey.So(sel.replica.ID, convey.ShouldEqual, last.replica.ID)
				}
			}
		}
		convey.Convey("the only one that is not avoided is found", func() {
			others(func(t *targetState) { t.avoidUntil = now.Add(time.Second) })
			onlyLast()
		})
		convey.Convey("the only one that does not leave is found", func() {
			others(func(t *targetState) { f.recordLeaving(now, t, "entry") })
			onlyLast()
		})
		convey.Convey("the only one without a backoff is found", func() {
			others(func(t *targetState) { f.recordBackoff(now, t, time.Second) })
			onlyLast()
		})
		convey.Convey("the only one that has not run the call is found", func() {
			others(func(t *targetState) { c.tried[t.replica.ID], base.tried[t.replica.ID] = true, true })
			onlyLast()
		})
		convey.Convey("the only one that has not refused the call is found", func() {
			others(func(t *targetState) { c.refused[t.replica.ID], base.refused[t.replica.ID] = true, true })
			onlyLast()
		})
		convey.Convey("the only one that serves the model is found", func() {
			others(func(t *targetState) {
				f.applyEngineState(now, t, peer.EngineState{Reachable: true, Models: []string{"other"}})
			})
			onlyLast()
			convey.Convey("and none for a model that no engine serves", func() {
				c.model, c.adapter.Model = "third", "third"
				_, ok := f.choose(now, c)
				convey.So(ok, convey.ShouldBeFalse)
			})
		})
		convey.Convey("the only one of the version that began a stream is found", func() {
			others(func(t *targetState) { t.replica.Version = "v1" })
			last.replica.Version = "v2"
			c.softwareVersion, c.headerSent = "v2", true
			base.softwareVersion, base.headerSent = "v2", true
			onlyLast()
		})
		convey.Convey("the only holder is found, also if it is nobody's home", func() {
			f.applyEngineState(now, last, adapterState("a1"))
			for range 20 {
				sel, ok := f.chooseResident(now, c)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(sel.target, convey.ShouldEqual, last)
			}
			convey.Convey("and none once it has unloaded the adapter", func() {
				f.applyEngineState(now, last, adapterState())
				_, ok := f.chooseResident(now, c)
				convey.So(ok, convey.ShouldBeFalse)
				sel, _ := f.choose(now, c)
				convey.So(sel.target, convey.ShouldEqual, last) // it has the adapter in memory
			})
		})
		convey.Convey("a call that waits keeps its target", func() {
			last.loadRequestedAt[c.adapter] = now.Add(time.Hour) // the test connection can't send
			cancel := f.addWaiter(now, last, c)
			c.waitTarget = last
			for range 20 {
				sel, _ := f.choose(now, c)
				convey.So(sel.target, convey.ShouldEqual, last)
			}
			cancel()
			convey.So(f.services["llm"].adapters, convey.ShouldBeEmpty)
		})
	})
}

// An index that differs from the state of the targets would hide holders or keep memory.
func TestIndexFollowsTargets(t *testing.T) {
	now := time.Now()
	f := spreadFleet(now, "a", 40, 1)
	r := rand.New(rand.NewPCG(7, 7))
	name := func() string { return fmt.Sprintf("a%d", r.IntN(300)) }
	for step := range 4000 {
		now = now.Add(time.Millisecond)
		id := fmt.Sprintf("i-%d", r.IntN(40))
		engine := f.targets[id]
		switch {
		case step%50 == 0 && engine != nil:
			f.mu.Lock()
			f.drop(now, engine)
			f.mu.Unlock()
		case engine == nil:
			f.mu.Lock()
			f.upsert(now, target.Replica{ID: id, Service: "llm", Addr: testAddr(r.IntN(200)), Zone: "b", State: target.Live, Started: now})
			f.mu.Unlock()
		case step%7 == 0 && len(engine.resident) > 0:
			for a := range engine.resident {
				f.removeResident(engine, a)
				break
			}
		default:
			s := adapterState(name(), name(), name())
			s.Loading = []peer.AdapterVersion{{Model: "m", Adapter: name()}}
			if step%11 == 0 {
				s.Models = []string{"m", "n"}
			}
			f.applyEngineState(now, engine, s)
		}
	}
	x := f.services["llm"]
	pairs := 0
	for _, engine := range f.targets {
		for a := range engine.knownAdapters() {
			_, resident := engine.resident[a]
			_, recent := engine.recent.lastSeen[a]
			e := x.adapters[a]
			if e == nil || slices.Contains(e.active, engine) != (resident || engine.loading[a]) || slices.Contains(e.recent, engine) != recent {
				t.Fatalf("the index of %v at %s is wrong", a, engine.replica.ID)
			}
			if resident || engine.loading[a] {
				pairs++
			}
			if recent {
				pairs++
			}
		}
		for _, m := range engine.state.Models {
			if !slices.Contains(x.models[m].targets, engine) {
				t.Fatalf("%s is not indexed for model %s", engine.replica.ID, m)
			}
		}
	}
	for _, e := range x.adapters {
		pairs -= len(e.active) + len(e.recent)
	}
	if pairs != 0 || len(x.all.targets) != len(f.targets) {
		t.Errorf("the index lacks %d entries; %d of %d targets", pairs, len(x.all.targets), len(f.targets))
	}
	for id, engine := range f.targets {
		delete(f.targets, id)
		x.remove(engine)
	}
	if len(x.adapters)+len(x.models)+len(x.all.targets) != 0 {
		t.Errorf("the index of no targets: %+v", x)
	}
}

// freeEngine gives all engines of a fleet but one the given load, and returns that one.
func freeEngine(now time.Time, f *Fleet, engineState peer.EngineState, busy Load) *targetState {
	f.latencyOf("llm").observe(100*time.Millisecond, time.Second, 1)
	free := f.targets["i-77"]
	for _, engine := range f.targets {
		f.applyEngineState(now, engine, engineState)
		if engine != free {
			engine.observeLoad(now, busy)
		}
	}
	return free
}

// A bounded sample of busy targets must not have a call rejected while another target has
// capacity for it.
func TestFreeTargetOutsideSample(t *testing.T) {
	for name, adapters := range map[string][]string{"": nil, "a1": {"a1"}} {
		now := time.Now()
		f := spreadFleet(now, "a", 120, 1)
		free := freeEngine(now, f, adapterState(adapters...), Load{Running: 4, Waiting: 80, Slots: 4})
		g := New(Options{Fleet: f, Log: event.Discard(), Scope: tally.NoopScope})
		rejected := 0
		for range 50 {
			c := callFor(name)
			c.start, c.deadline = now, now.Add(10*time.Second)
			sel, reason := g.awaitTarget(t.Context(), c)
			if reason != "" || sel.target != free {
				rejected++
			}
		}
		if rejected > 0 {
			t.Errorf("adapter %q: %d of 50 calls were rejected or sent to a busy target while one was free", name, rejected)
		}
	}
}

// A call whose prompt was offered to the best target must not leave it for a worse one of
// another sample.
func TestOfferedTargetIsCompared(t *testing.T) {
	now := time.Now()
	f := spreadFleet(now, "a", 120, 1)
	free := freeEngine(now, f, adapterState(), Load{Running: 4, Waiting: 1, Slots: 4})
	g := New(Options{Fleet: f, Log: event.Discard(), Scope: tally.NoopScope})
	left := 0
	for range 20 {
		c := callFor("")
		c.start, c.deadline = now, now.Add(10*time.Second)
		sel := selection{target: free, replica: free.replica, resident: true}
		o := &offer{target: free, answers: make(chan peer.PromptAnswer, 1)}
		o.answers <- peer.PromptAnswer{Admitted: true}
		_, _, again, reason := g.awaitAdmission(t.Context(), c, sel, o, peer.PromptAnswer{Requests: 4})
		if again || reason != "" {
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d of 20 calls left the target to which their prompts were offered", left)
	}
}

// A rate limit at most targets must not have a call rejected for lack of permits while
// another target takes it without one.
func TestUnlimitedTargetOutsideSample(t *testing.T) {
	now := time.Now()
	f := spreadFleet(now, "a", 120, 1)
	unlimited := f.targets["i-77"]
	for _, engine := range f.targets {
		if engine != unlimited {
			*engine.limit = rateLimit{limited: true, perSecond: 0.01, learnedAt: now, askedAt: now.Add(time.Minute), nextAt: now.Add(time.Minute)}
		}
	}
	g := New(Options{Fleet: f, Log: event.Discard(), Scope: tally.NoopScope})
	rejected := 0
	for range 20 {
		c := callFor("")
		c.start, c.deadline = now, now.Add(10*time.Second)
		c.permitRefusals, c.permitUntil = maxPermitRefusals, now.Add(time.Second)
		sel, reason := g.awaitTarget(t.Context(), c)
		if reason != "" || sel.target != unlimited {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 20 calls were rejected while a target without a limit was free", rejected)
	}
}
