package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestTruncatedHeads guards against a head that is cut and taken as a complete one,
// whose body is empty or ends with the connection.
func TestTruncatedHeads(t *testing.T) {
	status, id := "HTTP/1.1 200 OK\r\n", "Test-Id: 1\r\n"
	tests := []struct{ name, head string }{
		{"length", status + id + "Content-Length: 12\r\n\r\n"},
		{"length first", status + "Content-Length: 12\r\n" + id + "\r\n"},
		{"chunks", status + id + "Transfer-Encoding: chunked\r\n\r\n"},
		{"neither", status + id + "Content-Type: text/event-stream\r\n\r\n"},
		{"bare line feeds", strings.ReplaceAll(status+id+"\r\n", "\r\n", "\n")},
		{"mixed line ends", "HTTP/1.1 200 OK\nTest-Id: 1\n\r\n"},
		{"continued line", status + id + "X: a\r\n b\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + id + "\r\n"},
		{"after an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + status + id + "\r\n"},
		{"after a response to another request", "HTTP/1.1 503 X\r\nTest-Id: 0\r\nContent-Length: 2\r\n\r\nno" + status + id + "\r\n"},
	}
	convey.Convey("A head that is cut at any byte yields no response", t, func() {
		for _, test := range tests {
			for n := range test.head {
				convey.Convey(fmt.Sprintf("%s, %d bytes", test.name, n), func() {
					s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return test.head[:n], false })
					_, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
					convey.So(err, convey.ShouldNotBeNil)
					convey.So(WasSent(err), convey.ShouldBeTrue)
				})
			}
		}
	})
}
