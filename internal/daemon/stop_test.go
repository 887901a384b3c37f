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
	convey.Convey("WaitIdle returns when no request is in progress, at a signal, or at the timeout", t, func() {
		signals := make(chan os.Signal, 1)
		never := func() bool { return false }
		convey.So(WaitIdle(func() bool { return true }, signals, time.Hour), convey.ShouldEqual, Idle)
		convey.So(WaitIdle(never, signals, time.Millisecond), convey.ShouldEqual, TimedOut)
		signals <- syscall.SIGTERM
		convey.So(WaitIdle(never, signals, time.Hour), convey.ShouldEqual, Interrupted)
	})
}

func TestReportInterrupted(t *testing.T) {
	convey.Convey("Only a shutdown that interrupts requests is an error", t, func() {
		remaining := func(n int) func() int { return func() int { return n } }
		convey.So(ReportInterrupted(event.Discard(), Idle, remaining(3)), convey.ShouldBeNil)
		convey.So(ReportInterrupted(event.Discard(), TimedOut, remaining(0)), convey.ShouldBeNil)
		convey.So(ReportInterrupted(event.Discard(), Interrupted, remaining(3)).Error(), convey.ShouldEqual, "stop: 3 requests were interrupted, reason second_signal")
	})
}
