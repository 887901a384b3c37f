package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestClosedResponses guards against responses that end with their connection and are
// cut, or relayed without a framing that shows their end.
func TestClosedResponses(t *testing.T) {
	plain := "Signed: yes\r\n\r\n"
	reset := func(text string) step {
		return func(c net.Conn, r *http.Request) bool {
			return resetAfter(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text))(c, r)
		}
	}
	version10 := func(text string) step {
		return func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text)
			return false
		}
	}
	tests := []struct {
		name, path string
		first      step
		status     int
		body       string
		truncated  bool
		runs       int
	}{
		{"plain", "/unsafe/x", closeAfter(plain + "whole"), 200, "whole", false, 1},
		{"plain, empty", "/unsafe/x", closeAfter(plain), 200, "", false, 1},
		{"plain, HTTP/1.0", "/unsafe/x", version10(plain + "whole"), 200, "whole", false, 1},
		{"plain, HTTP/1.0 with a length, cut", "/unsafe/x", version10("Content-Length: 9\r\n" + plain + "half"), 502, "", false, 1},
		{"plain, reset", "/unsafe/x", reset(plain + "half"), 502, "", false, 1},
		{"plain, reset, idempotent", "/safe/x", reset(plain + "half"), 200, "good", false, 2},
		{"stream", "/once/x", closeAfter(closedStream + events(1, 3)), 200, events(1, 3), false, 1},
		{"stream, HTTP/1.0", "/once/x", version10(closedStream + events(1, 3)), 200, events(1, 3), false, 1},
		{"stream, reset after an event", "/once/x", reset(closedStream + events(1, 3)), 200, events(1, 3), true, 1},
		{"stream, cut in an event", "/once/x", closeAfter(closedStream + events(1, 3) + "id: 4\ndata: half"), 200, events(1, 3), true, 1},
		{"stream, cut in the end of an event", "/once/x", closeAfter(closedStream + events(1, 3) + "id: 4\r\ndata: half\r\n\r"), 200, events(1, 3), true, 1},
		{"stream, cut before an event", "/once/x", closeAfter(closedStream), 502, "", false, 1},
		{"stream, cut in an event, resumable", "/stream/x", closeAfter(closedStream + events(1, 3) + "id: 4\ndata: half"), 200, events(1, 5), false, 2},
		{"stream, reset, resumable", "/stream/x", reset(closedStream + events(1, 3)), 200, events(1, 5), false, 2},
	}
	convey.Convey("A response that ends with its connection is whole unless the connection breaks off", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				n := 0
				scripted := func(c net.Conn, r *http.Request) bool {
					n++
					if n == 1 {
						return test.first(c, r)
					}
					if test.path == "/safe/x" {
						return respond(200, "good", signed)(c, r)
					}
					return closeAfter(closedStream+events(4, 5))(c, r)
				}
				a, b := newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted)
				tg := newTestGateway(t, a, b)
				got := tg.call(t, test.path)
				convey.So(got.status, convey.ShouldEqual, test.status)
				convey.So(got.body, convey.ShouldEqual, test.body)
				convey.So(got.truncated, convey.ShouldEqual, test.truncated)
				convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, test.runs)
				convey.So(got.framed, convey.ShouldBeTrue)
			})
		}
	})
}
