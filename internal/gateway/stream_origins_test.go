package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/enginecontroller"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/streams"
	"github.com/borageusher/borageusher/pkg/target"
)

// newTargetd starts a targetd that the test connects to gateways.
func newTargetd(t *testing.T, id string) netip.AddrPort {
	t.Helper()
	ec := enginecontroller.New(enginecontroller.Options{
		Self: peer.Identity{Name: id, Role: "targetd"}, Key: peer.Key("k"), Engine: idleEngine{}, Log: event.Discard(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	srv := httptest.NewServer(ec)
	go ec.Run(ctx)
	t.Cleanup(srv.Close)
	t.Cleanup(cancel)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// newSilentTargetd starts a targetd that keeps origins but answers nothing.
func newSilentTargetd(t testing.TB, id string) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.AnnounceOrigins(w.Header())
		c, err := peer.Accept(w, r, peer.Identity{Name: id, Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		_, _ = c.Send(peer.EngineState{Reachable: true})
		_ = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(peer.Message) {}) // ends with the test
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// TestTakeUpOutlastsCaller guards against a request that waits for the origin of its stream
// after its caller has given up.
func TestTakeUpOutlastsCaller(t *testing.T) {
	convey.Convey("A request whose targetd does not answer is answered before its deadline", t, func() {
		tg := newTestGateway(t)
		tg.list(newVersionedTarget(t, "t1", "a", "v1", 0))
		connectTargetd(t.Context(), t, tg, "t1", newSilentTargetd(t, "t1"), "e1")
		start := time.Now()
		got := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2", "Deadline", "100")
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(time.Since(start), convey.ShouldBeLessThan, 100*time.Millisecond)
	})
}

// TestTakeUpDuringReconnect guards against a stream that is given up because the entryd has
// lost its connection to the targetd that knows it, although it is restored soon.
func TestTakeUpDuringReconnect(t *testing.T) {
	convey.Convey("Given a stream that broke off, and another entryd whose connection to the targetd was reset", t, func() {
		first, second := newTestGateway(t), newTestGateway(t)
		began, spare := newVersionedTarget(t, "t1", "a", "v1", 2), newVersionedTarget(t, "t2", "a", "v1", 0)
		first.list(began, spare)
		second.list(began, spare)
		first.prefer("t1")
		second.prefer("t2")
		targetd := newTargetd(t, "t1")
		connectTargetd(t.Context(), t, first, "t1", targetd, "e1")
		tg := second.fleet.targets["t1"]
		dialer := peer.Dialer{Self: peer.Identity{Name: "e2", Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
		tc := &targetdConns{fleet: second.fleet, log: event.Discard(), onEngineDown: func(time.Time, string) {}}
		dialled := make(chan *peer.Conn, 2)
		dial := func() {
			c, err := dialer.Dial(t.Context(), targetd)
			if err != nil {
				t.Error(err)
				return
			}
			dialled <- c
			_ = tc.serve(t.Context(), tg, "t1", c) // ends with the test
		}
		go dial()
		connected := func(want bool) func() bool {
			return func() bool {
				second.fleet.mu.Lock()
				defer second.fleet.mu.Unlock()
				return (tg.conn != nil) == want
			}
		}
		convey.So(eventually(connected(true)), convey.ShouldBeTrue)
		second.fleet.mu.Lock()
		tg.closeConn = func() {} // the connection is maintained
		tg.applyState(time.Now(), peer.EngineState{Reachable: true})
		second.fleet.mu.Unlock()
		if got := first.call(t, "/stream/x", "Id", "r1"); got.body == "" {
			t.Fatal("no stream begins")
		}
		(<-dialled).Close()
		convey.So(eventually(connected(false)), convey.ShouldBeTrue)
		convey.Convey("it goes on when the connection is restored", func() {
			time.AfterFunc(50*time.Millisecond, dial)
			got := second.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
			convey.So(got.body, convey.ShouldEqual, versionedEvents("v1", 3, lastPiece))
		})
		convey.Convey("its caller gets a time to return if the connection is not restored in time", func() {
			got := second.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		})
	})
}

// TestOriginWithoutTimeout guards against an origin that expires while its stream goes on
// because neither the caller nor the route limits the stream's time.
func TestOriginWithoutTimeout(t *testing.T) {
	convey.Convey("An origin is kept for as long as its call may last", t, func() {
		f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
		route := &routing.Route{Kind: routing.Stream, Resumable: true, Objective: time.Second}
		c := newCall(time.Now(), RequestMeta{ID: "r1"}, route, "s", httptest.NewRequest(http.MethodPost, "/stream/x", nil), nil)
		c.softwareVersion = "v1"
		f.recordOrigin(c.start, c, newTargetState(c.start, target.Replica{ID: "t1"}, &targetNotice{}, nil))
		_, until, ok := f.origins.known.Origin(c.start, streams.KeyOf("r1"))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(until, convey.ShouldHappenOnOrAfter, c.deadline)
	})
}

// TestOriginInOneZone guards against an origin that a single targetd keeps because there
// are fewer availability zones than copies.
func TestOriginInOneZone(t *testing.T) {
	convey.Convey("In a single zone, an origin has as many copies as in several", t, func() {
		tg := newTestGateway(t)
		for _, id := range []string{"t1", "t2", "t3", "t4"} {
			tg.list(newVersionedTarget(t, id, "a", "v1", 2))
			connectTargetd(t.Context(), t, tg, id, newTargetd(t, id), "e1")
		}
		convey.So(tg.call(t, "/stream/x", "Id", "r1").truncated, convey.ShouldBeTrue)
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		convey.So(len(tg.fleet.origins.own[streams.KeyOf("r1")].sentTo), convey.ShouldEqual, originCopies)
	})
}

// TestTakeUpAtLeavingTargets guards against a stream that is given up while all targets of
// its version leave, although they accept requests for the drain time.
func TestTakeUpAtLeavingTargets(t *testing.T) {
	convey.Convey("A stream goes on at targets of its version that have just begun to leave", t, func() {
		tg := newTestGateway(t)
		old := []versionedTarget{newVersionedTarget(t, "t1", "a", "v1", 2), newVersionedTarget(t, "t2", "a", "v1", 0), newVersionedTarget(t, "t3", "a", "v1", 0)}
		tg.list(old[0])
		convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
		tg.list(old[1], old[2], newVersionedTarget(t, "t4", "a", "v2", 0))
		tg.fleet.mu.Lock()
		for _, vt := range old {
			r := vt.replica()
			r.State = target.Leaving
			tg.fleet.upsert(time.Now(), r)
		}
		tg.fleet.mu.Unlock()
		tg.prefer("t2")
		got := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
		convey.So(got.body, convey.ShouldEqual, versionedEvents("v1", 3, lastPiece))
	})
}

// TestTakeUpAtServiceWithoutShare guards against a stream that is taken up at a service to
// which its route leads no requests any more.
func TestTakeUpAtServiceWithoutShare(t *testing.T) {
	convey.Convey("A stream goes on only at a service with a share of its route", t, func() {
		tg, now := newTestGateway(t), time.Now()
		tg.fleet.origins.known.Record(now, streams.KeyOf("r1"), streams.Origin{Service: "old", Version: "v1"}, now.Add(time.Minute))
		route := routing.Route{Kind: routing.Stream, Objective: time.Second}
		for weight, want := range map[float64]string{0: reasonVersionGone, 1: ""} {
			route.Shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "old", Weight: weight}}
			_, reason := tg.gateway.findOrigin(t.Context(), now, &route, RequestMeta{ID: "r2", LastEventID: "2", StreamID: "r1"})
			convey.So(reason, convey.ShouldEqual, want)
		}
	})
}
