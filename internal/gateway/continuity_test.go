package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/upstream"
)

// newHeldTarget starts a target that is listed with the given version. It sends two events of its
// real version, and a third one after release is closed, and then resets the connection.
func newHeldTarget(t *testing.T, id, listed, real string, release <-chan struct{}) versionedTarget {
	return versionedTarget{version: listed, zone: "a", fakeTarget: newFakeTarget(t, id, func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(c, versionedEvents(real, 1, 2))
		<-release
		writeChunk(c, versionedEvent(real, 3))
		time.Sleep(20 * time.Millisecond) // a reset drops data that was not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})}
}

// TestStreamBeforeEntryOfStart guards against a stream that goes on at the version in the entry of
// a target without a targetd which had started again with another one before the stream began.
func TestStreamBeforeEntryOfStart(t *testing.T) {
	for _, test := range []struct {
		name      string
		real      string        // version of the target at which the stream begins, listed as v1
		confirmed time.Duration // after the stream began, up to when the entries are known while it runs
		continues bool
	}{
		{"is not continued while its entry may be that of the start before", "v2", 0, false},
		{"is not continued while its entry may be read before the new one was written", "v1", entryLatency / 2, false},
		{"is continued once its entry is known to be up to date", "v1", entryLatency + time.Minute, true},
	} {
		convey.Convey("A stream of a target to which there was no connection "+test.name, t, func() {
			tg := newTestGateway(t)
			release := make(chan struct{})
			tg.list(newHeldTarget(t, "t1", "v1", test.real, release))
			tg.prefer("t1")
			sink := &replicaSink{fleet: tg.fleet}
			begin := time.Now()
			sink.AsOf(begin)
			replies := make(chan reply)
			go func() { replies <- tg.call(t, "/stream/x", "Id", "r1") }()
			convey.So(eventually(func() bool { return tg.fleet.conns.Continuity(tg.fleet.targets["t1"].replica.Addr).Open }), convey.ShouldBeTrue)
			time.Sleep(50 * time.Millisecond) // the gateway reads the events
			sink.AsOf(begin.Add(test.confirmed))
			tg.list(newVersionedTarget(t, "t2", "a", "v1", 0))
			close(release)
			got := (<-replies).body
			if test.continues {
				convey.So(got, convey.ShouldEqual, versionedEvents("v1", 1, lastPiece))
				return
			}
			convey.So(got, convey.ShouldEqual, versionedEvents(test.real, 1, 3))
			again := tg.call(t, "/stream/x", "Id", "r2", "Resumes", "r1", "Last-Event", "3")
			convey.So(again.status, convey.ShouldEqual, 503)
		})
	}
}

// TestVersionAfterInterruption guards against a stream that goes on at a target without a targetd
// that closed its connections, as one that has started again does, and against targets that are
// avoided for longer than their entries need.
func TestVersionAfterInterruption(t *testing.T) {
	convey.Convey("Given a target without a targetd that broke a response off", t, func() {
		tg := newTestGateway(t)
		tg.list(newVersionedTarget(t, "t1", "a", "v1", 2))
		t1 := tg.fleet.targets["t1"]
		sink := &replicaSink{fleet: tg.fleet}
		now := time.Now()
		sink.AsOf(now)
		convey.So(tg.fleet.softwareVersion(now, t1), convey.ShouldEqual, "v1")
		tg.call(t, "/stream/x", "Id", "r1")
		now = time.Now()
		convey.So(tg.fleet.softwareVersion(now, t1), convey.ShouldBeEmpty)
		convey.Convey("its version is unknown for some time if there is no connection", func() {
			sink.AsOf(now.Add(confirmTime))
			convey.So(tg.fleet.softwareVersion(now.Add(confirmTime/2), t1), convey.ShouldBeEmpty)
			convey.So(tg.fleet.softwareVersion(now.Add(confirmTime), t1), convey.ShouldEqual, "v1")
		})
		convey.Convey("its version is known when its entry was read after a new connection", func() {
			open := tg.fleet.conns.Continuity(t1.replica.Addr)
			open.Open = true
			tg.fleet.trackConns(constantConns{open})
			sink.AsOf(open.Since.Add(entryLatency - 1))
			convey.So(tg.fleet.softwareVersion(open.Since.Add(entryLatency), t1), convey.ShouldBeEmpty)
			sink.AsOf(open.Since.Add(entryLatency))
			convey.So(tg.fleet.softwareVersion(open.Since.Add(entryLatency), t1), convey.ShouldEqual, "v1")
		})
	})
}

// constantConns is a connTracker whose evidence does not change.
type constantConns struct{ evidence upstream.Continuity }

func (c constantConns) Continuity(netip.AddrPort) upstream.Continuity { return c.evidence }
