package gateway

import (
	"context"
	"fmt"
	"net"
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
	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/target"
)

// fakePacer is a targetd that paces prompts by a script.
type fakePacer struct {
	mu     sync.Mutex
	conn   *peer.Conn
	answer func(c *peer.Conn, m peer.PromptOffer) // called in a goroutine of its own for each offer
	offers []peer.PromptOffer
	done   []uint64
	late   []peer.LateStream
	others []peer.Message // neither of these nor known to earlier releases
}

// newFakePacer starts a targetd that answers offers with answer, and connects it to
// the gateway as that of a target.
func newFakePacer(t *testing.T, tg *testGateway, id string, answer func(c *peer.Conn, m peer.PromptOffer)) *fakePacer {
	t.Helper()
	p := &fakePacer{answer: answer}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := peer.Accept(w, r, peer.Identity{Name: id, Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conn = c
		p.mu.Unlock()
		_, _ = c.Send(peer.Pacing{})
		heartbeat := func() peer.Heartbeat { return peer.Heartbeat{Active: true} }
		_ = c.Run(r.Context(), heartbeat, p.receive) // ends with the test
	}))
	t.Cleanup(srv.Close)
	d := peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c, err := d.Dial(ctx, netip.MustParseAddrPort(srv.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	tc := &targetdConns{ctx: ctx, fleet: tg.fleet, log: event.Discard()}
	ts := tg.fleet.targets[id]
	go func() { _ = tc.serve(ctx, ts, id, c) }() // ends with the test
	paced := func() bool {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		return ts.paces
	}
	if !eventually(paced) {
		t.Fatal("the gateway does not pace prompts")
	}
	tg.fleet.mu.Lock()
	ts.applyState(time.Now(), peer.EngineState{Reachable: true, Models: []string{"m"}})
	tg.fleet.mu.Unlock()
	return p
}

func (p *fakePacer) receive(m peer.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m := m.(type) {
	case peer.PromptOffer:
		p.offers = append(p.offers, m)
		go p.answer(p.conn, m)
	case peer.PromptDone:
		p.done = append(p.done, m.ID)
	case peer.LateStream:
		p.late = append(p.late, m)
	case peer.StreamOrigin, peer.OriginRequest:
		p.others = append(p.others, m)
	}
}

func (p *fakePacer) counts() (offers, done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.offers), len(p.done)
}

// allDone reports whether n prompts were offered and each of them has ended.
func (p *fakePacer) allDone(n int) bool {
	return eventually(func() bool {
		offers, done := p.counts()
		return offers == n && done == n
	})
}

// answerAfter returns an answer that a prompt waits behind ahead tokens, and one that
// admits it after d.
func answerAfter(d time.Duration, ahead int) func(c *peer.Conn, m peer.PromptOffer) {
	return func(c *peer.Conn, m peer.PromptOffer) {
		_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: ahead})
		time.Sleep(d)
		_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true})
	}
}

// learnReadTime teaches the fleet that engines read a thousand tokens in d.
func (tg *testGateway) learnReadTime(d time.Duration) {
	tg.fleet.mu.Lock()
	defer tg.fleet.mu.Unlock()
	for range 100 {
		for thousands := range 10 {
			tg.fleet.latencyOf("s").readTime.Observe(1000*thousands, time.Duration(thousands)*d)
		}
	}
}

