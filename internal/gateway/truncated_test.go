package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestTruncatedHead guards against a target that stops within its response's head and
// whose response is relayed as a whole one.
func TestTruncatedHead(t *testing.T) {
	tests := []struct{ path, head string }{
		{"/unsafe/x", "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n\r\n"},
		{"/unsafe/x", "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 12\r\n\r\n"},
		{"/once/x", "HTTP/1.1 200 OK\r\nId: r1\r\n" + closedStream},
	}
	convey.Convey("A request whose response's head is cut at any byte may have run", t, func() {
		for _, test := range tests {
			for n := range test.head {
				convey.Convey(fmt.Sprintf("%d bytes of %q on %s", n, test.head, test.path), func() {
					cut := func(c net.Conn, _ *http.Request) bool {
						_, _ = io.WriteString(c, test.head[:n])
						return false
					}
					a, b := newFakeTarget(t, "t1", cut), newFakeTarget(t, "t2", cut)
					tg := newTestGateway(t, a, b)
					got := tg.call(t, test.path)
					convey.So(got.status, convey.ShouldEqual, 502)
					convey.So(got.body, convey.ShouldBeEmpty)
					convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, 1)
				})
			}
		}
	})
}
