package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// entryDecoder decodes entries of the form "SERVICE STATE STARTED ADDRESS".
type entryDecoder struct{ textDecoder }

func (d entryDecoder) Replica(id string, b []byte) (target.Replica, error) {
	var service, state, started, addr string
	if _, err := fmt.Sscan(string(b), &service, &state, &started, &addr); err != nil {
		return target.Replica{}, err
	}
	r, err := d.textDecoder.Replica(id, []byte(state+" "+started+" "+addr))
	r.Service = service
	return r, err
}

// listedFleet is a fleet with the sink of its targets, under a configuration that names
// the services s and b.
type listedFleet struct {
	*Fleet
	sink *replicaSink
	now  time.Time
}

func newListedFleet() *listedFleet {
	f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
	f.setConfiguration(routing.New(1, nil, []routing.Service{{Name: "s"}, {Name: "b"}}, routing.Limits{}))
	return &listedFleet{Fleet: f, sink: &replicaSink{entryDecoder{}, f, event.Discard()}, now: time.Now()}
}

// entries returns objects from pairs of a name and a value. An empty value is that of a
// removed object.
func entries(pairs ...string) []objects.Object {
	var out []objects.Object
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, objects.Object{Name: pairs[i], Value: []byte(pairs[i+1]), Deleted: pairs[i+1] == ""})
	}
	return out
}

func (l *listedFleet) list(pairs ...string) {
	l.sink.Replace(l.now, entries(pairs...), time.Time{}, false)
}
func (l *listedFleet) change(pairs ...string) { l.sink.Apply(l.now, entries(pairs...), time.Time{}) }

// chosen returns the target that a call of a service is sent to first, empty for none.
func (l *listedFleet) chosen(service string) string {
	c := callFor("")
	c.service, c.model = service, ""
	sel, ok := l.choose(l.now, c)
	if !ok {
		return ""
	}
	return sel.replica.ID
}

// Entries at one address: a target of s, and another writer's entries of a service that
// the configuration doesn't name and of one that it names, with later starts.
const (
	soundEntry   = "s ready 5 127.0.0.1:1"
	unnamedEntry = "gauge ready 9 127.0.0.1:1"
	namedEntry   = "b ready 9 127.0.0.1:1"
)

// TestEntryOfOtherServiceDisplacesTarget guards against an entry of another service that
// removes the target at the address which it names.
func TestEntryOfOtherServiceDisplacesTarget(t *testing.T) {
	for name, other := range map[string]string{"a service that is not named": unnamedEntry, "another service in force": namedEntry} {
		convey.Convey("Given a target and a later entry of "+name+" at its address", t, func() {
			l := newListedFleet()
			convey.Convey("the target is used if the entry is listed before it", func() {
				l.list("a", other, "x", soundEntry)
			})
			convey.Convey("the target is used if the entry is listed after it", func() {
				l.list("x", soundEntry, "y", other)
			})
			convey.Convey("the target is used if the entry is written before it starts", func() {
				l.list("y", other)
				l.change("x", soundEntry)
			})
			convey.Convey("the target is used if the entry is written while it runs", func() {
				l.list("x", soundEntry)
				l.change("y", other)
			})
			convey.Convey("the target is used if the entry is written between two of its starts", func() {
				l.list("w", "s ready 4 127.0.0.1:1")
				l.change("y", other)
				l.change("x", soundEntry)
			})
			convey.Convey("the target is used if the entry drains", func() {
				l.list("x", soundEntry, "y", other)
				l.change("y", "b draining 9 127.0.0.1:1")
			})
			convey.Convey("the target is used after the entry was removed", func() {
				l.list("x", soundEntry, "y", other)
				l.change("y", "")
			})
			convey.Convey("the target is used after its service was removed and named again", func() {
				l.list("x", soundEntry, "y", other)
				l.setConfiguration(routing.New(2, nil, []routing.Service{{Name: "b"}}, routing.Limits{}))
				l.list("x", soundEntry, "y", other)
				l.setConfiguration(routing.New(3, nil, []routing.Service{{Name: "s"}, {Name: "b"}}, routing.Limits{}))
			})
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
	}
	convey.Convey("A target of a service that is named after its entry was written is used", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry, "y", unnamedEntry)
		l.change("x", "")
		l.setConfiguration(routing.New(2, nil, []routing.Service{{Name: "gauge"}}, routing.Limits{}))
		convey.So(l.chosen("gauge"), convey.ShouldEqual, "y")
		convey.So(l.chosen("s"), convey.ShouldBeEmpty)
	})
	convey.Convey("A target that started again under another id replaces the earlier start, whichever is listed first", t, func() {
		l := newListedFleet()
		l.list("w", "s ready 4 127.0.0.1:1", "x", soundEntry)
		convey.So(l.targets, convey.ShouldHaveLength, 1)
		convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		l = newListedFleet()
		l.list("v", soundEntry, "w", "s ready 4 127.0.0.1:1")
		convey.So(l.targets, convey.ShouldHaveLength, 1)
		convey.So(l.chosen("s"), convey.ShouldEqual, "v")
	})
}

