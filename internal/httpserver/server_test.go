package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/smartystreets/goconvey/convey"
)

// largeBodyBytes exceeds the capacity of the socket buffers.
const largeBodyBytes = 64 << 20

func TestBusy(t *testing.T) {
	convey.Convey("Given a server whose handler has returned a response that the caller does not read", t, func() {
		srv, addr := startServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		resp, err := client.Get("http://" + addr + "/big")
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("the connection is busy until the response is read, and idle afterwards although it stays open", func() {
			convey.So(srv.Busy(), convey.ShouldEqual, 1)
			srv.Shutdown(time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			convey.So(srv.Busy(), convey.ShouldEqual, 1)
			n, err := io.Copy(io.Discard, resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(n, convey.ShouldEqual, largeBodyBytes)
			convey.So(waitUntilIdle(srv), convey.ShouldBeTrue)
		})
	})
}

func TestDisableKeepAlives(t *testing.T) {
	convey.Convey("Given a caller with a keep-alive connection", t, func() {
		srv, addr := startServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		resp, err := client.Get("http://" + addr + "/healthz")
		convey.So(err, convey.ShouldBeNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		convey.So(resp.Close, convey.ShouldBeFalse)
		convey.So(waitUntilIdle(srv), convey.ShouldBeTrue)
		convey.Convey("after DisableKeepAlives the next response is complete and closes the connection", func() {
			srv.DisableKeepAlives()
			resp, err := client.Get("http://" + addr + "/healthz")
			convey.So(err, convey.ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(body), convey.ShouldEqual, "ok\n")
			convey.So(resp.Close, convey.ShouldBeTrue)
		})
	})
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	addr := freeAddr(t)
	srv, err := New(Options{Address: addr, Ready: func() bool { return true }, CancelOnDisconnect: true})
	if err != nil {
		t.Fatal(err)
	}
	srv.Hertz.GET("/big", func(_ context.Context, rc *app.RequestContext) {
		rc.Data(200, "application/octet-stream", make([]byte, largeBodyBytes))
	})
	go func() { _ = srv.Run() }()
	t.Cleanup(func() { srv.Shutdown(time.Millisecond) })
	for range 100 {
		resp, err := http.Get("http://" + addr.String() + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	http.DefaultClient.CloseIdleConnections()
	return srv, addr.String()
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func waitUntilIdle(srv *Server) bool {
	for range 200 {
		if srv.Busy() == 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