func TestPacedPrompts(t *testing.T) {
	admitAtOnce := func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true}) }
	convey.Convey("Given an engine whose targetd paces prompts", t, func() {
		ft := newFakeTarget(t, "t1", sendEvents(1, 4, true))
		tg := newTestGateway(t, ft)
		call := func() (reply, time.Duration) {
			began := time.Now()
			got := tg.call(t, "/once/x", "Model", "m")
			return got, time.Since(began)
		}
		convey.Convey("a prompt is offered, and has ended after its first event", func() {
			p := newFakePacer(t, tg, "t1", admitAtOnce)
			got, _ := call()
			convey.So(got.body, convey.ShouldEqual, events(1, 4))
			convey.So(p.allDone(1), convey.ShouldBeTrue)
		})
		convey.Convey("a prompt that must wait is sent when it is admitted", func() {
			p := newFakePacer(t, tg, "t1", answerAfter(100*time.Millisecond, 1000))
			got, took := call()
			convey.So(got.body, convey.ShouldEqual, events(1, 4))
			convey.So(took, convey.ShouldBeGreaterThanOrEqualTo, 100*time.Millisecond)
			convey.So(p.allDone(1), convey.ShouldBeTrue)
		})
		convey.Convey("a prompt whose offer is not answered is sent after a while", func() {
			p := newFakePacer(t, tg, "t1", func(*peer.Conn, peer.PromptOffer) {})
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(took, convey.ShouldBeBetween, paceTimeout, paceTimeout+time.Second)
			convey.So(tg.logText(), convey.ShouldContainSubstring, `"name":"pacing_skipped"`)
			convey.So(p.allDone(1), convey.ShouldBeTrue)
		})
		convey.Convey("a prompt that is never admitted is sent after its forecast has passed", func() {
			tg.learnReadTime(10 * time.Millisecond)
			newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 5000}) })
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(took, convey.ShouldBeLessThan, time.Second)
		})
		convey.Convey("a prompt whose targetd is lost while it waits is sent", func() {
			newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) {
				_, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 1000})
				time.Sleep(20 * time.Millisecond)
				c.Close()
			})
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(took, convey.ShouldBeLessThan, time.Second)
		})
		convey.Convey("a prompt whose caller would leave before it is read is rejected at once, with the time to come back after", func() {
			tg.learnReadTime(100 * time.Millisecond)
			p := newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Ahead: 100000}) })
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			convey.So(took, convey.ShouldBeLessThan, 300*time.Millisecond) // the objective
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
			convey.So(p.allDone(1), convey.ShouldBeTrue)
		})
		convey.Convey("a prompt for an engine in another region that is not known to be busy does not wait for the answer", func() {
			p := newFakePacer(t, tg, "t1", func(*peer.Conn, peer.PromptOffer) {})
			tg.fleet.mu.Lock()
			tg.fleet.targets["t1"].distance = assignment.OtherRegion
			tg.fleet.mu.Unlock()
			got, took := call()
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(took, convey.ShouldBeLessThan, paceTimeout)
			convey.So(p.allDone(1), convey.ShouldBeTrue)
		})
		convey.Convey("a target that leaves while a prompt waits for its admission is not sent the request", func() {
			newFakePacer(t, tg, "t1", answerAfter(100*time.Millisecond, 1000))
			time.AfterFunc(50*time.Millisecond, func() {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				tg.fleet.targets["t1"].replica.State = target.Leaving
			})
			got, _ := call()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("nor is one that no longer holds the announced version of the adapter", func() {
			newFakePacer(t, tg, "t1", answerAfter(100*time.Millisecond, 1000))
			a := orders.Adapter{Model: "m", Name: "a1"}
			tg.fleet.mu.Lock()
			tg.fleet.targets["t1"].resident[a] = 1
			tg.fleet.mu.Unlock()
			time.AfterFunc(50*time.Millisecond, func() {
				tg.fleet.mu.Lock()
				defer tg.fleet.mu.Unlock()
				tg.fleet.versions[a] = 2
			})
			convey.So(tg.call(t, "/once/x", "Model", "m", "Adapter", "a1").status, convey.ShouldEqual, 503)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("a caller that leaves while its prompt waits ends the offer", func() {
			p := newFakePacer(t, tg, "t1", answerAfter(5*time.Second, 1000))
			tg.learnReadTime(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			tg.callWith(ctx, t, "/once/x", "Model", "m")
			convey.So(p.allDone(1), convey.ShouldBeTrue)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("A prompt goes to another engine if the selected one is busier than known", t, func() {
		a, b := newFakeTarget(t, "t1", sendEvents(1, 2, true)), newFakeTarget(t, "t2", sendEvents(1, 2, true))
		tg := newTestGateway(t, a, b)
		tg.learnReadTime(100 * time.Millisecond)
		busy := newFakePacer(t, tg, "t1", answerAfter(time.Second, 10000))
		newFakePacer(t, tg, "t2", admitAtOnce)
		for range 6 {
			tg.fleet.mu.Lock()
			tg.fleet.targets["t1"].backlog = 0 // as long ago
			tg.fleet.mu.Unlock()
			began := time.Now()
			convey.So(tg.call(t, "/once/x", "Model", "m").status, convey.ShouldEqual, 200)
			convey.So(time.Since(began), convey.ShouldBeLessThan, 500*time.Millisecond)
		}
		convey.So(len(a.requests()), convey.ShouldEqual, 0)
		offers, _ := busy.counts()
		convey.So(busy.allDone(offers), convey.ShouldBeTrue)
		convey.So(strings.Count(tg.logText(), `"name":"request_ended"`), convey.ShouldEqual, 6)
	})
}

func TestLateStreams(t *testing.T) {
	convey.Convey("Given a target whose events have gaps longer than allowed", t, func() {
		ft := newFakeTarget(t, "t1")
		ft.steps = []step{func(c net.Conn, r *http.Request) bool { return sendSlowEvents(c, r, 4, 40*time.Millisecond) }}
		tg := newTestGateway(t, ft)
		route, ok := tg.gateway.Configuration.Load().Match("h", "/once/x")
		convey.So(ok, convey.ShouldBeTrue)
		p := newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true}) })
		call := func() { convey.So(tg.call(t, "/once/x", "Model", "m").status, convey.ShouldEqual, 200) }
		late := func() []peer.LateStream {
			p.mu.Lock()
			defer p.mu.Unlock()
			return append([]peer.LateStream(nil), p.late...)
		}
		lastGap := func() time.Duration {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.offers[len(p.offers)-1].Gap
		}
		convey.Convey("each of its streams is reported once to its targetd", func() {
			route.MaxEventGap = 20 * time.Millisecond
			call()
			call()
			convey.So(p.allDone(2), convey.ShouldBeTrue)
			convey.So(eventually(func() bool { return len(late()) == 2 }), convey.ShouldBeTrue)
			convey.So(late()[0].Allowed, convey.ShouldEqual, route.MaxEventGap)
		})
		convey.Convey("a stream of a route without a limit is not reported", func() {
			route.MaxEventGap = 0
			call()
			convey.So(p.allDone(1), convey.ShouldBeTrue)
			convey.So(late(), convey.ShouldBeEmpty)
		})
		convey.Convey("prompts state the allowed gap once the targetd asks for it", func() {
			route.MaxEventGap = 20 * time.Millisecond
			call()
			convey.So(lastGap(), convey.ShouldEqual, 0)
			_, _ = p.conn.Send(peer.Pacing{})
			convey.So(eventually(func() bool { call(); return lastGap() == route.MaxEventGap }), convey.ShouldBeTrue)
			convey.Convey("until it no longer repeats that", func() {
				tg.fleet.mu.Lock()
				tg.fleet.targets["t1"].pacedUntil = time.Now()
				tg.fleet.mu.Unlock()
				call()
				convey.So(lastGap(), convey.ShouldEqual, 0)
			})
		})
	})
}

func TestSlowEnginePacesNoOther(t *testing.T) {
	convey.Convey("Late events of slow engines don't make the prompts for other engines wait", t, func() {
		const engines, slow = 9, 2
		var targets []*fakeTarget
		for i := range engines {
			ft := newFakeTarget(t, fmt.Sprintf("t%d", i), sendEvents(1, 3, true))
			if i < slow {
				ft.steps = []step{func(c net.Conn, r *http.Request) bool { return sendSlowEvents(c, r, 3, 40*time.Millisecond) }}
			}
			targets = append(targets, ft)
		}
		tg := newTestGateway(t, targets...)
		route, ok := tg.gateway.Configuration.Load().Match("h", "/once/x")
		convey.So(ok, convey.ShouldBeTrue)
		route.MaxEventGap = 20 * time.Millisecond
		admit := func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true}) }
		var pacers []*fakePacer
		for _, ft := range targets {
			pacers = append(pacers, newFakePacer(t, tg, ft.id, admit))
		}
		for range 150 {
			convey.So(tg.call(t, "/once/x", "Model", "m").status, convey.ShouldEqual, 200)
		}
		for _, p := range pacers[slow:] {
			p.mu.Lock()
			paced := 0
			for _, o := range p.offers {
				if o.Gap > 0 {
					paced++
				}
			}
			p.mu.Unlock()
			convey.So(paced, convey.ShouldEqual, 0)
		}
	})
}
