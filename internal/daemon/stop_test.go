package daemon

import (
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
)

func TestWaitIdle(t *testing.T) {
	Convey("A wait ends when nothing is left, at a signal, or at its deadline", t, func() {
		signals := make(chan os.Signal, 1)
		never := func() bool { return false }
		So(WaitIdle(func() bool { return true }, signals, time.Hour), ShouldEqual, Idle)
		So(WaitIdle(never, signals, time.Millisecond), ShouldEqual, TimedOut)
		signals <- syscall.SIGTERM
		So(WaitIdle(never, signals, time.Hour), ShouldEqual, Interrupted)
	})
}

func TestReportEnding(t *testing.T) {
	Convey("Only a stop that cut requests is an error", t, func() {
		left := func(n int) func() int { return func() int { return n } }
		So(ReportEnding(event.Discard(), Idle, left(3)), ShouldBeNil)
		So(ReportEnding(event.Discard(), TimedOut, left(0)), ShouldBeNil)
		So(ReportEnding(event.Discard(), Interrupted, left(3)).Error(), ShouldEqual, "stop: 3 requests were cut, reason second_signal")
	})
}
