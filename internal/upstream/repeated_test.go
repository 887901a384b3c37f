package upstream

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// refusalText is a refusal with additional header lines.
func refusalText(headers string) string {
	return "HTTP/1.1 503 X\r\n" + headers + "Content-Length: 2\r\n\r\nno"
}

// TestUnidentifiedResponses guards against a response of an earlier request that is
// written once more without its id and taken as that of the current request.
func TestUnidentifiedResponses(t *testing.T) {
	own := responseText("1", "own")
	tests := []struct {
		name, id, text string
		status         int // zero for an error
	}{
		{"refusal without an id", "1", refusalText(""), 0},
		{"refusal with an empty id", "1", refusalText("Test-Id: \r\n"), 0},
		{"refusal without an id before the response", "1", refusalText("") + own, 0},
		{"421 without an id", "1", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n" + own, 0},
		{"refusal without an id after an informational response", "1", "HTTP/1.1 100 Continue\r\n\r\n" + refusalText("") + own, 0},
		{"refusal without an id whose body ends with the connection", "1", "HTTP/1.1 503 X\r\n\r\nno", 0},
		{"refusal of another request", "1", refusalText("Test-Id: 0\r\n"), 0},
		{"refusal of another request before the response", "1", refusalText("Test-Id: 0\r\n") + own, 200},
		{"response to another request without a request id", "", refusalText("Test-Id: 0\r\n") + own, 0},
		{"response without an id to a request without one", "", refusalText(""), 503},
	}
	convey.Convey("A response that does not name the request is not its response", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return test.text, false })
				c := New(identify)
				resp, err := c.Do(context.Background(), s.addr, newGetRequest(test.id))
				if test.status == 0 {
					convey.So(err, convey.ShouldNotBeNil)
					convey.So(WasSent(err), convey.ShouldBeTrue)
					convey.So(len(c.idle[s.addr]), convey.ShouldEqual, 0)
					return
				}
				convey.So(err, convey.ShouldBeNil)
				defer resp.Close()
				convey.So(resp.Status, convey.ShouldEqual, test.status)
			})
		}
	})
	echo := func(_ int, r *http.Request) (string, bool) { return responseText(r.Header.Get(idHeader), "own"), true }
	convey.Convey("A request without an id is not sent over a connection that served another one", t, func() {
		s := newFakeTarget(t, echo)
		c := New(identify)
		for _, id := range []string{"1", "", ""} {
			_, err := fetch(c, s.addr, newGetRequest(id))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 3)
	})
	convey.Convey("A request id is sent once over a connection", t, func() {
		s := newFakeTarget(t, echo)
		c := New(identify)
		for range 3 {
			_, err := fetch(c, s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 3)
		convey.Convey("and the connections are reused for other ids", func() {
			for i := range 4 {
				_, err := fetch(c, s.addr, newGetRequest(fmt.Sprint("other", i)))
				convey.So(err, convey.ShouldBeNil)
			}
			convey.So(s.conns.Load(), convey.ShouldEqual, 3)
		})
	})
	convey.Convey("An id that was sent over one connection is sent over another one that is idle", t, func() {
		s := newFakeTarget(t, echo)
		c := New(identify)
		first, err := c.Do(context.Background(), s.addr, newGetRequest("1"))
		convey.So(err, convey.ShouldBeNil)
		for _, id := range []string{"2", "1"} {
			_, err := fetch(c, s.addr, newGetRequest(id))
			convey.So(err, convey.ShouldBeNil)
		}
		first.Close()
		convey.So(s.conns.Load(), convey.ShouldEqual, 2)
	})
	convey.Convey("A connection is not reused after maxRequests requests", t, func() {
		s := newFakeTarget(t, echo)
		c := New(identify)
		for i := range 2 * maxRequests {
			_, err := fetch(c, s.addr, newGetRequest(fmt.Sprint(i)))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 2)
	})
}
