package enginecontroller

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
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
