package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestCallerHeadMemory guards against callers' heads whose memory is in no limit.
func TestCallerHeadMemory(t *testing.T) {
	long := strings.Repeat("X-More: x\r\n", 300)
	request := func(id, more, body string) string {
		return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
	}
	newServer := func(limit int64) (*testCallerServer, *fakeTarget) {
		ft := newFakeTarget(t, "t1", respond(200, "ok", signed))
		tg := newTestGateway(t, ft)
		tg.limitResponses(limit)
		return newCallerServerOf(t, tg), ft
	}
	lines := strings.Repeat("\n", 900) // a body of the longest size
	convey.Convey("A long head leases memory until the response, and a body none for its lines", t, func() {
		ts, _ := newServer(200 << 10)
		c := ts.dial(t)
		for i := range 3 {
			c.send(request(fmt.Sprint("r", i), long, lines))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
			convey.So(eventually(func() bool { return ts.responseBytes() == 0 }), convey.ShouldBeTrue)
		}
		c.send(request("r3", long, lines)[:2000])
		convey.So(eventually(func() bool { return ts.responseBytes() > 0 }), convey.ShouldBeTrue)
		_ = c.conn.Close()
		convey.So(eventually(func() bool { return ts.responseBytes() == 0 }), convey.ShouldBeTrue)
	})
	convey.Convey("A head without memory is rejected and does not run, and a short one is served", t, func() {
		ts, ft := newServer(20 << 10)
		c := ts.dial(t)
		c.send(request("r1", "", lines) + request("r2", "", lines)) // pipelined
		convey.So(c.receive().status, convey.ShouldEqual, 200)
		convey.So(c.receive().status, convey.ShouldEqual, 200)
		c.send(request("r3", long, "body"))
		got := c.receive()
		convey.So(got.status, convey.ShouldEqual, 503)
		convey.So(got.header.Get("Retry-After"), convey.ShouldEqual, "2")
		convey.So(len(ft.requests()), convey.ShouldEqual, 2)
		convey.So(eventually(func() bool { return ts.responseBytes() == 0 }), convey.ShouldBeTrue)
	})
	convey.Convey("A head of 100 KiB is rejected", t, func() {
		ts, ft := newServer(1 << 40)
		c := ts.dial(t)
		c.send(request("r1", strings.Repeat(long, 30), "body"))
		convey.So(c.receive().status, convey.ShouldEqual, 431)
		convey.So(len(ft.requests()), convey.ShouldEqual, 0)
	})
}
