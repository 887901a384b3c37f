package enginecontroller

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// Answers to requests with many segments displaced the crashes that convict one, so that
// an entryd that was restarted ran requests with it again.
func TestAnswersDisplaceCrashes(t *testing.T) {
	convey.Convey("Crashes are kept beside many answers", t, func() {
		var reports segmentReports
		start := time.Unix(1e9, 0)
		for i := range 5 {
			reports.add(start, peer.SegmentCrash{Engine: fmt.Sprint(i), Segments: []peer.ExposedSegment{{Segment: []byte("deadly")}}})
		}
		for i := range 2 * maxSegmentReports {
			reports.add(start.Add(time.Second), peer.SegmentAnswers{Segments: [][]byte{fmt.Append(nil, "sound", i%50)}})
		}
		crashes := 0
		for _, m := range reports.messages(start.Add(time.Minute)) {
			if _, ok := m.(peer.SegmentCrash); ok {
				crashes++
			}
		}
		convey.So(crashes, convey.ShouldEqual, 5)
	})
}

// An answer that was reported late displaced a later one with the same segment.
func TestLateAnswerKeepsLaterOne(t *testing.T) {
	convey.Convey("Of the answers with a segment the last one is kept", t, func() {
		var reports segmentReports
		start := time.Unix(1e9, 0)
		reports.add(start, peer.SegmentAnswers{Age: time.Second, Segments: [][]byte{[]byte("a"), []byte("b")}})
		reports.add(start, peer.SegmentAnswers{Age: 2 * time.Second, Segments: [][]byte{[]byte("a")}})
		reports.add(start, peer.SegmentAnswers{Segments: [][]byte{[]byte("b")}})
		last := map[string]time.Duration{}
		for _, m := range reports.messages(start) {
			for _, s := range m.(peer.SegmentAnswers).Segments {
				if age, ok := last[string(s)]; !ok || m.(peer.SegmentAnswers).Age < age {
					last[string(s)] = m.(peer.SegmentAnswers).Age
				}
			}
		}
		convey.So(last, convey.ShouldResemble, map[string]time.Duration{"a": time.Second, "b": 0})
	})
}

// The backoff of an engine that turned away the first call of a targetd applied to the
// next start of the engine, too. One of a restarted engine that had not reported yet
// ended with the next spec.
func TestBackoffBeforeFirstReport(t *testing.T) {
	convey.Convey("Given a targetd", t, func() {
		ec := New(Options{Log: event.Discard()})
		now := time.Now()
		end := now.Add(time.Hour)
		turnAway := func() { ec.applyNotice(now, orders.Notice{Backoff: time.Hour}) }
		start := func(n int64) { ec.applySpec(now, peer.EngineSpec{Instance: fmt.Sprint("i", n), Started: n}) }
		start(1)
		convey.Convey("a restart of an engine that has reported nothing ends its backoff", func() {
			turnAway()
			start(1)
			convey.So(ec.backoffUntil, convey.ShouldEqual, end)
			start(2)
			convey.So(ec.backoffUntil.IsZero(), convey.ShouldBeTrue)
		})
		convey.Convey("another spec of the same start does not end it", func() {
			ec.report.Started = 1
			start(2)
			turnAway()
			start(2)
			convey.So(ec.backoffUntil, convey.ShouldEqual, end)
		})
	})
}
