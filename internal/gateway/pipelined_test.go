package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Connections were closed under a request that had been read together with the one
// before, or of which one byte had been.
func TestPipelinedRequestLost(t *testing.T) {
	convey.Convey("A request that was read before the response to the one before is answered", t, func() {
		release := make(chan struct{})
		good := respond(200, "good", signed)
		delayed := func(c net.Conn, r *http.Request) bool {
			<-release
			return good(c, r)
		}
		convey.Convey("when its head was read with that one", func() {
			ft := newFakeTarget(t, "t1", good, delayed)
			ts := newTestCallerServer(t, ft)
			c := ts.dial(t)
			c.send(requestText("/unsafe/x") + requestText("/unsafe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
			convey.So(eventually(func() bool { return len(ft.requests()) == 2 }), convey.ShouldBeTrue)
			time.Sleep(20 * time.Millisecond) // the server reads in the background
			convey.Convey("and the idle timeout passes", func() {
				ts.process.callers.closeExpired(time.Now().Add(time.Hour))
				close(release)
				convey.So(c.receive().status, convey.ShouldEqual, 200)
			})
			convey.Convey("and the process stops", func() {
				ended := ts.shutDown(5 * time.Second)
				time.Sleep(2 * drainInterval)
				close(release)
				convey.So(c.receive().status, convey.ShouldEqual, 200)
				<-ended
			})
		})
		for _, n := range []int{1, 20} {
			convey.Convey(map[int]string{1: "when its first byte was read", 20: "when part of its head was read"}[n], func() {
				ft := newFakeTarget(t, "t1", delayed, good)
				ts := newTestCallerServer(t, ft)
				c := ts.dial(t)
				text := requestText("/unsafe/x")
				if n == 1 {
					c.send(text)
					convey.So(eventually(func() bool { return len(ft.requests()) == 1 }), convey.ShouldBeTrue)
					c.send(text[:n])
				} else {
					c.send(text + text[:n])
				}
				time.Sleep(20 * time.Millisecond) // the server reads it
				close(release)
				convey.So(c.receive().status, convey.ShouldEqual, 200)
				time.Sleep(20 * time.Millisecond) // the server waits for the rest
				ts.process.callers.closeExpired(time.Now().Add(time.Hour))
				c.send(text[n:])
				convey.So(c.receive().status, convey.ShouldEqual, 200)
			})
		}
	})
}

// A connection on which part of a request's head had arrived after a response stayed
// open for ever.
func TestPartialHeadKeepsConnection(t *testing.T) {
	convey.Convey("A connection with less than a head is closed after headerTimeout", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "good", signed))
		ts := newTestCallerServer(t, ft)
		var callers []*testCaller
		for _, part := range []string{"P", "\r\n", "POST /"} {
			c := ts.dial(t)
			c.send(requestText("/unsafe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
			time.Sleep(20 * time.Millisecond) // the server waits for the next request
			c.send(part)
			callers = append(callers, c)
		}
		time.Sleep(headerTimeout + time.Second)
		for _, c := range callers {
			_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
			_, err := io.Copy(io.Discard, c.conn)
			convey.So(err, convey.ShouldBeNil) // the end of the connection
		}
	})
}
