package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// fakeIssuer is a targetd that records the messages about limits and answers requests for
// permits by a script.
type fakeIssuer struct {
	mu       sync.Mutex
	received []peer.Message
	conn     *peer.Conn
}

// newFakeIssuer starts a targetd and connects it to the gateway as that of a target.
// answer is called in a goroutine of its own for each request.
func newFakeIssuer(t *testing.T, tg *testGateway, id string, answer func(c *peer.Conn, m peer.PermitRequest)) *fakeIssuer {
	t.Helper()
	fi := &fakeIssuer{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := peer.Accept(w, r, peer.Identity{Name: id, Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		fi.mu.Lock()
		fi.conn = c
		fi.mu.Unlock()
		_, _ = c.Send(peer.EngineState{Reachable: true, Models: []string{"m"}})
		_ = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) { // ends with the test
			switch m := m.(type) {
			case peer.PermitRequest:
				go answer(c, m)
			case peer.Heartbeat:
				return
			}
			fi.mu.Lock()
			defer fi.mu.Unlock()
			fi.received = append(fi.received, m)
		})
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	connectTargetd(ctx, t, tg, id, netip.MustParseAddrPort(srv.Listener.Addr().String()), "e1")
	return fi
}

// limits returns the received limits.
func (fi *fakeIssuer) limits() []peer.RateLimit {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	var out []peer.RateLimit
	for _, m := range fi.received {
		if m, ok := m.(peer.RateLimit); ok {
			out = append(out, m)
		}
	}
	return out
}

// cancels returns the number of requests that were given up.
func (fi *fakeIssuer) cancels() int {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	n := 0
	for _, m := range fi.received {
		if _, ok := m.(peer.PermitCancel); ok {
			n++
		}
	}
	return n
}

const limited = "Rate-Limit: 5"

// grant returns an answer that grants a permit after d.
func grant(d time.Duration) func(*peer.Conn, peer.PermitRequest) {
	return func(c *peer.Conn, m peer.PermitRequest) {
		time.Sleep(d)
		_, _ = c.Send(peer.PermitAnswer{ID: m.ID, Granted: true, Wait: time.Millisecond})
	}
}

// refuse returns an answer that no permit is due for d.
func refuse(d time.Duration) func(*peer.Conn, peer.PermitRequest) {
	return func(c *peer.Conn, m peer.PermitRequest) { _, _ = c.Send(peer.PermitAnswer{ID: m.ID, Wait: d}) }
}

func TestPermits(t *testing.T) {
	convey.Convey("Given a target that limits its rate in its answers", t, func() {
		a := newFakeTarget(t, "t1", respond(200, "good", signed, limited))
		tg := newTestGateway(t, a)
		call := func() (reply, time.Duration) {
			began := time.Now()
			got := tg.call(t, "/unsafe/x")
			return got, time.Since(began)
		}
		convey.Convey("the targetd learns of the limit, and a later call waits for a permit", func() {
			issuer := newFakeIssuer(t, tg, "t1", grant(50*time.Millisecond))
			_, took := call()
			convey.So(took, convey.ShouldBeLessThan, 50*time.Millisecond)
			convey.So(eventually(func() bool { return len(issuer.limits()) == 1 }), convey.ShouldBeTrue)
			convey.So(issuer.limits()[0].PerSecond, convey.ShouldEqual, 5)
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(took, convey.ShouldBeGreaterThanOrEqualTo, 50*time.Millisecond)
			convey.So(len(issuer.limits()), convey.ShouldEqual, 1)
			convey.So(tg.logText(), convey.ShouldContainSubstring, `"name":"target_limited"`)
		})
		convey.Convey("a call that gets no permit in time is rejected at once, with the time of the next one", func() {
			newFakeIssuer(t, tg, "t1", refuse(500*time.Millisecond))
			_, _ = call()
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldBeBetween, "0.50", "0.68") // up to a third of the remaining time
			convey.So(took, convey.ShouldBeLessThan, 100*time.Millisecond)
			convey.So(len(a.requests()), convey.ShouldEqual, 1)
			convey.So(tg.logText(), convey.ShouldContainSubstring, `"reason":"rate_limited"`)
		})
		convey.Convey("a call goes to a target without a limit rather than wait", func() {
			newFakeIssuer(t, tg, "t1", refuse(200*time.Millisecond))
			_, _ = call()
			b := newFakeTarget(t, "t2", respond(200, "other", signed))
			tg.fleet.mu.Lock()
			tg.fleet.upsert(time.Now(), target.Replica{ID: "t2", Service: "s", Addr: b.addr, Zone: "a", Version: "v1", Slots: 4, State: target.Live})
			tg.fleet.mu.Unlock()
			tg.prefer("t1")
			got, _ := call()
			convey.So(got.status, convey.ShouldEqual, 503) // a target that fails is no better
			tg.fleet.mu.Lock()
			tg.fleet.targets["t2"].failureScore = 0
			tg.fleet.mu.Unlock()
			got, took := call()
			convey.So(got.body, convey.ShouldEqual, "other")
			convey.So(took, convey.ShouldBeLessThan, 100*time.Millisecond)
		})
		convey.Convey("a call whose request is not answered is rejected within its objective, and gives the request up", func() {
			issuer := newFakeIssuer(t, tg, "t1", func(*peer.Conn, peer.PermitRequest) {})
			_, _ = call()
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(took, convey.ShouldBeLessThan, time.Second)
			convey.So(eventually(func() bool { return issuer.cancels() > 0 }), convey.ShouldBeTrue)
		})
		convey.Convey("a call chooses again when the connection to the targetd ends", func() {
			issuer := newFakeIssuer(t, tg, "t1", func(c *peer.Conn, _ peer.PermitRequest) { c.Close() })
			_, _ = call()
			got, took := call()
			convey.So(got.status, convey.ShouldBeIn, 200, 503) // this process issues one permit every 1.6 s
			convey.So(took, convey.ShouldBeLessThan, 500*time.Millisecond)
			convey.So(issuer.cancels(), convey.ShouldEqual, 0)
		})
		convey.Convey("a target that leaves meanwhile gets no call with a permit", func() {
			newFakeIssuer(t, tg, "t1", grant(80*time.Millisecond))
			_, _ = call()
			time.AfterFunc(30*time.Millisecond, func() {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				tg.fleet.recordLeaving(time.Now(), tg.fleet.targets["t1"], "test")
			})
			got, _ := call()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(len(a.requests()), convey.ShouldEqual, 1)
		})
		convey.Convey("the limit ends with an answer without one", func() {
			issuer := newFakeIssuer(t, tg, "t1", grant(0))
			_, _ = call()
			a.mu.Lock()
			a.steps = []step{respond(503, "", "Not-Run: 1"), respond(200, "good", signed)}
			a.mu.Unlock()
			_, _ = call()
			_, _ = call()
			convey.So(eventually(func() bool { return len(issuer.limits()) == 2 }), convey.ShouldBeTrue)
			convey.So(issuer.limits()[1].Limited, convey.ShouldBeFalse)
			convey.So(tg.logText(), convey.ShouldContainSubstring, `"name":"target_unlimited"`)
		})
	})
	convey.Convey("A limited target loads no adapter for a call that gets no permit", t, func() {
		a := newFakeTarget(t, "t1", sendEvents(1, 3, true))
		tg := newTestGateway(t, a)
		may := make(chan bool, 1)
		issuer := newFakeIssuer(t, tg, "t1", func(c *peer.Conn, m peer.PermitRequest) {
			_, _ = c.Send(peer.PermitAnswer{ID: m.ID, Granted: <-may, Wait: 600 * time.Millisecond})
		})
		tg.fleet.mu.Lock()
		tg.fleet.setLimit(time.Now(), tg.fleet.targets["t1"].incarnation, 5, "test")
		tg.fleet.mu.Unlock()
		demanded := func() bool {
			issuer.mu.Lock()
			defer issuer.mu.Unlock()
			for _, m := range issuer.received {
				if _, ok := m.(peer.AdapterDemands); ok {
					return true
				}
			}
			return false
		}
		may <- false
		convey.So(tg.call(t, "/patient/x", "Model", "m", "Adapter", "a1").status, convey.ShouldEqual, 503)
		convey.So(demanded(), convey.ShouldBeFalse)
		may <- true
		done := make(chan reply)
		go func() { done <- tg.call(t, "/patient/x", "Model", "m", "Adapter", "a1") }()
		convey.So(eventually(demanded), convey.ShouldBeTrue)
		tg.fleet.applyEngineState(time.Now(), tg.fleet.targets["t1"], adapterState("a1"))
		convey.So((<-done).status, convey.ShouldEqual, 200)
		convey.So(len(may), convey.ShouldEqual, 0) // one permit for the load and the request
	})
	convey.Convey("Further attempts and resumed streams need permits too", t, func() {
		var mu sync.Mutex
		asked := 0
		count := func(c *peer.Conn, m peer.PermitRequest) {
			mu.Lock()
			asked++
			mu.Unlock()
			_, _ = c.Send(peer.PermitAnswer{ID: m.ID, Granted: true})
		}
		streamHead := "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n" + limited + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for path, first := range map[string]step{
			"/safe/x":   respond(500, "bad", signed, limited),
			"/stream/x": resetAfter(streamHead + "1d\r\nid: 1\ndata: piece 1\n\nid: 2\ndat\r\n"),
		} {
			asked = 0
			a, b := newFakeTarget(t, "t1", first), newFakeTarget(t, "t2", respond(200, "good", signed))
			if path == "/stream/x" {
				b.steps = []step{sendEvents(2, 3, true)}
			}
			tg := newTestGateway(t, a, b)
			tg.prefer("t1")
			newFakeIssuer(t, tg, "t1", count)
			tg.fleet.mu.Lock()
			tg.fleet.setLimit(time.Now(), tg.fleet.targets["t2"].incarnation, 5, "test")
			tg.fleet.mu.Unlock()
			got := tg.call(t, path)
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.truncated, convey.ShouldBeFalse)
			convey.So(len(b.requests()), convey.ShouldEqual, 1)
			convey.So(asked, convey.ShouldEqual, 1)
		}
	})
}

