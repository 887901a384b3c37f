package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/target"
)

func TestWholeAnswers(t *testing.T) {
	convey.Convey("Given one target", t, func() {
		s := newTarget(t, "t1", answers(200, "hello", signed, "X-Own: 1"))
		w := newWorld(t, s)
		convey.Convey("its answer is passed on with status, headers and body", func() {
			got := w.call(t, "/unsafe/x%2f?q=1")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.body, convey.ShouldEqual, "hello")
			convey.So(got.header.Get("Signed"), convey.ShouldEqual, "yes")
			convey.So(got.header.Get("X-Own"), convey.ShouldEqual, "1")
			r := s.requests()[0]
			convey.So(r.RequestURI, convey.ShouldEqual, "/unsafe/x%2f?q=1")
			convey.So(r.Header.Get("Instance"), convey.ShouldEqual, "t1")
		})
		convey.Convey("it is told no more time than is left", func() {
			w.call(t, "/unsafe/x", "Deadline", "700")
			left, err := strconv.Atoi(s.requests()[0].Header.Get("Left"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(left, convey.ShouldBeLessThanOrEqualTo, 700)
			convey.So(left, convey.ShouldBeGreaterThan, 300)
		})
		convey.Convey("a path without a route is not found", func() {
			convey.So(w.call(t, "/none/x").status, convey.ShouldEqual, 404)
		})
		convey.Convey("a body beyond the limit is refused", func() {
			w.gateway.Current.Load().Limits.BodyBytes = 2
			convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 413)
			convey.So(len(s.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("without a configuration nothing is said to be missing", func() {
			w.gateway.Current.Store(nil)
			got := w.call(t, "/none/x")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		})
	})
}

func TestTruth(t *testing.T) {
	foreign := func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno"))
		return false
	}
	tests := []struct {
		about  string
		path   string
		first  step
		status int
		runs   int // requests that reached targets
	}{
		{"unsafe, refused: runs elsewhere", "/unsafe/x", answers(503, "", "Not-Run: 1"), 200, 2},
		{"unsafe, broken: may have run", "/unsafe/x", breaks(""), 502, 1},
		{"unsafe, cut in the answer: may have run", "/unsafe/x", breaks("HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nab"), 502, 1},
		{"unsafe, 503 without a proof: may have run", "/unsafe/x", answers(503, "busy", signed), 502, 1},
		{"unsafe, failed: the target's own failure", "/unsafe/x", answers(500, "bad", signed), 500, 1},
		{"unsafe, success of nobody: may have run", "/unsafe/x", answers(200, "fake"), 502, 1},
		{"unsafe, encoded: not the target's body", "/unsafe/x", answers(200, "zip", signed, "Content-Encoding: gzip"), 502, 1},
		{"unsafe, answer to another request", "/unsafe/x", foreign, 502, 1},
		{"safe, broken: runs again", "/safe/x", breaks(""), 200, 2},
		{"safe, failed: runs again", "/safe/x", answers(500, "bad", signed), 200, 2},
		{"safe, success of nobody: runs again", "/safe/x", answers(200, "fake"), 200, 2},
		{"once, broken: may have run", "/once/x", breaks(""), 502, 1},
	}
	convey.Convey("What a caller is told of a request is true", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				// Either target may be asked first; the first answer overall is the script's.
				n := 0
				scripted := func(c net.Conn, r *http.Request) bool {
					n++
					if n == 1 {
						return test.first(c, r)
					}
					return answers(200, "good", signed)(c, r)
				}
				a, b := newTarget(t, "t1", scripted), newTarget(t, "t2", scripted)
				w := newWorld(t, a, b)
				got := w.call(t, test.path)
				convey.So(got.status, convey.ShouldEqual, test.status)
				convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, test.runs)
				if test.status == 502 {
					convey.So(got.header.Get("Signed"), convey.ShouldBeEmpty)
					convey.So(w.logged(), convey.ShouldContainSubstring, `"name":"request_failed"`)
				}
			})
		}
	})
	convey.Convey("A safe request that fails everywhere ends with a target's own failure", t, func() {
		w := newWorld(t, newTarget(t, "t1", answers(500, "bad", signed)), newTarget(t, "t2", answers(500, "bad", signed)))
		got := w.call(t, "/safe/x")
		convey.So(got.status, convey.ShouldEqual, 500)
		convey.So(got.body, convey.ShouldEqual, "bad")
		convey.So(got.header.Get("Signed"), convey.ShouldEqual, "yes")
	})
	convey.Convey("A target that can't be reached is passed over, and what was never sent is said not to have run", t, func() {
		// Nothing listens at port 1; a port that was just closed could connect to itself.
		dead := &standInTarget{id: "dead", addr: netip.MustParseAddrPort("127.0.0.1:1")}
		live := newTarget(t, "t1", answers(200, "good", signed))
		w := newWorld(t, dead, live)
		for range 5 {
			convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		}
		w = newWorld(t, dead)
		got := w.call(t, "/unsafe/x")
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
	})
}

