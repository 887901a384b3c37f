package peer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestStillness(t *testing.T) {
	start := time.Unix(1000, 0)
	convey.Convey("A stand-still is noticed whether the reader or the tick comes first", t, func() {
		s := &stillness{}
		s.tick(start)
		read := start.Add(100 * time.Millisecond)
		thaw := start.Add(SilenceTimeout + time.Millisecond)
		convey.So(s.since(read, start.Add(SilenceTimeout)), convey.ShouldBeFalse)
		convey.So(s.since(read, thaw), convey.ShouldBeTrue)
		s.tick(thaw)
		convey.So(s.since(read, thaw), convey.ShouldBeTrue)
		convey.So(s.since(thaw, thaw.Add(time.Second)), convey.ShouldBeFalse)
	})
}