func TestRateLimitStatements(t *testing.T) {
	convey.Convey("Given a target without a limit", t, func() {
		start := time.Now()
		f := NewFleet("a", "north", map[string]string{"a": "north", "b": "north", "c": "south"}, event.Discard())
		add := func(id, service, zone string, started int64) *targetState {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.upsert(start, target.Replica{ID: id, Service: service, Addr: testAddr(len(f.targets) + 1), Zone: zone, Slots: 4, State: target.Live, Started: time.UnixMilli(started)})
			return f.targets[id]
		}
		x := add("x", "s", "b", 7)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		says := func(ms, sentAt int, m RateLimit) { f.observeRateLimit(at(ms), x, at(sentAt), m) }
		five := RateLimit{Limited: true, PerSecond: 5}
		convey.Convey("a response to a request that was sent before the limit was stated does not end it", func() {
			says(100, 50, five)
			says(110, 90, RateLimit{None: true})
			convey.So(x.limit.limited, convey.ShouldBeTrue)
			says(120, 101, RateLimit{})
			convey.So(x.limit.limited, convey.ShouldBeTrue)
			says(130, 102, RateLimit{None: true})
			convey.So(x.limit.limited, convey.ShouldBeFalse)
		})
		convey.Convey("another statement replaces the limit", func() {
			says(100, 50, five)
			says(200, 150, RateLimit{Limited: true, PerSecond: 0.5})
			convey.So(x.limit.perSecond, convey.ShouldEqual, 0.5)
			convey.So(x.limit.since, convey.ShouldEqual, at(100))
		})
		convey.Convey("what a targetd heard applies unless the target has said something since", func() {
			says(100, 50, five)
			f.applyRateLimit(at(200), peer.RateLimit{Target: x.incarnation, Age: 150 * time.Millisecond})
			convey.So(x.limit.limited, convey.ShouldBeTrue)
			f.applyRateLimit(at(200), peer.RateLimit{Target: x.incarnation, Age: 50 * time.Millisecond})
			convey.So(x.limit.limited, convey.ShouldBeFalse)
			f.applyRateLimit(at(300), peer.RateLimit{Target: x.incarnation, Limited: true, PerSecond: 3})
			convey.So(x.limit.perSecond, convey.ShouldEqual, 3)
		})
		convey.Convey("a limit that was heard of before the target is listed applies to it", func() {
			f.applyRateLimit(at(100), peer.RateLimit{Target: "y/8", Limited: true, PerSecond: 3})
			convey.So(add("y", "s", "a", 8).limit.enforced(), convey.ShouldBeTrue)
			convey.So(add("z", "s", "a", 8).limit.enforced(), convey.ShouldBeFalse)
		})
		convey.Convey("a new start of the target has no limit, and the earlier one is forgotten after a while", func() {
			says(100, 50, five)
			x = add("x", "s", "b", 9)
			convey.So(x.limit.enforced(), convey.ShouldBeFalse)
			f.Sweep(at(200))
			convey.So(f.limits["x/7"], convey.ShouldNotBeNil)
			f.Sweep(start.Add(2 * noticeRetention))
			convey.So(f.limits["x/7"], convey.ShouldBeNil)
			convey.So(f.limits["x/9"], convey.ShouldNotBeNil)
		})
		convey.Convey("a limit beyond all requests needs no permits", func() {
			says(100, 50, RateLimit{Limited: true, PerSecond: 1e300})
			convey.So(x.limit.enforced(), convey.ShouldBeFalse)
			convey.So(x.limit.permitDelay(at(200)), convey.ShouldEqual, 0)
		})
		convey.Convey("the wait for a permit is estimated from the last answer and the requests since", func() {
			says(100, 50, five)
			convey.So(x.limit.permitDelay(at(200)), convey.ShouldEqual, 0)
			x.limit.nextAt, x.limit.requested = at(300), 2
			convey.So(x.limit.permitDelay(at(200)), convey.ShouldEqual, 500*time.Millisecond)
			convey.So(x.limit.permitDelay(at(400)), convey.ShouldEqual, 400*time.Millisecond)
		})
	})
}

