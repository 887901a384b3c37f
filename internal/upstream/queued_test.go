package upstream

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/socket"
)

// TestQueued guards against queues that grow beyond the buffers, and against connections
// whose request has ended and that are still counted.
func TestQueued(t *testing.T) {
	convey.Convey("Queues are counted for the owner of a request until it ends", t, func() {
		s := newFakeTarget(t, func(_ int, r *http.Request) (string, bool) {
			n := 1 << 20
			if r.Header.Get(idHeader) == "short" {
				n = 1
			}
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, r.Header.Get(idHeader), n, strings.Repeat("x", n)), true
		})
		c := New(identify)
		const size = 32 << 10
		c.LimitBuffers(socket.Buffers{Receive: size, Send: size})
		long := newGetRequest("long")
		long.Owner = 7
		resp, err := c.Do(context.Background(), s.addr, long)
		convey.So(err, convey.ShouldBeNil)
		for i := 0; i < 100 && c.Queued()[7] == 0; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		convey.So(c.Queued()[7], convey.ShouldBeGreaterThan, 0)
		convey.So(c.Queued()[7], convey.ShouldBeLessThanOrEqualTo, 2*size)
		resp.Close()
		convey.So(c.Queued(), convey.ShouldBeEmpty)

		_, err = fetch(c, s.addr, newGetRequest("short")) // its connection is kept
		convey.So(err, convey.ShouldBeNil)
		convey.So(c.Queued(), convey.ShouldBeEmpty)

		broken := newFakeTarget(t, func(int, *http.Request) (string, bool) { return "", false })
		_, err = c.Do(context.Background(), broken.addr, newGetRequest("1"))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(c.Queued(), convey.ShouldBeEmpty)
	})
}