// rejectOthers returns a step that rejects the requests meant for another target than id,
// and answers the others.
func rejectOthers(id string) step {
	ok, misdirected := respond(http.StatusOK, "from "+id, signed), respond(http.StatusMisdirectedRequest, "", "Not-Run: yes", "Instance: "+id)
	return func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Instance") != id {
			return misdirected(c, r)
		}
		return ok(c, r)
	}
}

// addEntry adds the entry of a target that starts at the given time.
func (tg *testGateway) addEntry(id, service string, addr netip.AddrPort, started int64) {
	tg.fleet.mu.Lock()
	defer tg.fleet.mu.Unlock()
	tg.fleet.upsert(time.Now(), target.Replica{ID: id, Service: service, Addr: addr, Zone: "a", Slots: 4, State: target.Live, Started: time.UnixMilli(started)})
}

// TestRequestsBesideEntryOfOtherService guards against refusals by a gateway whose targets
// are all named by entries of another writer.
func TestRequestsBesideEntryOfOtherService(t *testing.T) {
	convey.Convey("Requests are served while an entry of another service has the address of the only target", t, func() {
		ft := newFakeTarget(t, "t1", rejectOthers("t1"))
		tg := newTestGateway(t, ft)
		for _, service := range []string{"gauge", "b"} {
			tg.addEntry("x-"+service, service, ft.addr, 9)
			r := tg.call(t, "/unsafe/1")
			convey.So(r.status, convey.ShouldEqual, http.StatusOK)
			convey.So(r.body, convey.ShouldEqual, "from t1")
		}
	})
}

// heard records a response from the target at the address of the sound entry.
func (l *listedFleet) heard(id string, s sender) {
	l.now = l.now.Add(time.Millisecond)
	l.observeSender(l.now, l.now, l.targets[id], s)
}

// TestLaterEntryHidesTarget guards against a target that stays unused because another
// writer's entry of its service names its address with a later start.
func TestLaterEntryHidesTarget(t *testing.T) {
	const later = "s ready 9 127.0.0.1:1"
	convey.Convey("Given a target and a later entry of its service at its address", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry, "y", later)
		convey.So(l.chosen("s"), convey.ShouldEqual, "y")
		convey.Convey("the target is used once another target has answered there", func() {
			l.heard("y", otherSender)
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
			convey.Convey("also if the later entry changes or is listed again", func() {
				l.change("y", "s draining 9 127.0.0.1:1", "y", later)
				convey.So(l.chosen("s"), convey.ShouldEqual, "x")
				l.list("x", soundEntry, "y", later)
				convey.So(l.chosen("s"), convey.ShouldEqual, "x")
			})
			convey.Convey("until an entry has a still later start", func() {
				l.change("z", "s ready 10 127.0.0.1:1")
				convey.So(l.chosen("s"), convey.ShouldEqual, "z")
			})
			convey.Convey("and the later one if that answers there", func() {
				l.heard("y", expectedSender)
				convey.So(l.chosen("s"), convey.ShouldEqual, "y")
			})
		})
		convey.Convey("the target is used after the later entry was removed", func() {
			l.change("y", "")
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is used after the later entry became unreadable", func() {
			l.change("y", "?")
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is used after the later entry is of another service", func() {
			l.change("y", namedEntry)
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is used while the later entry drains, because no request can refute that", func() {
			l.change("y", "s draining 9 127.0.0.1:1")
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is used after the later entry has drained, whatever that says then", func() {
			l.change("y", "s draining 9 127.0.0.1:1")
			l.change("y", later)
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is used after the later entry has lapsed", func() {
			l.sink.Apply(l.now, entries("y", ""), l.now.Add(time.Second))
			l.Sweep(l.now.Add(2 * time.Second))
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
		convey.Convey("the target is not used if its entry was removed meanwhile", func() {
			l.change("x", "")
			l.change("y", "")
			convey.So(l.chosen("s"), convey.ShouldBeEmpty)
			convey.So(l.superseded, convey.ShouldBeEmpty)
		})
		convey.Convey("the target is not used if it is not listed any more", func() {
			l.list("y", later)
			l.change("y", "")
			convey.So(l.chosen("s"), convey.ShouldBeEmpty)
		})
	})
}

