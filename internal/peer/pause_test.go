package peer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestPauseDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("A pause is detected whether the reader or the ticker runs first after it", t, func() {
		d := &pauseDetector{}
		d.tick(start)
		read := start.Add(100 * time.Millisecond)
		resumed := start.Add(SilenceTimeout + time.Millisecond)
		convey.So(d.pausedSince(read, start.Add(SilenceTimeout)), convey.ShouldBeFalse)
		convey.So(d.pausedSince(read, resumed), convey.ShouldBeTrue)
		d.tick(resumed)
		convey.So(d.pausedSince(read, resumed), convey.ShouldBeTrue)
		convey.So(d.pausedSince(resumed, resumed.Add(time.Second)), convey.ShouldBeFalse)
	})
}
