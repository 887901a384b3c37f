package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/socket"
)

// callerIdleTimeout is the idle timeout of the configuration in these tests.
const callerIdleTimeout = 4 * time.Second

// connHook runs in the server's goroutine of a connection, before or after it
// reports a state.
type connHook struct {
	state   http.ConnState
	after   bool
	reached chan struct{}
	resume  chan struct{}
}

func newConnHook(state http.ConnState, after bool) *connHook {
	return &connHook{state: state, after: after, reached: make(chan struct{}), resume: make(chan struct{})}
}

// testCallerServer is a process whose callers' server can be stopped at a state of
// its connections.
type testCallerServer struct {
	*testGateway
	process *process
	server  *http.Server
	ln      net.Listener // of the server
	addr    string
	hooks   chan *connHook

	idleTimeout atomic.Int64 // nanoseconds
}

func newTestCallerServer(t *testing.T, targets ...*fakeTarget) *testCallerServer {
	t.Helper()
	return newCallerServerOf(t, newTestGateway(t, targets...))
}

// newCallerServerOf starts a callers' server of a gateway.
func newCallerServerOf(t *testing.T, tg *testGateway) *testCallerServer {
	t.Helper()
	ts := &testCallerServer{testGateway: tg, hooks: make(chan *connHook, 1)}
	log := event.New(lockedWriter{ts.testGateway}, "entryd", "e1", zerolog.InfoLevel)
	ts.process = &process{log: log, gateway: ts.gateway}
	ts.process.callers = newCallerConns(func() time.Duration { return time.Duration(ts.idleTimeout.Load()) }, log, tally.NoopScope)
	ts.process.callers.admission = tg.gateway.admission
	ts.idleTimeout.Store(int64(callerIdleTimeout))
	ts.server = ts.process.newCallerServer()
	report := ts.server.ConnState
	ts.server.ConnState = func(c net.Conn, state http.ConnState) {
		var hook *connHook
		select {
		case hook = <-ts.hooks:
			if hook.state != state {
				ts.hooks <- hook
				hook = nil
			}
		default:
		}
		if hook != nil && !hook.after {
			close(hook.reached)
			<-hook.resume
		}
		report(c, state)
		if hook != nil && hook.after {
			close(hook.reached)
			<-hook.resume
		}
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts.addr = ln.Addr().String()
	ts.ln = ts.process.callers.wrap(ln.(*net.TCPListener))
	go func() { _ = ts.server.Serve(ts.ln) }()
	t.Cleanup(func() { _ = ts.server.Close() })
	return ts
}

// testCaller is a caller with one connection.
type testCaller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (ts *testCallerServer) dial(t *testing.T) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", ts.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *testCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// requestText returns a request for path.
func requestText(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody", path)
}

// receive returns the next response, with status 0 if the connection ends before
// it.
func (c *testCaller) receive() reply {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return reply{truncated: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), truncated: err != nil}
}

// arrivalMoments are moments between two requests at which a connection must not be
// closed. begin returns at the moment, and finish lets the second request go on.
var arrivalMoments = []struct {
	name  string
	begin func(ts *testCallerServer, c *testCaller) (finish func())
}{
	{"when part of its head has been read", func(ts *testCallerServer, c *testCaller) func() {
		text := requestText("/unsafe/x")
		c.send(requestText("/unsafe/x"))
		convey.So(c.receive().status, convey.ShouldEqual, 200)
		c.send(text[:20])
		time.Sleep(50 * time.Millisecond) // the server reads it
		return func() { _, _ = io.WriteString(c.conn, text[20:]) }
	}},
	{"when its whole head has been read", func(ts *testCallerServer, c *testCaller) func() {
		c.send(requestText("/unsafe/x"))
		convey.So(c.receive().status, convey.ShouldEqual, 200)
		hook := newConnHook(http.StateActive, false)
		ts.hooks <- hook
		c.send(requestText("/unsafe/x"))
		<-hook.reached
		return func() { close(hook.resume) }
	}},
	{"when it is in the receive buffer of the socket", func(ts *testCallerServer, c *testCaller) func() {
		hook := newConnHook(http.StateIdle, true)
		ts.hooks <- hook
		c.send(requestText("/unsafe/x"))
		convey.So(c.receive().status, convey.ShouldEqual, 200)
		<-hook.reached
		c.send(requestText("/unsafe/x"))
		time.Sleep(20 * time.Millisecond) // loopback delivers it
		return func() { close(hook.resume) }
	}},
}

// Idle connections were closed under requests that had arrived.
func TestRequestLostAtIdleTimeout(t *testing.T) {
	convey.Convey("A request on a connection whose idle timeout has passed is answered", t, func() {
		for _, m := range arrivalMoments {
			convey.Convey(m.name, func() {
				ft := newFakeTarget(t, "t1", respond(200, "good", signed))
				ts := newTestCallerServer(t, ft)
				c := ts.dial(t)
				finish := m.begin(ts, c)
				ts.process.callers.closeExpired(time.Now().Add(time.Hour))
				finish()
				got := c.receive()
				convey.So(ts.logText(), convey.ShouldNotContainSubstring, "connection_closed")
				convey.So(got.status, convey.ShouldEqual, 200)
			})
		}
	})
}