// TestResponseToEarlierRequest guards against a target that is taken for another one
// because a response of its predecessor was read after it had started.
func TestResponseToEarlierRequest(t *testing.T) {
	convey.Convey("A response refutes only the entries that were known when its request was sent", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry)
		former, sentAt := l.targets["x"], l.now
		l.now = l.now.Add(time.Second)
		l.change("y", "s ready 9 127.0.0.1:1")
		l.change("z", namedEntry)
		l.observeSender(l.now, sentAt, former, expectedSender)
		convey.So(l.targets["y"].notice.refuted, convey.ShouldBeFalse)
		convey.So(l.targets["z"].notice.refuted, convey.ShouldBeFalse)
		convey.So(l.chosen("s"), convey.ShouldEqual, "y")
		l.observeSender(l.now.Add(2*time.Second), l.now.Add(time.Second), l.targets["y"], expectedSender)
		convey.So(l.targets["y"].notice.refuted, convey.ShouldBeFalse)
		convey.So(l.targets["z"].notice.refuted, convey.ShouldBeTrue)
	})
}

// TestRefutedTargetIsAvoided guards against requests that go again and again to an entry
// whose address another target has, and against one that is avoided for good.
func TestRefutedTargetIsAvoided(t *testing.T) {
	convey.Convey("A refuted target is chosen only if there is no other, or after some time", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry, "y", "s ready 5 127.0.0.1:2")
		l.heard("x", otherSender)
		for range 20 {
			convey.So(l.chosen("s"), convey.ShouldEqual, "y")
		}
		l.change("y", "")
		convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		l.change("y", "s ready 5 127.0.0.1:2")
		l.now = l.now.Add(refutedAvoidTime)
		seen := map[string]bool{}
		for range 100 {
			seen[l.chosen("s")] = true
		}
		convey.So(seen, convey.ShouldResemble, map[string]bool{"x": true, "y": true})
	})
}

// TestTruthAtAddress guards against orders of entries and responses after which the target
// at an address stays unused although its entry is listed.
func TestTruthAtAddress(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		l := newListedFleet()
		current := map[string]string{}
		value := func(service, state string) string {
			return fmt.Sprintf("%s %s %d 127.0.0.1:1", service, state, random.IntN(9))
		}
		services := []string{"s", "b", "gauge"}
		for range 30 {
			l.now = l.now.Add(100 * time.Millisecond)
			id := fmt.Sprintf("f-%d", random.IntN(4))
			switch random.IntN(4) {
			case 0:
				current[id] = value(services[random.IntN(3)], "ready")
				l.change(id, current[id])
			case 1:
				current[id] = value(services[random.IntN(3)], "draining")
				l.change(id, current[id])
			case 2:
				delete(current, id)
				l.change(id, "")
			case 3:
				if at := l.targets[l.chosen(services[random.IntN(2)])]; at != nil {
					l.observeSender(l.now, l.now, at, []sender{otherSender, expectedSender}[random.IntN(2)])
				}
			}
		}
		current["x"] = value("s", "ready")
		if random.IntN(2) == 0 {
			l.change("x", current["x"])
		} else {
			var all []string
			for id, v := range current {
				all = append(all, id, v)
			}
			l.list(all...)
		}
		for requests := 0; ; requests++ {
			id := l.chosen("s")
			if id == "x" {
				break
			}
			if id == "" || requests > len(current) {
				t.Fatalf("seed %d: %q is chosen after %d requests; entries %v", seed, id, requests, current)
			}
			l.heard(id, otherSender)
		}
		l.heard("x", expectedSender)
		for range 5 {
			if id := l.chosen("s"); id != "x" {
				t.Fatalf("seed %d: %q is chosen beside the target that answered; entries %v", seed, id, current)
			}
		}
	}
}

func TestSenderOf(t *testing.T) {
	convey.Convey("A response names its sender, or shows whether it is the target that was meant", t, func() {
		for _, test := range []struct {
			status     int
			meta       ResponseMeta
			namesModel bool
			want       sender
		}{
			{421, ResponseMeta{Instance: "y", NotRun: true}, false, otherSender},
			{421, ResponseMeta{Instance: "y", NotRun: true}, true, otherSender},
			{421, ResponseMeta{Instance: "x", NotRun: true}, true, expectedSender},
			{421, ResponseMeta{NotRun: true}, false, otherSender},
			{421, ResponseMeta{NotRun: true}, true, unknownSender},
			{200, ResponseMeta{Signed: true}, true, expectedSender},
			{200, ResponseMeta{Signed: true, Instance: "y"}, true, unknownSender},
			{200, ResponseMeta{}, false, unknownSender},
			{503, ResponseMeta{NotRun: true}, false, unknownSender},
			{503, ResponseMeta{NotRun: true, Instance: "x"}, false, expectedSender},
			{500, ResponseMeta{Signed: true}, false, unknownSender},
		} {
			convey.So(senderOf(test.status, test.meta, "x", test.namesModel), convey.ShouldEqual, test.want)
		}
	})
}

