package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/target"
)

// lastPiece is the id of the last event of the streams in these tests.
const lastPiece = 6

// versionedTarget is a target whose events name the version of its software.
type versionedTarget struct {
	*fakeTarget
	version string
	zone    string
}

// newVersionedTarget starts a target whose streams continue after the event that the
// request names. Each stream breaks off after breakAfter events, or is complete if that is
// zero.
func newVersionedTarget(t *testing.T, id, zone, version string, breakAfter int) versionedTarget {
	return versionedTarget{version: version, zone: zone, fakeTarget: newFakeTarget(t, id, func(c net.Conn, r *http.Request) bool {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event")) // zero for a new stream
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := last + 1; i <= lastPiece; i++ {
			if breakAfter > 0 && i == last+1+breakAfter {
				time.Sleep(20 * time.Millisecond) // a reset drops data that was not read yet
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			writeChunk(c, versionedEvent(version, i))
		}
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})}
}

func versionedEvent(version string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, version)
}

// versionedEvents returns the body of the events from..to.
func versionedEvents(version string, from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(versionedEvent(version, i))
	}
	return b.String()
}

// replica returns the target's entry.
func (vt versionedTarget) replica() target.Replica {
	return target.Replica{ID: vt.id, Service: "s", Addr: vt.addr, Zone: vt.zone, Version: vt.version, Slots: 4, State: target.Live, Started: time.UnixMilli(1)}
}

// list adds the entries of targets.
func (tg *testGateway) list(targets ...versionedTarget) {
	tg.fleet.mu.Lock()
	defer tg.fleet.mu.Unlock()
	for _, vt := range targets {
		tg.fleet.upsert(time.Now(), vt.replica())
	}
}

// TestStreamJoinsVersions guards against a broken stream that continues at a target of
// another version within one response.
func TestStreamJoinsVersions(t *testing.T) {
	tests := []struct {
		name     string
		began    string // version of the target at which the stream begins
		others   []string
		complete bool
	}{
		{"another version", "v1", []string{"v2"}, false},
		{"the same version", "v1", []string{"v1"}, true},
		{"both versions", "v1", []string{"v2", "v1", "v2"}, true},
		{"an unknown version", "v1", []string{""}, false},
		{"two unknown versions", "", []string{""}, false},
	}
	convey.Convey("A stream that breaks off continues only at the version that began it", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				tg := newTestGateway(t)
				tg.list(newVersionedTarget(t, "began", "a", test.began, 2))
				for i, version := range test.others {
					tg.list(newVersionedTarget(t, fmt.Sprint("other", i), "a", version, 0))
				}
				tg.prefer("began")
				start := time.Now()
				got := tg.call(t, "/stream/x")
				convey.So(got.truncated, convey.ShouldEqual, !test.complete)
				want := versionedEvents(test.began, 1, 2)
				if test.complete {
					want = versionedEvents(test.began, 1, lastPiece)
				}
				convey.So(got.body, convey.ShouldEqual, want)
				convey.So(time.Since(start), convey.ShouldBeLessThan, time.Second) // of 2 s
			})
		}
	})
}

// TestRestartChangesVersion guards against a target whose version is taken from its entry
// although it has started again with another one under the same id.
func TestRestartChangesVersion(t *testing.T) {
	now := time.Now()
	vt := versionedTarget{fakeTarget: &fakeTarget{id: "t1", addr: testAddr(1)}, version: "v1", zone: "a"}
	convey.Convey("Given a target with the version of its entry", t, func() {
		tg := newTestGateway(t)
		tg.list(vt)
		f, ts := tg.fleet, tg.fleet.targets["t1"]
		convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "v1")
		convey.Convey("another start reported by its targetd leaves it unknown", func() {
			addTargetd(t, "t1", tg)
			convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "v1")
			f.mu.Lock()
			ts.state.Started = 2
			f.mu.Unlock()
			convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "")
		})
		convey.Convey("a refused connection does until its targetd has reported since", func() {
			addTargetd(t, "t1", tg)
			f.recordRefusedConn(now.Add(time.Hour), ts)
			convey.So(f.softwareVersion(now.Add(time.Hour), ts), convey.ShouldEqual, "")
			f.recordMessage(now.Add(time.Hour+restartReportDelay), ts)
			convey.So(f.softwareVersion(now.Add(time.Hour+restartReportDelay), ts), convey.ShouldEqual, "v1")
		})
		convey.Convey("a refused connection does until its entry would have gone if it has no targetd", func() {
			f.recordRefusedConn(now, ts)
			convey.So(f.softwareVersion(now.Add(confirmTime-1), ts), convey.ShouldEqual, "")
			convey.So(f.softwareVersion(now.Add(confirmTime), ts), convey.ShouldEqual, "v1")
		})
		convey.Convey("an entry with another version is that of another start, also with the same start time", func() {
			next := vt
			next.version = "v2"
			tg.list(next)
			convey.So(f.targets["t1"] == ts, convey.ShouldBeFalse)
			convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "")
			convey.So(f.softwareVersion(now, f.targets["t1"]), convey.ShouldEqual, "v2")
		})
	})
}
