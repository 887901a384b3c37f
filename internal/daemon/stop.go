package daemon

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
)

// idlePollInterval is the interval at which WaitIdle checks for idleness.
const idlePollInterval = 20 * time.Millisecond

// Ending is the reason why the wait of a graceful shutdown ended.
type Ending uint8

// The values of Ending.
const (
	Idle        Ending = iota // no request was in progress
	TimedOut                  // the timeout expired
	Interrupted               // another signal was received
)

// String returns the name used in logs.
func (e Ending) String() string {
	switch e {
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
func WaitIdle(idle func() bool, signals <-chan os.Signal, timeout time.Duration) Ending {
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

// ReportEnding logs an event and returns an error if the shutdown interrupts
// requests, whose number remaining returns. It returns nil if ending is Idle or
// no request remains.
func ReportEnding(log event.Log, ending Ending, remaining func() int) error {
	n := 0
	if ending != Idle {
		n = remaining()
	}
	if n == 0 {
		return nil
	}
	log.At(event.StopTimedOut).Stringer("reason", ending).Int("requests", n).Send()
	return errors.Newf("stop: %d requests were interrupted, reason %s", n, ending)
}
