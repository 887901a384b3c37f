package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/target"
)

func TestBufferedResponses(t *testing.T) {
	convey.Convey("Given one target", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "hello", signed, "X-Own: 1"))
		tg := newTestGateway(t, ft)
		convey.Convey("its response is relayed with status, headers and body", func() {
			got := tg.call(t, "/unsafe/x%2f?q=1")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.body, convey.ShouldEqual, "hello")
			convey.So(got.header.Get("Signed"), convey.ShouldEqual, "yes")
			convey.So(got.header.Get("X-Own"), convey.ShouldEqual, "1")
			r := ft.requests()[0]
			convey.So(r.RequestURI, convey.ShouldEqual, "/unsafe/x%2f?q=1")
			convey.So(r.Header.Get("Instance"), convey.ShouldEqual, "t1")
		})
		convey.Convey("it receives at most the remaining time", func() {
			tg.call(t, "/unsafe/x", "Deadline", "700")
			left, err := strconv.Atoi(ft.requests()[0].Header.Get("Left"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(left, convey.ShouldBeLessThanOrEqualTo, 700)
			convey.So(left, convey.ShouldBeGreaterThan, 300)
		})
		convey.Convey("a path without a route gets 404", func() {
			convey.So(tg.call(t, "/none/x").status, convey.ShouldEqual, 404)
		})
		convey.Convey("a body beyond the limit is rejected", func() {
			tg.gateway.Configuration.Load().Limits.BodyBytes = 2
			convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 413)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("without a configuration a path without a route gets 503 instead of 404", func() {
			tg.gateway.Configuration.Store(nil)
			got := tg.call(t, "/none/x")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		})
	})
}

func TestReportedOutcome(t *testing.T) {
	otherRequest := func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno"))
		return false
	}
	tests := []struct {
		name   string
		path   string
		first  step
		status int
		runs   int // requests that reached targets
	}{
		{"unsafe, refused: retried at another target", "/unsafe/x", respond(503, "", "Not-Run: 1"), 200, 2},
		{"unsafe, broken: may have run", "/unsafe/x", resetAfter(""), 502, 1},
		{"unsafe, truncated response: may have run", "/unsafe/x", resetAfter("HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nab"), 502, 1},
		{"unsafe, 503 without proof: may have run", "/unsafe/x", respond(503, "busy", signed), 502, 1},
		{"unsafe, failed: the target's response", "/unsafe/x", respond(500, "bad", signed), 500, 1},
		{"unsafe, unsigned success: may have run", "/unsafe/x", respond(200, "fake"), 502, 1},
		{"unsafe, re-encoded body: may have run", "/unsafe/x", respond(200, "zip", signed, "Content-Encoding: gzip"), 502, 1},
		{"unsafe, response to another request: may have run", "/unsafe/x", otherRequest, 502, 1},
		{"safe, broken: retried", "/safe/x", resetAfter(""), 200, 2},
		{"safe, failed: retried", "/safe/x", respond(500, "bad", signed), 200, 2},
		{"safe, unsigned success: retried", "/safe/x", respond(200, "fake"), 200, 2},
		{"non-resumable stream, broken: may have run", "/once/x", resetAfter(""), 502, 1},
	}
	convey.Convey("The response to the caller states the true outcome of a request", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				// Either target may be selected first; test.first runs for the first request overall.
				n := 0
				scripted := func(c net.Conn, r *http.Request) bool {
					n++
					if n == 1 {
						return test.first(c, r)
					}
					return respond(200, "good", signed)(c, r)
				}
				a, b := newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted)
				tg := newTestGateway(t, a, b)
				got := tg.call(t, test.path)
				convey.So(got.status, convey.ShouldEqual, test.status)
				convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, test.runs)
				if test.status == 502 {
					convey.So(got.header.Get("Signed"), convey.ShouldBeEmpty)
					convey.So(tg.logText(), convey.ShouldContainSubstring, `"name":"request_failed"`)
				}
			})
		}
	})
	convey.Convey("A safe request that fails at every target gets a target's response", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", respond(500, "bad", signed)), newFakeTarget(t, "t2", respond(500, "bad", signed)))
		got := tg.call(t, "/safe/x")
		convey.So(got.status, convey.ShouldEqual, 500)
		convey.So(got.body, convey.ShouldEqual, "bad")
		convey.So(got.header.Get("Signed"), convey.ShouldEqual, "yes")
	})
	convey.Convey("An unreachable target is skipped, and a request that was never sent is reported as not run", t, func() {
		// No listener uses port 1. A connection to a port that was just closed could connect to itself.
		dead := &fakeTarget{id: "dead", addr: netip.MustParseAddrPort("127.0.0.1:1")}
		live := newFakeTarget(t, "t1", respond(200, "good", signed))
		tg := newTestGateway(t, dead, live)
		for range 5 {
			convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		}
		tg = newTestGateway(t, dead)
		got := tg.call(t, "/unsafe/x")
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
	})
}

