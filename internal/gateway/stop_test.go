package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/target"
)

// shutDown begins the shutdown of the server with the given time left, and returns
// after the listener and the idle connections have been closed. The channel is closed
// when the shutdown has ended.
func (ts *testCallerServer) shutDown(left time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	idle := ts.dialIdle()
	ts.gateway.stopping.Store(true)
	go func() {
		defer close(ended)
		ts.process.shutDown(ts.ln, time.Now().Add(left))
	}()
	_, _ = idle.Read(make([]byte, 1))
	return ended
}

// dialIdle opens a connection on which no request is sent.
func (ts *testCallerServer) dialIdle() net.Conn {
	before := len(ts.process.callers.list())
	conn, err := net.Dial("tcp4", ts.addr)
	convey.So(err, convey.ShouldBeNil)
	convey.So(eventually(func() bool { return len(ts.process.callers.list()) > before }), convey.ShouldBeTrue)
	return conn
}

// A shutdown closed connections on which a request had begun to arrive. Requests that
// arrived that late were otherwise started, and cut by the exit of the process.
func TestRequestLostAtShutdown(t *testing.T) {
	convey.Convey("A request on an open connection is rejected during a shutdown and not run", t, func() {
		for _, m := range arrivalMoments {
			convey.Convey(m.name, func() {
				ft := newFakeTarget(t, "t1", respond(200, "good", signed))
				ts := newTestCallerServer(t, ft)
				c := ts.dial(t)
				finish := m.begin(ts, c)
				ended := ts.shutDown(5 * time.Second)
				finish()
				got := c.receive()
				convey.So(got.status, convey.ShouldEqual, 503)
				convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
				convey.So(got.header.Get("Connection"), convey.ShouldEqual, "close")
				convey.So(len(ft.requests()), convey.ShouldEqual, 1)
				<-ended
			})
		}
	})
}

// Requests that were in progress at the end of the stop timeout got no answer.
func TestRequestCutAtStopTimeout(t *testing.T) {
	convey.Convey("A request in progress at the end of the stop timeout is answered", t, func() {
		ft := newFakeTarget(t, "t1")
		ft.steps = []step{ft.hang()}
		ts := newTestCallerServer(t, ft)
		c := ts.dial(t)
		c.send(requestText("/unsafe/x"))
		convey.So(eventually(func() bool { return len(ft.requests()) == 1 }), convey.ShouldBeTrue)
		ended := ts.shutDown(200 * time.Millisecond)
		<-ended
		convey.So(len(ts.process.callers.list()), convey.ShouldEqual, 0)
		got := c.receive()
		convey.So(got.status, convey.ShouldEqual, 502)
		convey.So(got.header.Get("Connection"), convey.ShouldEqual, "close")
		convey.So(ts.logText(), convey.ShouldContainSubstring, `"reason":"stopping"`)
	})
}

// Requests that were read in time but waited were sent to a target right before the end of
// the stop timeout, and cut there although they may run only once.
func TestRequestSentAtStopTimeout(t *testing.T) {
	convey.Convey("Given a process that is stopping and a call that waits", t, func() {
		ft := newFakeTarget(t, "t1")
		ft.steps = []step{ft.hang()}
		ts := newTestCallerServer(t, ft)
		c := ts.dial(t)
		wait := func(d time.Duration) {
			ts.fleet.mu.Lock()
			defer ts.fleet.mu.Unlock()
			ts.fleet.recordBackoff(time.Now(), ts.fleet.targets["t1"], d)
		}
		stop := func(left time.Duration) { ts.gateway.beginStop(time.Now().Add(left + answerMargin)) }
		convey.Convey("it is rejected rather than sent too late to end", func() {
			wait(100 * time.Millisecond)
			stop(300 * time.Millisecond) // less than the wait and the objective
			c.send(requestText("/unsafe/x"))
			got := c.receive()
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
			convey.So(ts.logText(), convey.ShouldContainSubstring, `"reason":"stopping"`)
		})
		convey.Convey("it is sent if it can end in time, which requests to the service show", func() {
			ft.mu.Lock()
			ft.steps = []step{respond(200, "good", signed)}
			ft.mu.Unlock()
			ts.fleet.mu.Lock()
			ts.fleet.latencyOf("s").duration.Observe(10 * time.Millisecond)
			ts.fleet.mu.Unlock()
			wait(100 * time.Millisecond)
			stop(300 * time.Millisecond)
			c.send(requestText("/unsafe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
		})
		convey.Convey("a further attempt is not sent too late either", func() {
			ft.mu.Lock()
			ft.steps = []step{func(conn net.Conn, r *http.Request) bool {
				stop(100 * time.Millisecond)
				return respond(500, "bad", signed)(conn, r)
			}}
			ft.mu.Unlock()
			other := newFakeTarget(t, "t2", respond(200, "good", signed))
			ts.fleet.mu.Lock()
			ts.fleet.upsert(time.Now(), target.Replica{ID: "t2", Service: "s", Addr: other.addr, Zone: "a", Slots: 4, State: target.Live})
			ts.fleet.mu.Unlock()
			ts.prefer("t1")
			c.send(requestText("/safe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 500) // the target's response
			convey.So(len(other.requests()), convey.ShouldEqual, 0)
		})
	})
}

// Responses to requests that had begun before a stop left their connections open.
func TestResponseDuringStopKeepsConnection(t *testing.T) {
	convey.Convey("The response to a request that began before the stop closes its connection", t, func() {
		for _, test := range []struct{ name, path string }{{"whole", "/unsafe/x"}, {"stream", "/stream/x"}} {
			convey.Convey(test.name, func() {
				var ts *testCallerServer
				good := respond(200, "good", signed)
				if test.name == "stream" {
					good = sendEvents(1, 2, true)
				}
				ft := newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
					ts.gateway.stopping.Store(true)
					return good(c, r)
				})
				ts = newTestCallerServer(t, ft)
				c := ts.dial(t)
				c.send(requestText(test.path))
				got := c.receive()
				convey.So(got.status, convey.ShouldEqual, 200)
				convey.So(got.truncated, convey.ShouldBeFalse)
				convey.So(got.header.Get("Connection"), convey.ShouldEqual, "close")
			})
		}
	})
}
