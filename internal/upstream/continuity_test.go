package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestContinuity guards against a target that ended between two connections, or while a
// connection was idle, and that counts as the same process.
func TestContinuity(t *testing.T) {
	convey.Convey("Given a target that responds to a request", t, func() {
		more, whole := true, true
		s := newFakeTarget(t, func(_ int, r *http.Request) (string, bool) {
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader))
			if !whole {
				return text[:len(text)-1], false
			}
			return text, more
		})
		c := New(identify)
		do := func(id string) error {
			req := newGetRequest(id)
			resp, err := c.Do(context.Background(), s.addr, req)
			if err != nil {
				return err
			}
			defer resp.Close()
			_, err = io.ReadAll(resp)
			return err
		}
		convey.So(c.Continuity(s.addr), convey.ShouldResemble, Continuity{})
		convey.So(do("1"), convey.ShouldBeNil)
		first := c.Continuity(s.addr)
		convey.So(first.Open, convey.ShouldBeTrue)
		convey.So(first.InterruptedAt.IsZero(), convey.ShouldBeTrue)
		convey.Convey("a further request over the connection continues the period", func() {
			convey.So(do("2"), convey.ShouldBeNil)
			convey.So(c.Continuity(s.addr), convey.ShouldResemble, first)
		})
		convey.Convey("a period ends with the last connection", func() {
			c.CloseExpired(time.Now().Add(idleTimeout))
			convey.So(c.Continuity(s.addr).Open, convey.ShouldBeFalse)
			convey.So(do("2"), convey.ShouldBeNil)
			second := c.Continuity(s.addr)
			convey.So(second.Open, convey.ShouldBeTrue)
			convey.So(second.Since, convey.ShouldHappenAfter, first.Since)
			convey.So(second.InterruptedAt.IsZero(), convey.ShouldBeTrue)
		})
		convey.Convey("a response that breaks off interrupts it", func() {
			whole = false
			convey.So(do("2"), convey.ShouldNotBeNil)
			broken := c.Continuity(s.addr)
			convey.So(broken.Open, convey.ShouldBeFalse)
			convey.So(broken.InterruptedAt, convey.ShouldHappenAfter, first.Since)
			convey.Convey("for some time", func() {
				c.CloseExpired(broken.InterruptedAt.Add(continuityRetention + 1))
				convey.So(c.Continuity(s.addr), convey.ShouldResemble, Continuity{})
			})
		})
		convey.Convey("a request that is given up does not interrupt it", func() {
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := c.Do(ctx, s.addr, newGetRequest("2"))
			convey.So(err, convey.ShouldBeNil)
			cancel()
			_, _ = io.ReadAll(resp) // may have arrived before
			resp.Close()
			convey.So(c.Continuity(s.addr).InterruptedAt.IsZero(), convey.ShouldBeTrue)
		})
		closeIdle := func(idle time.Duration) Continuity {
			more = false
			convey.So(do("2"), convey.ShouldBeNil) // the target closes the connection after it
			time.Sleep(50 * time.Millisecond)
			c.mu.Lock()
			for _, conn := range c.idle[s.addr] {
				conn.idleAt = time.Now().Add(-idle)
			}
			c.mu.Unlock()
			convey.So(do("3"), convey.ShouldBeNil)
			return c.Continuity(s.addr)
		}
		convey.Convey("a connection that the target closes right after a response interrupts it", func() {
			got := closeIdle(0)
			convey.So(got.Since, convey.ShouldHappenAfter, first.Since)
			convey.So(got.InterruptedAt, convey.ShouldHappenAfter, first.Since)
		})
		convey.Convey("a connection that the target closes after its idle timeout begins another period", func() {
			got := closeIdle(minIdleTimeout)
			convey.So(got.Since, convey.ShouldHappenAfter, first.Since)
			convey.So(got.InterruptedAt.IsZero(), convey.ShouldBeTrue)
		})
	})
}
