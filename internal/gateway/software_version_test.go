package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

// newPausingTarget starts a target that is listed with v1 and answers with v2. It sends the
// head of its response, closes head, and sends events only after release is closed.
func newPausingTarget(t *testing.T, id string) (vt versionedTarget, head, release chan struct{}) {
	head, release = make(chan struct{}), make(chan struct{})
	return versionedTarget{version: "v1", zone: "a", fakeTarget: newFakeTarget(t, id, func(c net.Conn, r *http.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		close(head)
		<-release
		writeChunk(c, versionedEvents("v2", last+1, lastPiece))
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})}, head, release
}

// TestRestartBeforeFirstEvent guards against a stream that continues at a target which
// is reported to have started again after the head of its response arrived.
func TestRestartBeforeFirstEvent(t *testing.T) {
	tests := []struct {
		name    string
		headers []string
	}{
		{"within one response", []string{"Id", "r1"}},
		{"when its caller takes it up", []string{"Id", "r2", "Resumes", "r1", "Last-Event", "2"}},
	}
	convey.Convey("Given a target that started again after it was sent a request that continues a stream", t, func() {
		for i, test := range tests {
			convey.Convey("it does not continue the stream "+test.name, func() {
				tg := newTestGateway(t)
				tg.list(newVersionedTarget(t, "t1", "a", "v1", 2))
				addTargetd(t, "t1", tg)
				if i > 0 {
					convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
				}
				next, head, release := newPausingTarget(t, "t2")
				tg.list(next)
				addTargetd(t, "t2", tg)
				tg.prefer([]string{"t1", "t2"}[i])
				replies := make(chan reply)
				go func() { replies <- tg.call(t, "/stream/x", test.headers...) }()
				<-head
				time.Sleep(50 * time.Millisecond) // the gateway reads the head
				tg.fleet.mu.Lock()
				tg.fleet.targets["t2"].state.Started = 2
				tg.fleet.mu.Unlock()
				close(release)
				convey.So((<-replies).body, convey.ShouldNotContainSubstring, "v2")
			})
		}
	})
}

// TestRestartUnderSameEntry guards against a stream that continues at its own target after
// that broke it off and started again with another version, which no targetd reports.
func TestRestartUnderSameEntry(t *testing.T) {
	convey.Convey("Given a target without a targetd that breaks a stream off and starts again with another version", t, func() {
		tg := newTestGateway(t)
		begins := func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			writeChunk(c, versionedEvents("v1", 1, 2))
			time.Sleep(20 * time.Millisecond) // a reset drops data that was not read yet
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		continues := func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			writeChunk(c, versionedEvents("v2", 3, lastPiece))
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
		tg.list(versionedTarget{newFakeTarget(t, "t1", begins, continues), "v1", "a"})
		convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
		got := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
		convey.So(got.body, convey.ShouldNotContainSubstring, "v2")
	})
}

// TestRestartReportedLate guards against a stream that is taken up at the version of its
// target's entry although the target had started again with another one before it began.
func TestRestartReportedLate(t *testing.T) {
	convey.Convey("Given a stream that began at a target of v2 while it was listed with v1", t, func() {
		tg := newTestGateway(t)
		began := newVersionedTarget(t, "t1", "a", "v2", 2)
		began.version = "v1" // of the start before
		tg.list(began)
		addTargetd(t, "t1", tg)
		convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v2", 1, 2))
		convey.Convey("it is not taken up at v1 after the targetd has reported the start", func() {
			tg.fleet.mu.Lock()
			tg.fleet.targets["t1"].state.Started = 2
			tg.fleet.mu.Unlock()
			tg.list(newVersionedTarget(t, "t2", "a", "v1", 0))
			tg.prefer("t2")
			got := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
			convey.So(got.body, convey.ShouldNotContainSubstring, "v1")
		})
	})
}

// TestOriginRetracted guards against a stream that other entryds continue at the version of its
// target's entry, although the target had started again with another one before it began, and
// against streams that are given up although their target started again later.
func TestOriginRetracted(t *testing.T) {
	for _, test := range []struct {
		name      string
		confirmed time.Duration // after the stream began, when its target's start was last confirmed
		continues bool
	}{
		{"just after its target is reported to have started again", restartReportDelay / 2, false},
		{"long before its target is reported to have started again", time.Minute, true},
	} {
		convey.Convey("A stream that began "+test.name, t, func() {
			first, second := newTestGateway(t), newTestGateway(t)
			began, spare := newVersionedTarget(t, "t1", "a", "v1", 2), newVersionedTarget(t, "t2", "a", "v1", 0)
			first.list(began, spare)
			second.list(began, spare)
			first.prefer("t1")
			second.prefer("t2")
			addTargetd(t, "t1", first, second)
			addTargetd(t, "t2", first, second)
			convey.So(eventually(func() bool { return first.fleet.softwareVersion(time.Now(), first.fleet.targets["t2"]) == "v1" }), convey.ShouldBeTrue)
			first.fleet.mu.Lock()
			first.fleet.targets["t2"].notice.leaving = true // the stream ends with t1
			first.fleet.mu.Unlock()
			convey.So(first.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
			first.fleet.mu.Lock()
			t1 := first.fleet.targets["t1"]
			for _, s := range first.fleet.origins.own {
				t1.startConfirmedAt = s.begunAt.Add(test.confirmed)
			}
			first.fleet.mu.Unlock()
			first.fleet.applyEngineState(time.Now(), t1, peer.EngineState{Started: 2, Reachable: true})
			time.Sleep(50 * time.Millisecond) // the targetds receive the message
			got := second.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "2")
			if test.continues {
				convey.So(got.body, convey.ShouldEqual, versionedEvents("v1", 3, lastPiece))
				return
			}
			convey.So(got.status, convey.ShouldEqual, 503)
		})
	}
}