func TestStreams(t *testing.T) {
	convey.Convey("Complete events are relayed", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", sendEvents(1, 4, true)))
		got := tg.call(t, "/once/x")
		convey.So(got.truncated, convey.ShouldBeFalse)
		convey.So(got.body, convey.ShouldEqual, events(1, 4))
	})
	convey.Convey("A broken non-resumable stream ends the connection after the last complete event", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", sendEvents(1, 4, false)))
		got := tg.call(t, "/once/x")
		convey.So(got.truncated, convey.ShouldBeTrue)
		convey.So(got.body, convey.ShouldEqual, events(1, 4))
	})
	convey.Convey("A broken resumable stream continues from another target after its last event, in the same response", t, func() {
		n := 0
		scripted := func(c net.Conn, r *http.Request) bool {
			n++
			if n == 1 {
				return sendEvents(1, 4, false)(c, r)
			}
			return sendEvents(4, 7, true)(c, r) // repeats event 4
		}
		a, b := newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted)
		tg := newTestGateway(t, a, b)
		got := tg.call(t, "/stream/x")
		convey.So(got.truncated, convey.ShouldBeFalse)
		convey.So(got.body, convey.ShouldEqual, events(1, 7))
		convey.So(got.header.Get("Signed"), convey.ShouldEqual, "run-1")
		convey.So(len(a.requests()), convey.ShouldEqual, 1)
		convey.So(len(b.requests()), convey.ShouldEqual, 1)
		last := a.requests()[0].Header.Get("Last-Event") + b.requests()[0].Header.Get("Last-Event")
		convey.So(last, convey.ShouldEqual, "4")
	})
	convey.Convey("The number of resumptions is limited", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", sendEvents(1, 2, false)), newFakeTarget(t, "t2", sendEvents(1, 2, false)), newFakeTarget(t, "t3", sendEvents(1, 2, false)))
		got := tg.call(t, "/stream/x")
		convey.So(got.truncated, convey.ShouldBeTrue)
		convey.So(got.body, convey.ShouldEqual, events(1, 2))
	})
}

func TestDeadlines(t *testing.T) {
	convey.Convey("Given a target that sends no response", t, func() {
		ft := newFakeTarget(t, "t1", func(net.Conn, *http.Request) bool { return false })
		ft.steps = []step{ft.hang()}
		tg := newTestGateway(t, ft)
		convey.Convey("the caller gets 504 at the deadline, and the connection to the target is closed", func() {
			begun := time.Now()
			got := tg.call(t, "/unsafe/x", "Deadline", "200")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(time.Since(begun), convey.ShouldBeBetween, 150*time.Millisecond, 700*time.Millisecond)
			convey.So(tg.fleet.targets["t1"].failureScore, convey.ShouldEqual, 0)
			convey.So(eventually(func() bool { return ft.disconnects.Load() == 1 }), convey.ShouldBeTrue)
		})
		convey.Convey("silence for longer than the objective counts as a failure of the target", func() {
			tg.call(t, "/unsafe/x", "Deadline", "500")
			convey.So(tg.fleet.targets["t1"].failureScore, convey.ShouldEqual, 1)
		})
		convey.Convey("when the caller disconnects, the connection to the target is closed immediately", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			tg.callWith(ctx, t, "/unsafe/x")
			convey.So(tg.fleet.targets["t1"].failureScore, convey.ShouldEqual, 0)
			convey.So(eventually(func() bool { return ft.disconnects.Load() == 1 }), convey.ShouldBeTrue)
			convey.So(eventually(func() bool { return strings.Contains(tg.logText(), "caller_left") }), convey.ShouldBeTrue)
		})
	})
}

