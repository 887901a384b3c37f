package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// TestCopiedCrashReport guards against the work for each copy of a crash report, which keeps a
// small VM busy for seconds when many engines crash at once, and against a withdrawn crash that a
// copy makes known again.
func TestCopiedCrashReport(t *testing.T) {
	convey.Convey("Given a crash that another entryd reported", t, func() {
		tracker := newCrashTracker(func(peer.Message) {}, event.Discard())
		now := time.Now()
		m := peer.CrashReport{Engine: "t1/7", Fingerprints: [][]byte{make([]byte, 32)}}
		tracker.applyReport(now, m)
		convey.So(tracker.known, convey.ShouldContainKey, "t1/7")
		convey.Convey("a copy of the report is not applied", func() {
			tracker.applyReport(now.Add(time.Second), m)
			convey.So(tracker.known["t1/7"], convey.ShouldEqual, now)
		})
		convey.Convey("a copy does not make it known again after it was withdrawn", func() {
			tracker.recordAlive(now.Add(time.Second), "t1/7")
			convey.So(tracker.known, convey.ShouldBeEmpty)
			tracker.applyReport(now.Add(2*time.Second), m)
			convey.So(tracker.known, convey.ShouldBeEmpty)
		})
		convey.Convey("a report of further calls is applied", func() {
			m.Fingerprints = append(m.Fingerprints, append(make([]byte, 31), 1))
			tracker.applyReport(now.Add(time.Second), m)
			convey.So(tracker.known["t1/7"], convey.ShouldEqual, now.Add(time.Second))
		})
		convey.Convey("the memory of reports is bounded in time", func() {
			tracker.expire(now.Add(breakRetention + 1))
			convey.So(tracker.copies, convey.ShouldBeEmpty)
		})
	})
}
