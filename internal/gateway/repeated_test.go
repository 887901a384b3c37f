package gateway

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// thenRespond returns a step that writes text before a complete response.
func thenRespond(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return respond(200, "own", signed)(c, r)
	}
}

// TestRepeatedRefusal guards against the refusal of an earlier request that is
// written once more and taken as proof that the current request has not run.
func TestRepeatedRefusal(t *testing.T) {
	tests := []struct {
		name, text string
		status     int
	}{
		{"refusal without an id", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"421 without an id", "HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"429 without an id", "HTTP/1.1 429 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"400 without an id", "HTTP/1.1 400 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 502},
		{"refusal of another request", "HTTP/1.1 503 X\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 200},
	}
	convey.Convey("A request that a target runs is not reported as refused, and runs once", t, func() {
		for _, test := range tests {
			for _, path := range []string{"/unsafe/x", "/once/x"} {
				convey.Convey(test.name+" on "+path, func() {
					var runs atomic.Int32
					first, repeat := respond(200, "own", signed), thenRespond(test.text)
					kept := func(c net.Conn, r *http.Request) bool {
						if r.Header.Get("Id") == "r0" {
							return first(c, r)
						}
						runs.Add(1)
						return repeat(c, r)
					}
					tg := newTestGateway(t, newFakeTarget(t, "t1", kept), newFakeTarget(t, "t2", kept))
					for range 8 { // keeps connections to both targets
						convey.So(tg.call(t, path, "Id", "r0").status, convey.ShouldEqual, 200)
					}
					convey.So(tg.call(t, path).status, convey.ShouldEqual, test.status)
					convey.So(runs.Load(), convey.ShouldEqual, 1)
				})
			}
		}
	})
}

// TestRefusalRepeatedToItsRequest guards against a refusal that a target repeats when
// the same request comes back to it over the same connection and runs.
func TestRefusalRepeatedToItsRequest(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, path := range []string{"/unsafe/x", "/once/x"} {
		convey.Convey("A request that comes back to the target that refused it uses a new connection on "+path, t, func() {
			var first atomic.Value // address of the gateway's end of the first connection
			var runs atomic.Int32
			tg := newTestGateway(t, newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
				peer := c.RemoteAddr().String()
				if first.CompareAndSwap(nil, peer) {
					_, _ = io.WriteString(c, refusal)
					return true
				}
				runs.Add(1)
				if first.Load() == peer {
					return thenRespond(refusal)(c, r)
				}
				return respond(200, "own", signed)(c, r)
			}))
			got := tg.call(t, path)
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(runs.Load(), convey.ShouldEqual, 1)
		})
	}
}

// TestRefusalBeforeResponse guards against a refusal that is followed by the response
// to the same request.
func TestRefusalBeforeResponse(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/once/x"} {
		convey.Convey("A refusal with bytes after it proves nothing on "+path, t, func() {
			var runs atomic.Int32
			contradict := func(c net.Conn, r *http.Request) bool {
				runs.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"+
					"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nown")
				return true
			}
			tg := newTestGateway(t, newFakeTarget(t, "t1", contradict), newFakeTarget(t, "t2", contradict))
			convey.So(tg.call(t, path).status, convey.ShouldEqual, 502)
			convey.So(runs.Load(), convey.ShouldEqual, 1)
		})
	}
}

// TestContradictoryRefusal guards against a success that is taken as a refusal because
// the head of one runs into its own.
func TestContradictoryRefusal(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/once/x"} {
		convey.Convey("A success that is marked as not run is no proof on "+path, t, func() {
			var runs atomic.Int32
			contradict := func(c net.Conn, r *http.Request) bool {
				runs.Add(1)
				return respond(200, "", "Signed: yHTTP/1.1 503 X", "Not-Run: 1")(c, r)
			}
			tg := newTestGateway(t, newFakeTarget(t, "t1", contradict), newFakeTarget(t, "t2", contradict))
			convey.So(tg.call(t, path).status, convey.ShouldEqual, 502)
			convey.So(runs.Load(), convey.ShouldEqual, 1)
		})
	}
}

// TestRefusalLog checks that the log of a refusal tells whether it may be one of an
// earlier request on the connection.
func TestRefusalLog(t *testing.T) {
	convey.Convey("The log of a refusal has the earlier requests and responses on its connection", t, func() {
		ft := newFakeTarget(t, "t1",
			respond(200, "own", signed),
			func(c net.Conn, r *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return respond(503, "", "Not-Run: 1")(c, r)
			},
			respond(200, "own", signed))
		tg := newTestGateway(t, ft)
		convey.So(tg.call(t, "/unsafe/x", "Id", "r0").status, convey.ShouldEqual, 200)
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		convey.So(tg.logText(), convey.ShouldContainSubstring, `"outcome":"refused","status":503,"earlier":1,"skipped":1,`)
	})
}
