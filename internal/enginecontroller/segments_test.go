package enginecontroller

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

func TestSegmentReports(t *testing.T) {
	convey.Convey("A report on segments reaches the other entryds, and those that connect later with its age", t, func() {
		addr := startController(t, &fakeEngine{report: orders.Report{Started: 7}})
		a, b := connect(t, addr, "e1"), connect(t, addr, "e2")
		convey.So(eventually(func() bool { return b.state().ConnectedEntries == 2 || a.state().ConnectedEntries == 2 }), convey.ShouldBeTrue)
		crash := peer.SegmentCrash{
			Engine: "i/1", Service: "s", Age: time.Second, Served: []time.Duration{600 * time.Millisecond},
			Segments: []peer.ExposedSegment{{Segment: []byte{1}, Sent: 2 * time.Second, Answered: peer.Unknown}},
		}
		a.send(t, crash)
		a.send(t, peer.SegmentAnswers{Segments: [][]byte{{1}}})
		convey.So(eventually(func() bool { return len(b.segmentReports()) == 2 }), convey.ShouldBeTrue)
		convey.So(b.segmentReports()[0], convey.ShouldResemble, crash)
		time.Sleep(20 * time.Millisecond)
		c := connect(t, addr, "e3")
		convey.So(eventually(func() bool { return len(c.segmentReports()) == 2 }), convey.ShouldBeTrue)
		kept := c.segmentReports()[0].(peer.SegmentCrash)
		convey.So(kept.Age, convey.ShouldBeGreaterThanOrEqualTo, time.Second+20*time.Millisecond)
		convey.So(kept.Segments[0].Sent-kept.Age, convey.ShouldEqual, time.Second)
		convey.So(len(kept.Served), convey.ShouldEqual, 1)
		convey.So(kept.Served[0]-kept.Age, convey.ShouldEqual, -400*time.Millisecond)
		convey.So(kept.Segments[0].Answered, convey.ShouldEqual, peer.Unknown)
		convey.So(c.segmentReports()[1].(peer.SegmentAnswers).Age, convey.ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
		convey.So(len(a.segmentReports()), convey.ShouldEqual, 0)
	})
	convey.Convey("The kept reports are bounded in number and age", t, func() {
		var kept segmentReports
		now := time.Unix(1000, 0)
		for range 2 * maxSegmentReports {
			kept.add(now, peer.SegmentCrash{})
		}
		convey.So(len(kept.messages(now)), convey.ShouldEqual, maxSegmentReports)
		kept.add(now.Add(2*segmentReportTTL), peer.SegmentCrash{})
		convey.So(len(kept.messages(now)), convey.ShouldEqual, 1)
	})
}
