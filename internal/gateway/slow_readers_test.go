package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/pkg/slowreader"
)

// newLimitedServer starts a callers' server whose connections have the buffers of a
// process with a memory limit.
func newLimitedServer(t *testing.T, targets ...*fakeTarget) *testCallerServer {
	t.Helper()
	ts := newTestCallerServer(t, targets...)
	ts.gateway.Client.LimitBuffers(targetBuffers)
	if err := limitCallerBuffers(ts.ln.(callerListener).TCPListener); err != nil {
		t.Fatal(err)
	}
	return ts
}

// endlessStream returns a step that writes events until the connection is closed, and
// records the time of that.
func endlessStream(closedAt *atomic.Int64) step {
	return func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"))
		text := "data: " + strings.Repeat("x", 1000) + "\n\n"
		for err == nil {
			_, err = io.WriteString(c, text)
		}
		closedAt.Store(time.Now().UnixNano())
		return false
	}
}

// readAll reads the rest of a response and returns the error that ends it.
func (c *testCaller) readAll() (string, error) {
	b, err := io.ReadAll(c.r)
	return string(b), err
}

// TestCallerReadsNothing guards against responses that go on, or count as delivered, when
// their callers do not read, and against one that looks complete to such a caller.
func TestCallerReadsNothing(t *testing.T) {
	convey.Convey("A stream ends as incomplete, and is canceled at the target", t, func() {
		var closedAt atomic.Int64
		ts := newLimitedServer(t, newFakeTarget(t, "t1", endlessStream(&closedAt)))
		caller := ts.dial(t)
		start := time.Now()
		caller.send(requestText("/patient/x"))
		convey.So(eventually(func() bool { return closedAt.Load() != 0 }), convey.ShouldBeTrue)
		took := time.Unix(0, closedAt.Load()).Sub(start)
		convey.So(took, convey.ShouldBeBetween, relayTimeout, relayTimeout+2*time.Second) // the caller's system accepts some bytes at first
		convey.So(eventually(func() bool { return ts.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
		convey.So(ts.logText(), convey.ShouldContainSubstring, `"reason":"caller_stalled"`)
		convey.So(ts.logText(), convey.ShouldContainSubstring, `"event":390`)
		convey.So(ts.logText(), convey.ShouldNotContainSubstring, `"reason":"delivered"`)
		_, err := caller.readAll()
		convey.So(err, convey.ShouldNotBeNil) // reset
	})
	convey.Convey("A buffered response is not recorded as delivered", t, func() {
		ts := newLimitedServer(t, newFakeTarget(t, "t1", respond(200, strings.Repeat("y", maxBufferedBytes), signed)))
		ts.process.callers.bufferedTimeout = time.Second
		caller := ts.dial(t)
		convey.So(caller.conn.(*net.TCPConn).SetReadBuffer(4<<10), convey.ShouldBeNil)
		caller.send(requestText("/unsafe/x"))
		convey.So(eventually(func() bool { return strings.Contains(ts.logText(), `"reason":"caller_stalled"`) }), convey.ShouldBeTrue)
		convey.So(ts.logText(), convey.ShouldNotContainSubstring, `"reason":"delivered"`)
		_, err := caller.readAll()
		convey.So(err, convey.ShouldNotBeNil)
	})
	convey.Convey("A caller that reads slowly gets the whole response", t, func() {
		long := strings.Repeat("y", 250<<10)
		ts := newLimitedServer(t, newFakeTarget(t, "t1", respond(200, long, signed)))
		caller := ts.dial(t)
		caller.send(requestText("/unsafe/x"))
		convey.So(caller.conn.SetReadDeadline(time.Now().Add(20*time.Second)), convey.ShouldBeNil)
		for n := 0; n < len(long); n += 6400 {
			if n < 100<<10 { // at which its system has acknowledged no byte for more than relayTimeout
				time.Sleep(200 * time.Millisecond)
			}
			_, err := io.CopyN(io.Discard, caller.r, 6400)
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(eventually(func() bool { return strings.Contains(ts.logText(), `"reason":"delivered"`) }), convey.ShouldBeTrue)
		convey.So(ts.logText(), convey.ShouldNotContainSubstring, `"event":390`)
	})
}

// TestMemoryOfSlowReaders guards against connections of callers that read, or hold little,
// being reset when the memory for the queues is short.
func TestMemoryOfSlowReaders(t *testing.T) {
	convey.Convey("When memory is short, the connections that hold much are reset", t, func() {
		var closedAt atomic.Int64
		ts := newLimitedServer(t, newFakeTarget(t, "t1", endlessStream(&closedAt)))
		ts.gateway.admission.maxShared, ts.gateway.admission.maxQueued = 1<<20, 1<<20
		readers := &slowReaders{callers: ts.process.callers, client: ts.gateway.Client, admission: ts.gateway.admission, tracker: slowreader.New(), scope: tally.NoopScope}
		reads := ts.dial(t)
		reads.send(requestText("/patient/x"))
		var ended atomic.Bool
		go func() {
			_, _ = io.Copy(io.Discard, reads.r) // until the end of the test
			ended.Store(true)
		}()
		const unread = 3
		for range unread {
			ts.dial(t).send(requestText("/patient/x"))
		}
		for range 8 { // until the rates are known
			time.Sleep(100 * time.Millisecond)
			readers.check(time.Now())
		}
		convey.So(ts.logText(), convey.ShouldNotContainSubstring, "caller_dropped")
		// Memory for the queues of the one that reads, and not for those of all.
		ts.gateway.admission.maxQueued = 24 << 10
		readers.check(time.Now())
		drops := strings.Count(ts.logText(), `"event":391`)
		convey.So(drops, convey.ShouldBeBetweenOrEqual, 1, unread)
		convey.So(eventually(func() bool { return strings.Count(ts.logText(), `"reason":"caller_dropped"`) == drops }), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return ts.gateway.inProgress.Load() == int64(1+unread-drops) }), convey.ShouldBeTrue)
		convey.So(ended.Load(), convey.ShouldBeFalse)
	})
	convey.Convey("What the queues hold is not available to bodies", t, func() {
		ac := newAdmissionControl(4100, 184<<20)
		l := &lease{admission: ac}
		convey.So(ac.recordQueues(ac.maxQueued), convey.ShouldEqual, 0)
		convey.So(l.resize(shortBody, ac.maxShared-ac.maxQueued/collectorFactor+1), convey.ShouldBeFalse)
		convey.So(l.resize(shortBody, ac.maxShared-ac.maxQueued/collectorFactor), convey.ShouldBeTrue)
		convey.So(ac.recordQueues(ac.maxQueued+2), convey.ShouldEqual, 2)
		l.shrink(0)
		convey.So(ac.recordQueues(collectorFactor*ac.maxQueued+10), convey.ShouldEqual, 10)
		convey.So(newAdmissionControl(0, 0).recordQueues(1<<40), convey.ShouldEqual, 0)
	})
}
