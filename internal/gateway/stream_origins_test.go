package gateway

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/streams"
)

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

// TestOriginWithoutTimeout guards against an origin that expires while its stream goes on
// because neither the caller nor the route limits the stream's time.
func TestOriginWithoutTimeout(t *testing.T) {
	convey.Convey("An origin is kept for as long as its call may last", t, func() {
		f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
		route := &routing.Route{Kind: routing.Stream, Resumable: true, Objective: time.Second}
		c := newCall(time.Now(), RequestMeta{ID: "r1"}, route, "s", httptest.NewRequest(http.MethodPost, "/stream/x", nil), nil)
		c.version = "v1"
		f.recordOrigin(c.start, c)
		_, until, ok := f.origins.known.Origin(c.start, streams.KeyOf("r1"))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(until, convey.ShouldHappenOnOrAfter, c.deadline)
	})
}
