package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// answeringTargetd starts a targetd that reports the first start of its engine, and the
// given one before it answers a request for an origin. It connects the gateway to it.
func answeringTargetd(t *testing.T, tg *testGateway, id string, started int64) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer.AnnounceOrigins(w.Header())
		c, err := peer.Accept(w, r, peer.Identity{Name: id, Role: "targetd"}, peer.Key("k"))
		if err != nil {
			return
		}
		state := func(started int64) {
			_, _ = c.Send(peer.EngineState{Instance: id, Started: started, Reachable: true, Models: []string{"m"}})
		}
		state(1)
		_ = c.Run(r.Context(), func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
			if m, ok := m.(peer.OriginRequest); ok {
				time.Sleep(50 * time.Millisecond) // the network
				state(started)
				_, _ = c.Send(peer.OriginAnswer{Stream: m.Stream})
			}
		}) // ends with the test
	}))
	t.Cleanup(srv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := peer.Dialer{Self: peer.Identity{Name: "e1", Role: "entryd"}, Key: peer.Key("k"), Client: &http.Client{}}
	c, err := d.Dial(ctx, netip.MustParseAddrPort(srv.Listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	tc := &targetdConns{ctx: ctx, fleet: tg.fleet, log: event.Discard(), onEngineDown: func(time.Time, string) {}}
	ts := tg.fleet.targets[id]
	go func() { _ = tc.serve(ctx, ts, id, c) }() // ends with the test
	connected := func() bool {
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		return ts.state.Reachable
	}
	if !eventually(connected) {
		t.Fatal("no state of the engine arrives")
	}
}

// TestTakeUpAfterStandstill guards against a stream that is taken up at an entryd which stood
// still, or was cut off, while a target started again with another version, and goes on
// there by reports that were sent before.
func TestTakeUpAfterStandstill(t *testing.T) {
	for _, test := range []struct {
		name      string
		started   int64  // of the engine when the entryd goes on
		version   string // of the target when the entryd goes on
		continues bool
	}{
		{"the target started again", 2, "v2", false},
		{"the target runs on", 1, "v1", true},
	} {
		convey.Convey("A stream that began at another target: "+test.name, t, func() {
			tg := newTestGateway(t)
			tg.list(newVersionedTarget(t, "t1", "a", "v1", 2))
			answeringTargetd(t, tg, "t1", 1)
			convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
			next := newVersionedTarget(t, "t2", "a", test.version, 0)
			next.version = "v1" // of its entry
			tg.list(next)
			answeringTargetd(t, tg, "t2", test.started)
			tg.prefer("t2")
			tg.fleet.mu.Lock()
			tg.fleet.targets["t2"].lastMessageAt = time.Now().Add(-1900 * time.Millisecond)
			tg.fleet.mu.Unlock()
			tg.fleet.recordMessage(time.Now(), tg.fleet.targets["t2"]) // sent before the standstill
			got := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
			if test.continues {
				convey.So(got.body, convey.ShouldEqual, versionedEvents("v1", 3, lastPiece))
				return
			}
			convey.So(got.body, convey.ShouldNotContainSubstring, "v2")
		})
	}
}

// TestVersionByOutdatedEntry guards against the version in the entry of a target without a
// targetd that an entryd has not read again for longer than usual.
func TestVersionByOutdatedEntry(t *testing.T) {
	convey.Convey("The version in an entry is used while the entries are up to date", t, func() {
		now := time.Now()
		tg := newTestGateway(t)
		tg.list(newVersionedTarget(t, "t1", "a", "v1", 0))
		t1 := tg.fleet.targets["t1"]
		(&replicaSink{fleet: tg.fleet}).AsOf(now)
		usual := 4*time.Second + entryLatency
		convey.So(tg.fleet.softwareVersion(now.Add(usual), t1), convey.ShouldEqual, "v1")
		convey.So(tg.fleet.softwareVersion(now.Add(usual+1), t1), convey.ShouldBeEmpty)
		(&replicaSink{fleet: tg.fleet}).AsOf(now.Add(usual))
		convey.So(tg.fleet.softwareVersion(now.Add(usual+1), t1), convey.ShouldEqual, "v1")
	})
}
