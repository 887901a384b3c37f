package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/adapter"
)

var testAdapter = adapter.ID{Team: "t", Ref: adapter.Ref{Name: "a", Version: 2}}

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(netip.MustParseAddrPort(srv.Listener.Addr().String()), 7)
}

func statusHandler(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestOrders(t *testing.T) {
	convey.Convey("Orders carry the epoch as fencing token, and refusals map to distinct error kinds", t, func() {
		var body []byte
		c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { body, _ = io.ReadAll(r.Body) })
		convey.So(c.Load(context.Background(), testAdapter), convey.ShouldBeNil)
		convey.So(string(body), convey.ShouldEqual, `{"order":"load","adapter":"t/a@2","fence":7}`)
		convey.So(c.Unload(context.Background(), testAdapter), convey.ShouldBeNil)
		convey.So(string(body), convey.ShouldEqual, `{"order":"unload","adapter":"t/a@2","fence":7}`)
		for code, kind := range map[int]Kind{412: Fenced, 503: Unavailable, 507: Refused} {
			convey.So(IsKind(newTestClient(t, statusHandler(code)).Load(context.Background(), testAdapter), kind), convey.ShouldBeTrue)
		}
	})
}

func TestState(t *testing.T) {
	convey.Convey("A state response is decoded, and malformed JSON is an error", t, func() {
		body := `{"boot":2,"fence":9,"running":1,"loaded":["t/a@2"]}`
		c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		s, err := c.State(context.Background())
		convey.So(err, convey.ShouldBeNil)
		convey.So(s, convey.ShouldResemble, State{BootID: 2, FencingToken: 9, Running: 1, Loaded: []string{"t/a@2"}})
		body = "{"
		_, err = c.State(context.Background())
		convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
	})
}

func TestRun(t *testing.T) {
	request := Request{ID: "r", Method: "POST", Path: "/v1/completions", Body: []byte("{}"), NeedsAdapter: true}
	kindOf := func(c *Client, r Request) Kind {
		_, err := c.Run(context.Background(), r)
		for k := range kindNames {
			if IsKind(err, k) {
				return k
			}
		}
		return 0
	}
	convey.Convey("NotStarted and NotResident are returned only if the request certainly did not run", t, func() {
		convey.So(kindOf(newTestClient(t, statusHandler(409)), request), convey.ShouldEqual, NotResident)
		convey.So(kindOf(newTestClient(t, statusHandler(503)), request), convey.ShouldEqual, NotStarted)
		convey.So(kindOf(newTestClient(t, statusHandler(500)), request), convey.ShouldEqual, 0)
		plain := request
		plain.NeedsAdapter = false
		convey.So(kindOf(newTestClient(t, statusHandler(503)), plain), convey.ShouldEqual, 0)
		closeConn := func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		}
		convey.So(kindOf(newTestClient(t, closeConn), request), convey.ShouldEqual, Uncertain)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		addr := netip.MustParseAddrPort(ln.Addr().String())
		_ = ln.Close()
		convey.So(kindOf(New(addr, 1), request), convey.ShouldEqual, NotStarted)
	})
	convey.Convey("A request is not resent after the server has closed a reused connection", t, func() {
		var runs atomic.Int32
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				return
			}
			_, _ = io.ReadAll(r.Body)
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		})
		resp, err := c.Run(context.Background(), request)
		convey.So(err, convey.ShouldBeNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		convey.So(kindOf(c, request), convey.ShouldEqual, Uncertain)
		convey.So(runs.Load(), convey.ShouldEqual, 2)
	})
	convey.Convey("A truncated body is an error, and the end of the context aborts the call", t, func() {
		c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		})
		resp, err := c.Run(context.Background(), request)
		convey.So(err, convey.ShouldBeNil)
		_, err = io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldEqual, io.ErrUnexpectedEOF)

		cancelled := make(chan struct{})
		c = newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = c.Run(ctx, request)
		convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
		<-cancelled
	})
}

// FuzzState guards against a state report that makes its decoder panic.
func FuzzState(f *testing.F) {
	for _, s := range []string{`{"boot":1}`, `{"loaded":[""]}`, `{"boot":-1}`, "", "null"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeState(b) // must not panic
	})
}