func TestAttemptTimeout(t *testing.T) {
	convey.Convey("A safe request abandons an unresponsive target in time for another attempt", t, func() {
		a, b := newFakeTarget(t, "t1", respond(200, "a", signed)), newFakeTarget(t, "t2", respond(200, "b", signed))
		tg := newTestGateway(t, a, b)
		for range 20 { // establishes the mean response time
			convey.So(tg.call(t, "/safe/x").status, convey.ShouldEqual, 200)
		}
		a.mu.Lock()
		a.steps = []step{a.hang()}
		a.mu.Unlock()
		for range 10 {
			begun := time.Now()
			convey.So(tg.call(t, "/safe/x").body, convey.ShouldEqual, "b")
			convey.So(time.Since(begun), convey.ShouldBeLessThan, 290*time.Millisecond) // within the objective of 300 ms
		}
	})
	convey.Convey("An unsafe request has no attempt timeout", t, func() {
		a := newFakeTarget(t, "t1", respond(200, "a", signed))
		tg := newTestGateway(t, a)
		for range 5 {
			convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		}
		a.mu.Lock()
		a.steps = []step{func(c net.Conn, r *http.Request) bool {
			time.Sleep(400 * time.Millisecond)
			return respond(200, "slow", signed)(c, r)
		}}
		a.mu.Unlock()
		convey.So(tg.call(t, "/unsafe/x").body, convey.ShouldEqual, "slow")
	})
}

func TestUnreadyWithoutVersions(t *testing.T) {
	convey.Convey("Requests are rejected until the versions of adapters are listed", t, func() {
		a := newFakeTarget(t, "t1", respond(200, "a", signed))
		tg := newTestGateway(t, a)
		tg.fleet.versionsListed = false
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 503)
		convey.So(len(a.requests()), convey.ShouldEqual, 0)
	})
}

func TestLeavingTargets(t *testing.T) {
	convey.Convey("A leaving target gets no new requests", t, func() {
		a, b := newFakeTarget(t, "t1", respond(200, "a", signed)), newFakeTarget(t, "t2", respond(200, "b", signed))
		tg := newTestGateway(t, a, b)
		tg.fleet.upsert(time.Now(), target.Replica{ID: "t1", Service: "s", Addr: a.addr, Zone: "a", Slots: 4, State: target.Leaving})
		for range 10 {
			convey.So(tg.call(t, "/unsafe/x").body, convey.ShouldEqual, "b")
		}
	})
	convey.Convey("An entry that lapsed while the store was unavailable remains valid until the grace period ends", t, func() {
		a := newFakeTarget(t, "t1", respond(200, "a", signed))
		tg := newTestGateway(t, a)
		now := time.Now()
		tg.fleet.mu.Lock()
		tg.fleet.remove(now, tg.fleet.targets["t1"], now.Add(300*time.Millisecond))
		tg.fleet.mu.Unlock()
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(350 * time.Millisecond)
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 503)
		tg.fleet.Sweep(time.Now())
		convey.So(len(tg.fleet.targets), convey.ShouldEqual, 0)
	})
	convey.Convey("A later incarnation at the same address replaces the earlier one", t, func() {
		tg := newTestGateway(t)
		now := time.Now()
		addr := newFakeTarget(t, "x", respond(200, "", signed)).addr
		old := target.Replica{ID: "old", Service: "s", Addr: addr, Zone: "a", Slots: 4, Started: now.Add(-time.Minute)}
		newer := target.Replica{ID: "young", Service: "s", Addr: addr, Zone: "a", Slots: 4, Started: now}
		for _, order := range [][]target.Replica{{old, newer}, {newer, old}} {
			clear(tg.fleet.targets)
			for _, r := range order {
				tg.fleet.upsert(now, r)
			}
			convey.So(len(tg.fleet.targets), convey.ShouldEqual, 1)
			convey.So(tg.fleet.targets["young"], convey.ShouldNotBeNil)
		}
	})
}