// TestEngineBesideLaterEntry guards against an engine that stays unused although the
// targetd beside it reports the start of the entry that was set aside.
func TestEngineBesideLaterEntry(t *testing.T) {
	convey.Convey("Given an engine and a later entry of its service at its address", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry, "y", "s ready 9 127.0.0.1:1")
		report := func(started int64) {
			for _, at := range l.targets {
				l.applyEngineState(l.now, at, peer.EngineState{Reachable: true, Started: started})
				return
			}
		}
		convey.So(l.chosen("s"), convey.ShouldEqual, "y")
		convey.Convey("the engine is used when its targetd reports its start", func() {
			report(5)
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
			convey.Convey("and the later one when its targetd reports that", func() {
				report(9)
				convey.So(l.chosen("s"), convey.ShouldEqual, "y")
			})
		})
		convey.Convey("nothing changes when the report is of neither", func() {
			report(7)
			convey.So(l.chosen("s"), convey.ShouldEqual, "y")
			convey.So(l.targets["y"].notice.refuted, convey.ShouldBeFalse)
		})
	})
}

// TestRequestsBesideLaterEntry guards against a gateway that rejects requests because a
// later entry of another writer has the address of the only target of their service.
func TestRequestsBesideLaterEntry(t *testing.T) {
	unnamed := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Instance") != "t1" {
			return respond(http.StatusMisdirectedRequest, "", "Not-Run: yes")(c, r)
		}
		return respond(http.StatusOK, "from t1", signed)(c, r)
	}
	for name, do := range map[string]step{"names itself": rejectOthers("t1"), "doesn't name itself": unnamed} {
		convey.Convey("One request is sent twice, and none is rejected, by a target that "+name, t, func() {
			ft := newFakeTarget(t, "t1", do)
			tg := newTestGateway(t, ft)
			tg.addEntry("x", "s", ft.addr, 9)
			for range 5 {
				r := tg.call(t, "/unsafe/1")
				convey.So(r.status, convey.ShouldEqual, http.StatusOK)
				convey.So(r.body, convey.ShouldEqual, "from t1")
			}
			convey.So(ft.requests(), convey.ShouldHaveLength, 6)
		})
	}
}

// TestRejectionCopiedToNextEntry guards against the copy of a rejection that is taken for
// the response to the same request when that goes to the target with the next entry.
func TestRejectionCopiedToNextEntry(t *testing.T) {
	convey.Convey("A request that another entry's target rejected uses a new connection to the same address", t, func() {
		var rejecting, runs sync.Map
		copied := rejectOthers("t1")
		ft := newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Instance") != "t1" {
				rejecting.Store(c, true)
				return copied(c, r)
			}
			runs.Store(r, true)
			if _, ok := rejecting.Load(c); ok {
				return thenRespond("HTTP/1.1 421 X\r\nId: r1\r\nNot-Run: 1\r\nInstance: t1\r\nContent-Length: 0\r\n\r\n")(c, r)
			}
			return copied(c, r)
		})
		tg := newTestGateway(t, ft)
		tg.addEntry("x", "s", ft.addr, 9)
		convey.So(tg.call(t, "/unsafe/1").status, convey.ShouldEqual, http.StatusOK)
		n := 0
		runs.Range(func(any, any) bool { n++; return true })
		convey.So(n, convey.ShouldEqual, 1)
	})
}

// TestReportsToOneVM guards against crash reports that all go to the targetd of one VM,
// whose address several entries name, and are lost with it.
func TestReportsToOneVM(t *testing.T) {
	convey.Convey("Reports go to different VMs", t, func() {
		now := time.Now()
		f := engineFleet(now, 2)
		for i := range 4 {
			id := fmt.Sprintf("y-%d", i)
			f.upsert(now, target.Replica{ID: id, Service: fmt.Sprint("other", i), Addr: testAddr(0), Zone: "a", Slots: 4, State: target.Live, Started: time.UnixMilli(9)})
			f.targets[id].conn = &peer.Conn{}
		}
		vms := map[netip.Addr]int{}
		for _, at := range f.connectedVMs() {
			vms[at.replica.Addr.Addr()]++
		}
		convey.So(vms, convey.ShouldResemble, map[netip.Addr]int{testAddr(0).Addr(): 1, testAddr(1).Addr(): 1})
	})
}
