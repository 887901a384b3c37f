package upstream

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestInvalidStatus guards against a status that net/http parses and HTTP does not
// define: one below 100 was skipped as informational and its body parsed as the next
// response, and one above 599 was returned.
func TestInvalidStatus(t *testing.T) {
	body := responseText("1", "text of a body")
	texts := []struct{ name, headers, body string }{
		{"no body", "", ""},
		{"empty body", "Content-Length: 0\r\n", ""},
		{"body that looks like the response", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		{"body of unknown length that looks like the response", "", body},
		{"chunks that look like the response", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
	}
	convey.Convey("A response with an invalid status ends the attempt of a request that may have run", t, func() {
		for _, status := range []string{"000", "001", "099", "+12", "-00", "600", "999", "101"} {
			for _, text := range texts {
				for _, id := range []string{"Test-Id: 1\r\n", ""} {
					convey.Convey(fmt.Sprintf("%s, %s, %q", status, text.name, id), func() {
						s := newFakeTarget(t, func(int, *http.Request) (string, bool) {
							return "HTTP/1.1 " + status + " X\r\n" + id + text.headers + "\r\n" + text.body, true
						})
						ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
						defer cancel()
						c := New(identify)
						resp, err := c.Do(ctx, s.addr, newGetRequest("1"))
						if err == nil {
							resp.Close()
						}
						convey.So(err, convey.ShouldNotBeNil)
						convey.So(WasSent(err), convey.ShouldBeTrue)
						convey.So(ctx.Err(), convey.ShouldBeNil)
						convey.So(len(c.idle[s.addr]), convey.ShouldEqual, 0)
					})
				}
			}
		}
	})
	convey.Convey("An informational response with a body ends the attempt, as the body is not the next response", t, func() {
		for _, headers := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(body)), "Transfer-Encoding: chunked\r\n"} {
			s := newFakeTarget(t, func(int, *http.Request) (string, bool) {
				return "HTTP/1.1 103 Early Hints\r\n" + headers + "\r\n" + body, true
			})
			resp, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
			if err == nil {
				resp.Close()
			}
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(WasSent(err), convey.ShouldBeTrue)
		}
	})
	convey.Convey("The statuses at the limits of HTTP are valid", t, func() {
		for _, status := range []int{200, 299, 300, 400, 599} {
			s := newFakeTarget(t, func(int, *http.Request) (string, bool) {
				return fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 %d X\r\nTest-Id: 1\r\nContent-Length: 0\r\n\r\n", status), true
			})
			resp, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.Status, convey.ShouldEqual, status)
			resp.Close()
		}
	})
}
