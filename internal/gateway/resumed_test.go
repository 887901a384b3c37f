package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// closeAfter returns a step that writes the rest of a response from its header on
// and closes the connection.
func closeAfter(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text)
		return false
	}
}

const (
	eventStreamType = "Content-Type: text/event-stream"
	closedStream    = "Signed: yes\r\n" + eventStreamType + "\r\n\r\n" // head of a stream that ends with its connection
)

// TestResumedStream guards against bytes of the next target's response that are
// relayed within a started stream, or that end it as if it were complete.
func TestResumedStream(t *testing.T) {
	errorHead := "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\n"
	tests := []struct {
		name     string
		next     step
		complete bool
	}{
		{"200 without a stream", respond(200, "text", signed), false},
		{"500 with text", respond(500, "error text", signed), false},
		{"500 with text, unsigned", respond(500, "error text"), false},
		{"503 with proof", respond(503, "busy", "Not-Run: 1"), false},
		{"503 without proof", respond(503, "busy"), false},
		{"421 with proof", respond(421, "other", "Not-Run: 1"), false},
		{"429 with proof", respond(429, "busy", "Not-Run: 1"), false},
		{"429 without proof", respond(429, "busy"), false},
		{"400", respond(400, "bad", "Not-Run: 1"), false},
		{"stream, unsigned", respond(200, events(3, 4), eventStreamType), false},
		{"stream, re-encoded", respond(200, events(3, 4), signed, eventStreamType, "Content-Encoding: gzip"), false},
		{"stream of an error's text", respond(200, "error text", signed, eventStreamType), false},
		{"stream of an error's text and blank line", respond(200, "error text\r\n\r\n", signed, eventStreamType), false},
		{"stream of an error's head", respond(200, errorHead+"error", signed, eventStreamType), false},
		{"stream of an error's head and events", respond(200, errorHead+events(3, 4), signed, eventStreamType), false},
		{"closed stream of an error's head", closeAfter(closedStream + errorHead), false},
		{"empty stream in chunks", closeAfter("Transfer-Encoding: chunked\r\n" + closedStream + "0\r\n\r\n"), true},
		{"empty stream with a length", respond(200, "", signed, eventStreamType), true},
		{"empty closed stream", closeAfter(closedStream), false},
		{"closed stream of earlier events", closeAfter(closedStream + events(1, 2)), false},
		{"closed stream within an event", closeAfter(closedStream + "id: 3\ndata: piece 3\n"), false},
		{"head that is cut", closeAfter("Signed: yes\r\n" + eventStreamType + "\r\n\r"), false},
		{"head that is cut in a line", closeAfter("Signed: yes\r\nContent-Ty"), false},
	}
	convey.Convey("A started stream contains only events of its request, and ends as complete only if the last target ended it", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				n := 0
				scripted := func(c net.Conn, r *http.Request) bool {
					n++
					if n == 1 {
						return sendEvents(1, 2, false)(c, r)
					}
					return test.next(c, r)
				}
				tg := newTestGateway(t, newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted))
				got := tg.call(t, "/stream/x", "Deadline", "900")
				convey.So(got.body, convey.ShouldEqual, events(1, 2))
				convey.So(got.header.Get("Signed"), convey.ShouldEqual, "run-1")
				convey.So(got.truncated, convey.ShouldEqual, !test.complete)
			})
		}
	})
}

// TestResumeWithoutEventID guards against events that come twice because the stream
// was resumed although the last event has no id.
func TestResumeWithoutEventID(t *testing.T) {
	for _, text := range []string{"data: a\n\n", events(1, 2) + "data: a\n\n"} {
		convey.Convey(fmt.Sprintf("A stream that breaks off after %q is not resumed", text), t, func() {
			cut := func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1000\r\n%s%s", r.Header.Get("Id"), closedStream, text)
				return false
			}
			a, b := newFakeTarget(t, "t1", cut), newFakeTarget(t, "t2", cut)
			tg := newTestGateway(t, a, b)
			got := tg.call(t, "/stream/x")
			convey.So(got.body, convey.ShouldEqual, text)
			convey.So(got.truncated, convey.ShouldBeTrue)
			convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, 1)
		})
	}
}

// TestSafeEventsOfTwoRuns guards against an answer of a safe route that begins with the
// events of one run, goes on with those of another, and ends as complete.
func TestSafeEventsOfTwoRuns(t *testing.T) {
	convey.Convey("Given a target that breaks off an answer of events to a safe request", t, func() {
		for sent, want := range map[int]string{0: events(1, 4), 2: events(1, 2)} {
			convey.Convey(fmt.Sprintf("after %d events, another run follows only if the caller has none of them", sent), func() {
				first, second := newFakeTarget(t, "t1", sendEvents(1, sent, false)), newFakeTarget(t, "t2", sendEvents(1, 4, true))
				tg := newTestGateway(t, first, second)
				tg.prefer("t1")
				got := tg.call(t, "/safe/x")
				convey.So(got.body, convey.ShouldEqual, want)
				convey.So(got.truncated, convey.ShouldEqual, sent > 0)
				convey.So(len(second.requests()), convey.ShouldEqual, map[int]int{0: 1, 2: 0}[sent])
			})
		}
	})
}
