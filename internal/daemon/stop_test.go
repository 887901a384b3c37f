package daemon

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
)

func TestWaitIdle(t *testing.T) {
	convey.Convey("A wait ends when nothing is left, at a signal, or at its deadline", t, func() {
		signals := make(chan os.Signal, 1)
		never := func() bool { return false }
		convey.So(WaitIdle(func() bool { return true }, signals, time.Hour), convey.ShouldEqual, Idle)
		convey.So(WaitIdle(never, signals, time.Millisecond), convey.ShouldEqual, TimedOut)
		signals <- syscall.SIGTERM
		convey.So(WaitIdle(never, signals, time.Hour), convey.ShouldEqual, Interrupted)
	})
}

func TestReportEnding(t *testing.T) {
	convey.Convey("Only a stop that cut requests is an error", t, func() {
		left := func(n int) func() int { return func() int { return n } }
		convey.So(ReportEnding(event.Discard(), Idle, left(3)), convey.ShouldBeNil)
		convey.So(ReportEnding(event.Discard(), TimedOut, left(0)), convey.ShouldBeNil)
		convey.So(ReportEnding(event.Discard(), Interrupted, left(3)).Error(), convey.ShouldEqual, "stop: 3 requests were cut, reason second_signal")
	})
}