func TestIssuerOf(t *testing.T) {
	convey.Convey("Given a plain target and engines with targetds in several zones", t, func() {
		now := time.Now()
		zones := map[string]string{"a": "north", "b": "north", "c": "south"}
		fleets := map[string]*Fleet{}
		for _, zone := range []string{"a", "c"} { // entryds in different zones
			f := NewFleet(zone, zones[zone], zones, event.Discard())
			fleets[zone] = f
			f.mu.Lock()
			f.upsert(now, target.Replica{ID: "plain", Service: "s", Addr: testAddr(1), Zone: "b", Slots: 4, State: target.Live})
			for i, id := range []string{"a1", "a2", "b1", "b2", "c1"} {
				f.upsert(now, target.Replica{ID: id, Service: "e", Addr: testAddr(i + 2), Zone: id[:1], Slots: 4, State: target.Live})
				f.targets[id].conn, f.targets[id].lastMessageAt = &peer.Conn{}, now
			}
			f.mu.Unlock()
		}
		issuer := func(id string) string {
			var all []string
			for _, f := range fleets {
				f.mu.Lock()
				if o := f.permitIssuer(now, f.targets[id]); o != nil {
					all = append(all, o.replica.ID)
				}
				f.mu.Unlock()
			}
			return strings.Join(all, " ")
		}
		lose := func(id string) {
			for _, f := range fleets {
				f.targets[id].conn = nil
			}
		}
		convey.Convey("an engine's own targetd issues its permits", func() {
			convey.So(issuer("c1"), convey.ShouldEqual, "c1 c1")
		})
		convey.Convey("all entryds choose the same targetd near the plain target, then a farther one", func() {
			first := issuer("plain")
			convey.So(first, convey.ShouldBeIn, "b1 b1", "b2 b2")
			lose(first[:2])
			second := issuer("plain")
			convey.So(second, convey.ShouldBeIn, "b1 b1", "b2 b2")
			convey.So(second, convey.ShouldNotEqual, first)
			lose(second[:2])
			third := issuer("plain")
			convey.So(third, convey.ShouldBeIn, "a1 a1", "a2 a2")
		})
		convey.Convey("silent and leaving ones are passed over", func() {
			for _, f := range fleets {
				f.targets["b1"].lastMessageAt = now.Add(-time.Minute)
				f.mu.Lock()
				f.recordLeaving(now, f.targets["b2"], "test")
				f.mu.Unlock()
			}
			convey.So(issuer("plain"), convey.ShouldBeIn, "a1 a1", "a2 a2")
			convey.So(issuer("b2"), convey.ShouldEqual, "b2 b2")
		})
		convey.Convey("there may be none", func() {
			for _, id := range []string{"a1", "a2", "b1", "b2", "c1"} {
				lose(id)
			}
			convey.So(issuer("plain"), convey.ShouldEqual, "")
		})
	})
}
