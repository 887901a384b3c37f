package daemon

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
)

// idlePollInterval is the interval at which WaitIdle checks for idleness.
const idlePollInterval = 20 * time.Millisecond

// ShutdownResult is the reason why the wait of a graceful shutdown ended.
type ShutdownResult uint8

// The values of ShutdownResult.
const (
	Idle        ShutdownResult = iota // no request was in progress
	TimedOut                          // the timeout expired
	Interrupted                       // another signal was received
)

// String returns the name used in logs.
func (r ShutdownResult) String() string {
	switch r {
	case Idle:
		return "idle"
	case TimedOut:
		return "deadline"
	case Interrupted:
		return "second_signal"
	}
	return "unrecognised"
}

// WaitIdle blocks until idle reports true, a signal is received, or timeout has
// passed.
func WaitIdle(idle func() bool, signals <-chan os.Signal, timeout time.Duration) ShutdownResult {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !idle() {
		select {
		case <-ticker.C:
		case <-signals:
			return Interrupted
		case <-deadline.C:
			return TimedOut
		}
	}
	return Idle
}

// ReportInterrupted logs an event and returns an error if the shutdown interrupts
// requests, whose number remaining returns. It returns nil if result is Idle or
// no request remains.
func ReportInterrupted(log event.Log, result ShutdownResult, remaining func() int) error {
	n := 0
	if result != Idle {
		n = remaining()
	}
	if n == 0 {
		return nil
	}
	log.Event(event.StopTimedOut).Stringer("reason", result).Int("requests", n).Send()
	return errors.Newf("stop: %d requests were interrupted, reason %s", n, result)
}