func TestQuarantine(t *testing.T) {
	convey.Convey("A request that crashed two targets is rejected, and others are served", t, func() {
		tg := newTestGateway(t, newFakeTarget(t, "t1", respond(200, "ok", signed)))
		c := &call{request: tg.requestOf("/unsafe/poison"), route: &testRoutes()[1]}
		now := time.Now()
		tg.crashes.recordBroken(now, "t1/1", c, nil, syscall.ECONNRESET)
		tg.crashes.recordEngineDown(now.Add(time.Second), "t1/1")
		convey.So(tg.crashes.quarantined(now, c), convey.ShouldBeFalse)
		tg.crashes.recordEngineDown(now, "t2/1") // the indication of the crash may precede the broken connection
		tg.crashes.recordBroken(now.Add(time.Second), "t2/1", c, nil, syscall.ECONNRESET)
		convey.So(tg.crashes.quarantined(now, c), convey.ShouldBeTrue)
		convey.So(len(tg.reports), convey.ShouldEqual, 2)
		other := &call{request: tg.requestOf("/unsafe/other")}
		convey.So(tg.crashes.quarantined(now, other), convey.ShouldBeFalse)
		convey.Convey("an entryd that only received the crash reports rejects it as well", func() {
			w2 := newTestGateway(t)
			for _, m := range tg.reports {
				w2.crashes.applyReport(now, m)
			}
			convey.So(w2.crashes.quarantined(now, c), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A request does not become a suspect by a broken connection without a crash", t, func() {
		tg := newTestGateway(t)
		c := &call{request: tg.requestOf("/unsafe/x")}
		now := time.Now()
		tg.crashes.recordBroken(now, "t1/1", c, nil, syscall.ECONNRESET)
		tg.crashes.recordBroken(now, "t2/1", c, nil, syscall.ECONNRESET)
		tg.crashes.recordEngineDown(now.Add(2*crashWindow), "t1/1")
		convey.So(tg.crashes.quarantined(now, c), convey.ShouldBeFalse)
		convey.So(len(tg.reports), convey.ShouldEqual, 0)
	})
}

func TestRetryBudget(t *testing.T) {
	convey.Convey("The retries of all entryds together stay within ratio and slack in every window", t, func() {
		const entryds, ratio, slack = 4, 0.2, 40.0
		start := time.Unix(1000, 0)
		all := make([]*retryBudget, entryds)
		for i := range all {
			all[i] = newRetryBudget(ratio, slack, 10*time.Second, start)
		}
		var requests, retries []time.Time
		for ms := range 40000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			a := all[ms%entryds]
			if ms%10 < entryds {
				a.recordRequest(now, "s")
				requests = append(requests, now)
			}
			if a.tryAcquire(now, "s", entryds) {
				retries = append(retries, now)
			}
		}
		convey.So(len(retries), convey.ShouldBeGreaterThan, 100)
		for _, from := range retries {
			n, m := countWithin(retries, from), countWithin(requests, from)
			convey.So(float64(n), convey.ShouldBeLessThanOrEqualTo, ratio*float64(m)+slack)
		}
	})
}

// countWithin counts the times in the ten seconds from a time on.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < 10*time.Second {
			n++
		}
	}
	return n
}