func TestStreams(t *testing.T) {
	convey.Convey("Events are passed on whole", t, func() {
		w := newWorld(t, newTarget(t, "t1", streams(1, 4, true)))
		got := w.call(t, "/once/x")
		convey.So(got.cut, convey.ShouldBeFalse)
		convey.So(got.body, convey.ShouldEqual, events(1, 4))
	})
	convey.Convey("A broken stream that can't be resumed is cut, without half an event", t, func() {
		w := newWorld(t, newTarget(t, "t1", streams(1, 4, false)))
		got := w.call(t, "/once/x")
		convey.So(got.cut, convey.ShouldBeTrue)
		convey.So(got.body, convey.ShouldEqual, events(1, 4))
	})
	convey.Convey("One that can goes on elsewhere after its last event, in the same answer", t, func() {
		n := 0
		scripted := func(c net.Conn, r *http.Request) bool {
			n++
			if n == 1 {
				return streams(1, 4, false)(c, r)
			}
			return streams(4, 7, true)(c, r) // event 4 again
		}
		a, b := newTarget(t, "t1", scripted), newTarget(t, "t2", scripted)
		w := newWorld(t, a, b)
		got := w.call(t, "/stream/x")
		convey.So(got.cut, convey.ShouldBeFalse)
		convey.So(got.body, convey.ShouldEqual, events(1, 7))
		convey.So(got.header.Get("Signed"), convey.ShouldEqual, "run-1")
		convey.So(len(a.requests()), convey.ShouldEqual, 1)
		convey.So(len(b.requests()), convey.ShouldEqual, 1)
		last := a.requests()[0].Header.Get("Last-Event") + b.requests()[0].Header.Get("Last-Event")
		convey.So(last, convey.ShouldEqual, "4")
	})
	convey.Convey("It does not go on for ever", t, func() {
		w := newWorld(t, newTarget(t, "t1", streams(1, 2, false)), newTarget(t, "t2", streams(1, 2, false)), newTarget(t, "t3", streams(1, 2, false)))
		got := w.call(t, "/stream/x")
		convey.So(got.cut, convey.ShouldBeTrue)
		convey.So(got.body, convey.ShouldEqual, events(1, 2))
	})
}

func TestTimes(t *testing.T) {
	convey.Convey("Given a target that answers nothing", t, func() {
		s := newTarget(t, "t1", func(net.Conn, *http.Request) bool { return false })
		s.steps = []step{s.hangs()}
		w := newWorld(t, s)
		convey.Convey("the caller hears at the deadline that the request may have run, and the target is left", func() {
			begun := time.Now()
			got := w.call(t, "/unsafe/x", "Deadline", "200")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(time.Since(begun), convey.ShouldBeBetween, 150*time.Millisecond, 700*time.Millisecond)
			convey.So(w.fleet.nodes["t1"].unsound, convey.ShouldEqual, 0)
			convey.So(eventually(func() bool { return s.gone.Load() == 1 }), convey.ShouldBeTrue)
		})
		convey.Convey("a target that was silent for the whole objective counts as failing", func() {
			w.call(t, "/unsafe/x", "Deadline", "500")
			convey.So(w.fleet.nodes["t1"].unsound, convey.ShouldEqual, 1)
		})
		convey.Convey("when the caller leaves, the target is left at once", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			w.callWith(ctx, t, "/unsafe/x")
			convey.So(w.fleet.nodes["t1"].unsound, convey.ShouldEqual, 0)
			convey.So(eventually(func() bool { return s.gone.Load() == 1 }), convey.ShouldBeTrue)
			convey.So(eventually(func() bool { return strings.Contains(w.logged(), "caller_left") }), convey.ShouldBeTrue)
		})
	})
}

func TestSilentTarget(t *testing.T) {
	convey.Convey("A safe request leaves a target that answers nothing, in time for another", t, func() {
		a, b := newTarget(t, "t1", answers(200, "a", signed)), newTarget(t, "t2", answers(200, "b", signed))
		w := newWorld(t, a, b)
		for range 20 { // what is usual becomes known
			convey.So(w.call(t, "/safe/x").status, convey.ShouldEqual, 200)
		}
		a.mu.Lock()
		a.steps = []step{a.hangs()}
		a.mu.Unlock()
		for range 10 {
			begun := time.Now()
			convey.So(w.call(t, "/safe/x").body, convey.ShouldEqual, "b")
			convey.So(time.Since(begun), convey.ShouldBeLessThan, 290*time.Millisecond)
		}
	})
	convey.Convey("One that may run once stays", t, func() {
		a := newTarget(t, "t1", answers(200, "a", signed))
		w := newWorld(t, a)
		for range 5 {
			convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		}
		a.mu.Lock()
		a.steps = []step{func(c net.Conn, r *http.Request) bool {
			time.Sleep(400 * time.Millisecond)
			return answers(200, "slow", signed)(c, r)
		}}
		a.mu.Unlock()
		convey.So(w.call(t, "/unsafe/x").body, convey.ShouldEqual, "slow")
	})
}

func TestVersionsFirst(t *testing.T) {
	convey.Convey("Nothing is served before the versions of adapters are known", t, func() {
		a := newTarget(t, "t1", answers(200, "a", signed))
		w := newWorld(t, a)
		w.fleet.current = false
		convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 503)
		convey.So(len(a.requests()), convey.ShouldEqual, 0)
	})
}