// Data that had arrived, but had not been read, did not keep a connection open.
func TestUnreadRequestLostAtIdleTimeout(t *testing.T) {
	convey.Convey("An idle connection is closed only if nothing has arrived", t, func() {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = ln.Close() }()
		conns := newCallerConns(func() time.Duration { return callerIdleTimeout }, event.Discard(), tally.NoopScope)
		caller, err := net.Dial("tcp4", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = caller.Close() }()
		conn, err := conns.wrap(ln.(*net.TCPListener)).Accept()
		convey.So(err, convey.ShouldBeNil)
		c := conn.(*callerConn)
		later := time.Now().Add(time.Hour)
		c.recordResponse(time.Now(), callerIdleTimeout)
		b := make([]byte, 8)

		convey.Convey("data in the receive buffer keeps it open and can be read", func() {
			_, err = io.WriteString(caller, "POST")
			convey.So(err, convey.ShouldBeNil)
			convey.So(eventually(func() bool { return !socket.Quiescent(c.raw) }), convey.ShouldBeTrue)
			conns.closeExpired(later)
			n, err := c.Read(b)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b[:n]), convey.ShouldEqual, "POST")
		})
		convey.Convey("a read that waits ends when it is closed", func() {
			ended := make(chan error)
			go func() {
				_, err := c.Read(b)
				ended <- err
			}()
			convey.So(eventually(func() bool { conns.closeExpired(later); return len(conns.list()) == 0 }), convey.ShouldBeTrue)
			convey.So(errors.Is(<-ended, net.ErrClosed), convey.ShouldBeTrue)
		})
		convey.Convey("a read deadline ends a read with a timeout, and the end of the data with io.EOF", func() {
			convey.So(c.SetReadDeadline(time.Now().Add(time.Millisecond)), convey.ShouldBeNil)
			_, err := c.Read(b)
			convey.So(errors.Is(err, os.ErrDeadlineExceeded), convey.ShouldBeTrue)
			convey.So(c.SetReadDeadline(time.Time{}), convey.ShouldBeNil)
			convey.So(caller.Close(), convey.ShouldBeNil)
			_, err = c.Read(b)
			convey.So(err, convey.ShouldEqual, io.EOF)
		})
	})
}

// Requests that race with the close of their connection were sent to targets and not
// answered.
func TestRequestsRacingIdleTimeout(t *testing.T) {
	convey.Convey("Each request that reaches a target is answered", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "good", signed))
		ts := newTestCallerServer(t, ft)
		later := time.Now().Add(time.Hour)
		answered := 0
		for i := range 300 {
			c := ts.dial(t)
			c.send(requestText("/unsafe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
			go func() {
				time.Sleep(time.Duration(i%30) * 10 * time.Microsecond)
				ts.process.callers.closeExpired(later)
			}()
			answered++
			if _, err := io.WriteString(c.conn, requestText("/unsafe/x")); err == nil && c.receive().status == 200 {
				answered++
			}
			_ = c.conn.Close()
		}
		convey.So(len(ft.requests()), convey.ShouldEqual, answered)
	})
}

// A shorter idle timeout closed the connections of callers that relied on the longer
// one.
func TestIdleTimeoutShortened(t *testing.T) {
	convey.Convey("Given an idle connection", t, func() {
		ft := newFakeTarget(t, "t1", respond(200, "good", signed))
		ts := newTestCallerServer(t, ft)
		c := ts.dial(t)
		isOpenAfter := func(idle time.Duration) bool {
			ts.process.callers.closeExpired(time.Now().Add(idle))
			return len(ts.process.callers.list()) == 1
		}
		awaitIdle := func() {
			c.send(requestText("/unsafe/x"))
			convey.So(c.receive().status, convey.ShouldEqual, 200)
			convey.So(eventually(func() bool { return ts.process.callers.list()[0].isIdle() }), convey.ShouldBeTrue)
		}
		convey.Convey("a shorter timeout applies from the next request on", func() {
			awaitIdle()
			ts.idleTimeout.Store(int64(callerIdleTimeout / 4))
			convey.So(isOpenAfter(callerIdleTimeout*4/5), convey.ShouldBeTrue)
			awaitIdle()
			convey.So(isOpenAfter(callerIdleTimeout*4/5), convey.ShouldBeFalse)
			convey.So(c.receive().truncated, convey.ShouldBeTrue)
		})
		convey.Convey("a longer timeout applies at once", func() {
			awaitIdle()
			ts.idleTimeout.Store(int64(callerIdleTimeout * 4))
			convey.So(isOpenAfter(callerIdleTimeout*3), convey.ShouldBeTrue)
			convey.So(isOpenAfter(callerIdleTimeout*5), convey.ShouldBeFalse)
		})
		convey.Convey("without a timeout it stays open", func() {
			awaitIdle()
			ts.idleTimeout.Store(0)
			convey.So(isOpenAfter(time.Hour), convey.ShouldBeTrue)
		})
	})
}

// isIdle reports whether the server waits for the next request.
func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy
}
