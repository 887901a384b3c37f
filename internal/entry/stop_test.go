package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/settings"
)

// blockingHandler counts the calls and blocks each until release is closed.
type blockingHandler struct {
	calls   atomic.Int32
	release chan struct{}
}

func (h *blockingHandler) Handle(context.Context, *Call, time.Time) Result {
	h.calls.Add(1)
	<-h.release
	return rejected(0, "released")
}

// TestRequestTakenLateInStop guards against a request on an open connection that is taken
// after a stopping entryd was removed from the load balancer, and cut when the process
// ends.
func TestRequestTakenLateInStop(t *testing.T) {
	convey.Convey("Given a stopping entryd with a call in progress and another open connection", t, func() {
		h := &blockingHandler{release: make(chan struct{})}
		e := New(Options{Log: event.Discard(), Scope: tally.NoopScope, StartWithin: time.Minute, MaxInProgress: 10})
		e.chain = chain(h, &e.stop)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		addr := ln.Addr().String()
		convey.So(ln.Close(), convey.ShouldBeNil)
		srv, err := httpserver.New(httpserver.Options{Address: netip.MustParseAddrPort(addr), Ready: func() bool { return true }, MaxBodyBytes: 1000})
		convey.So(err, convey.ShouldBeNil)
		e.Register(srv.Hertz)
		go func() { _ = srv.Run() }()
		dial := func() net.Conn {
			for range 100 {
				if c, err := net.Dial("tcp", addr); err == nil {
					return c
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Fatal("the server does not start")
			return nil
		}
		send := func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "POST /services/fees/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1")
		}
		busy, late := dial(), dial()
		send(busy)
		for h.calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		stopped := make(chan error, 1)
		s := settings.Entry{}
		s.UnreadyFor, s.StopTimeout = 50*time.Millisecond, 5*time.Second
		go func() { stopped <- stop(s, e, srv, nil, event.Discard()) }()
		for {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				break // the listener is closed
			}
			_ = c.Close()
			time.Sleep(5 * time.Millisecond)
		}
		send(late)
		_ = late.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(late), nil)
		convey.So(err, convey.ShouldBeNil)
		_ = resp.Body.Close()
		convey.So(resp.StatusCode, convey.ShouldEqual, 503)
		convey.So(resp.Header.Get("X-Outcome"), convey.ShouldEqual, "not_run")
		convey.So(resp.Header.Get("Retry-After"), convey.ShouldEqual, "1")
		convey.So(resp.Close, convey.ShouldBeTrue)
		convey.So(h.calls.Load(), convey.ShouldEqual, 1)
		close(h.release)
		convey.So(<-stopped, convey.ShouldBeNil)
	})
}
