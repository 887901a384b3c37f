package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestInvalidStatusOfTarget guards against a status that is none of a response and is
// relayed to the caller, or is proof that the request has not run.
func TestInvalidStatusOfTarget(t *testing.T) {
	convey.Convey("A request that got an invalid status may have run", t, func() {
		for _, status := range []string{"000", "099", "+12", "101", "600", "999"} {
			for _, header := range []string{"Signed: yes\r\n", "Not-Run: yes\r\n", ""} {
				for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x"} {
					convey.Convey(fmt.Sprintf("%s with %q on %s", status, header, path), func() {
						runs := 0
						do := func(c net.Conn, r *http.Request) bool {
							if runs++; runs > 1 {
								return respond(200, "good", signed)(c, r)
							}
							_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nId: r1\r\n"+header+"Content-Length: 0\r\n\r\n")
							return true
						}
						a, b := newFakeTarget(t, "t1", do), newFakeTarget(t, "t2", do)
						tg := newTestGateway(t, a, b)
						got := tg.call(t, path)
						if path == "/safe/x" {
							convey.So(got.status, convey.ShouldEqual, 200)
							convey.So(got.body, convey.ShouldEqual, "good")
							convey.So(runs, convey.ShouldEqual, 2)
							return
						}
						convey.So(got.status, convey.ShouldEqual, 502)
						convey.So(runs, convey.ShouldEqual, 1)
					})
				}
			}
		}
	})
	convey.Convey("A status that callers take as proof that the request has not run is not relayed without one", t, func() {
		for _, status := range []int{408, 425, 429, 503} {
			convey.Convey(fmt.Sprint(status), func() {
				a := newFakeTarget(t, "t1", respond(status, "", signed))
				got := newTestGateway(t, a).call(t, "/unsafe/x")
				convey.So(got.status, convey.ShouldEqual, 502)
				convey.So(len(a.requests()), convey.ShouldEqual, 1)
			})
		}
	})
}
