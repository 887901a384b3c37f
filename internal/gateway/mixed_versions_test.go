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

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/streams"
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

// TestTakeUpJoinsVersions guards against a caller whose broken stream continues at another
// version when it takes the stream up at an entryd that did not relay it.
func TestTakeUpJoinsVersions(t *testing.T) {
	takeUp := func(tg *testGateway, headers ...string) (reply, time.Duration) {
		start := time.Now()
		got := tg.call(t, "/stream/x", append([]string{"Id", "r2", "Last-Event", "2"}, headers...)...)
		return got, time.Since(start)
	}
	convey.Convey("Given a stream that broke off after event 2 at the only target of v1, beside targets of v2", t, func() {
		began := newVersionedTarget(t, "t1", "a", "v1", 2)
		others := []versionedTarget{newVersionedTarget(t, "t2", "b", "v2", 0), newVersionedTarget(t, "t3", "c", "v2", 0), newVersionedTarget(t, "t4", "c", "v2", 0)}
		all := append([]versionedTarget{began}, others...)
		first, second := newTestGateway(t), newTestGateway(t)
		first.list(all...)
		second.list(all...)
		var lose []func()
		for _, vt := range all {
			lose = append(lose, addTargetd(t, vt.id, first, second))
		}
		first.prefer("t1")
		convey.So(first.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
		kept := func() bool {
			k := streams.KeyOf("r1")
			first.fleet.mu.Lock()
			defer first.fleet.mu.Unlock()
			return len(first.fleet.origins.own[k].sentTo) == originCopies
		}
		convey.So(kept(), convey.ShouldBeTrue)
		spare := newVersionedTarget(t, "t5", "b", "v1", 0)
		continued := versionedEvents("v1", 3, lastPiece)
		convey.Convey("it is rejected at once while no target of v1 has not run it, and without a time to return once v1 is gone", func() {
			second.fleet.mu.Lock()
			second.fleet.remove(time.Now(), second.fleet.targets["t1"], time.Time{})
			second.fleet.mu.Unlock()
			got, took := takeUp(second, "Resumes", "r1")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldEqual, "")
			convey.So(took, convey.ShouldBeLessThan, 150*time.Millisecond)
			convey.So(second.logText(), convey.ShouldContainSubstring, `"reason":"version_gone"`)
		})
		convey.Convey("it goes on at v1 at another entryd", func() {
			second.list(spare)
			second.prefer("t5")
			got, _ := takeUp(second, "Resumes", "r1")
			convey.So(got.body, convey.ShouldEqual, continued)
			convey.So(got.truncated, convey.ShouldBeFalse)
			convey.Convey("and once more, under the id of its first request", func() {
				got, _ := takeUp(second, "Id", "r3", "Resumes", "r1")
				convey.So(got.body, convey.ShouldEqual, continued)
			})
			convey.Convey("but not under that of a later one", func() {
				got, _ := takeUp(second, "Id", "r3", "Resumes", "r2")
				convey.So(got.status, convey.ShouldEqual, 503)
			})
		})
		convey.Convey("it goes on at v1 although two of the targetds that know it are lost", func() {
			second.list(spare)
			second.prefer("t5")
			for _, i := range []int{0, 1} {
				lose[i]()
			}
			got, _ := takeUp(second, "Resumes", "r1")
			convey.So(got.body, convey.ShouldEqual, continued)
		})
		convey.Convey("it goes on at v1 after its targetds were replaced by others", func() {
			for i, vt := range all {
				next := newVersionedTarget(t, fmt.Sprint("n", i), vt.zone, vt.version, 0)
				first.list(next)
				second.list(next)
				addTargetd(t, next.id, first, second)
				lose[i]()
			}
			lost := func() bool {
				first.fleet.mu.Lock()
				defer first.fleet.mu.Unlock()
				return first.fleet.targets["t1"].conn == nil && first.fleet.targets["t4"].conn == nil
			}
			convey.So(eventually(lost), convey.ShouldBeTrue)
			first.fleet.sendMovedOrigins(time.Now())
			second.list(spare)
			second.prefer("t5")
			got, _ := takeUp(second, "Resumes", "r1")
			convey.So(got.body, convey.ShouldEqual, continued)
		})
		convey.Convey("it is rejected where no process knows it, also if only v1 is left", func() {
			second.list(spare)
			for _, vt := range others {
				second.fleet.mu.Lock()
				second.fleet.remove(time.Now(), second.fleet.targets[vt.id], time.Time{})
				second.fleet.mu.Unlock()
			}
			for _, headers := range [][]string{{"Resumes", "r7"}, nil} {
				got, took := takeUp(second, headers...)
				convey.So(got.status, convey.ShouldEqual, 503)
				convey.So(got.header.Get("Retry-After"), convey.ShouldEqual, "")
				convey.So(took, convey.ShouldBeLessThan, 150*time.Millisecond)
			}
			convey.So(len(spare.requests()), convey.ShouldEqual, 0)
		})
		convey.Convey("two requests with one id leave it unknown at which version their streams began", func() {
			first.prefer("t2")
			convey.So(first.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v2", 1, lastPiece))
			first.list(spare)
			got, _ := takeUp(first, "Resumes", "r1")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(len(spare.requests()), convey.ShouldEqual, 0)
		})
	})
	convey.Convey("Targetds of earlier releases get no message that they don't know", t, func() {
		tg := newTestGateway(t)
		tg.list(newVersionedTarget(t, "t1", "a", "v1", 2))
		p := newFakePacer(t, tg, "t1", func(c *peer.Conn, m peer.PromptOffer) { _, _ = c.Send(peer.PromptAnswer{ID: m.ID, Admitted: true}) })
		convey.So(tg.call(t, "/stream/x", "Id", "r1").body, convey.ShouldEqual, versionedEvents("v1", 1, 2))
		_, _ = takeUp(tg, "Resumes", "r7")
		p.mu.Lock()
		defer p.mu.Unlock()
		convey.So(p.others, convey.ShouldBeEmpty)
	})
}

// TestLongDeadlineFillsOrigins guards against callers whose deadlines keep the origins of
// their streams for so long that those of others find no room.
func TestLongDeadlineFillsOrigins(t *testing.T) {
	convey.Convey("The deadline that a caller states does not decide how long an origin is kept", t, func() {
		tg := newTestGateway(t)
		tg.list(newVersionedTarget(t, "t1", "a", "v1", 0))
		convey.So(tg.call(t, "/stream/x", "Id", "r1", "Deadline", "2000000000").body, convey.ShouldEqual, versionedEvents("v1", 1, lastPiece))
		tg.fleet.mu.Lock()
		defer tg.fleet.mu.Unlock()
		_, until, ok := tg.fleet.origins.known.Origin(time.Now(), streams.KeyOf("r1"))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(time.Until(until), convey.ShouldBeLessThan, time.Minute)
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
		convey.Convey("the loss of the targetd of an engine leaves it unknown, which may start again meanwhile", func() {
			f.mu.Lock()
			ts.closeConn = func() {}
			f.mu.Unlock()
			convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "")
			lose := addTargetd(t, "t1", tg)
			convey.So(f.softwareVersion(now, ts), convey.ShouldEqual, "v1")
			convey.So(f.softwareVersion(time.Now().Add(2*targetdSilenceTimeout), ts), convey.ShouldEqual, "")
			lose()
			convey.So(eventually(func() bool { return f.softwareVersion(now, ts) == "" }), convey.ShouldBeTrue)
		})
		convey.Convey("a refused connection does until its targetd has reported since", func() {
			addTargetd(t, "t1", tg)
			f.mu.Lock()
			ts.lastMessageAt = now.Add(time.Hour) // no silence, after which the state has to be confirmed
			f.mu.Unlock()
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