func TestLeavingTargets(t *testing.T) {
	convey.Convey("A target that leaves gets nothing new", t, func() {
		a, b := newTarget(t, "t1", answers(200, "a", signed)), newTarget(t, "t2", answers(200, "b", signed))
		w := newWorld(t, a, b)
		w.fleet.put(time.Now(), target.Replica{ID: "t1", Service: "s", Addr: a.addr, Zone: "a", Slots: 4, State: target.Leaving})
		for range 10 {
			convey.So(w.call(t, "/unsafe/x").body, convey.ShouldEqual, "b")
		}
	})
	convey.Convey("An entry that lapsed while the store was away holds until entries have settled", t, func() {
		a := newTarget(t, "t1", answers(200, "a", signed))
		w := newWorld(t, a)
		now := time.Now()
		w.fleet.mu.Lock()
		w.fleet.remove(now, w.fleet.nodes["t1"], now.Add(300*time.Millisecond))
		w.fleet.mu.Unlock()
		convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		time.Sleep(350 * time.Millisecond)
		convey.So(w.call(t, "/unsafe/x").status, convey.ShouldEqual, 503)
		w.fleet.Sweep(time.Now())
		convey.So(len(w.fleet.nodes), convey.ShouldEqual, 0)
	})
	convey.Convey("A later start at the same address replaces the earlier one", t, func() {
		w := newWorld(t)
		now := time.Now()
		addr := newTarget(t, "x", answers(200, "", signed)).addr
		old := target.Replica{ID: "old", Service: "s", Addr: addr, Zone: "a", Slots: 4, Started: now.Add(-time.Minute)}
		young := target.Replica{ID: "young", Service: "s", Addr: addr, Zone: "a", Slots: 4, Started: now}
		for _, order := range [][]target.Replica{{old, young}, {young, old}} {
			clear(w.fleet.nodes)
			for _, r := range order {
				w.fleet.put(now, r)
			}
			convey.So(len(w.fleet.nodes), convey.ShouldEqual, 1)
			convey.So(w.fleet.nodes["young"], convey.ShouldNotBeNil)
		}
	})
}

func TestQuarantine(t *testing.T) {
	convey.Convey("A request that two targets crashed on is refused, others are served", t, func() {
		w := newWorld(t, newTarget(t, "t1", answers(200, "ok", signed)))
		c := &call{request: w.requestOf("/unsafe/poison"), route: &testRoutes()[1]}
		now := time.Now()
		w.crashes.noteBroken(now, "t1/1", c)
		w.crashes.noteDown(now.Add(time.Second), "t1/1")
		convey.So(w.crashes.convicted(now, c), convey.ShouldBeFalse)
		w.crashes.noteDown(now, "t2/1") // the sign may come before the break
		w.crashes.noteBroken(now.Add(time.Second), "t2/1", c)
		convey.So(w.crashes.convicted(now, c), convey.ShouldBeTrue)
		convey.So(len(w.reports), convey.ShouldEqual, 2)
		other := &call{request: w.requestOf("/unsafe/other")}
		convey.So(w.crashes.convicted(now, other), convey.ShouldBeFalse)
		convey.Convey("also by an entry that only heard of it", func() {
			w2 := newWorld(t)
			for _, m := range w.reports {
				w2.crashes.learn(now, m)
			}
			convey.So(w2.crashes.convicted(now, c), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A break without a crash is no sign against a request", t, func() {
		w := newWorld(t)
		c := &call{request: w.requestOf("/unsafe/x")}
		now := time.Now()
		w.crashes.noteBroken(now, "t1/1", c)
		w.crashes.noteBroken(now, "t2/1", c)
		w.crashes.noteDown(now.Add(2*crashWindow), "t1/1")
		convey.So(w.crashes.convicted(now, c), convey.ShouldBeFalse)
		convey.So(len(w.reports), convey.ShouldEqual, 0)
	})
}

func TestAllowance(t *testing.T) {
	convey.Convey("Repeats of all entries together stay within ratio and slack in any window", t, func() {
		const entries, ratio, slack = 4, 0.2, 40.0
		start := time.Unix(1000, 0)
		all := make([]*allowance, entries)
		for i := range all {
			all[i] = newAllowance(ratio, slack, 10*time.Second, start)
		}
		var requests, repeats []time.Time
		for ms := range 40000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			a := all[ms%entries]
			if ms%10 < entries {
				a.request(now, "s")
				requests = append(requests, now)
			}
			if a.take(now, "s", entries) {
				repeats = append(repeats, now)
			}
		}
		convey.So(len(repeats), convey.ShouldBeGreaterThan, 100)
		for _, from := range repeats {
			n, m := within(repeats, from), within(requests, from)
			convey.So(float64(n), convey.ShouldBeLessThanOrEqualTo, ratio*float64(m)+slack)
		}
	})
}

// within counts the times in the ten seconds from a moment on.
func within(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < 10*time.Second {
			n++
		}
	}
	return n
}
