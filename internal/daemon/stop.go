package daemon

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
)

// idlePoll is how often a stopping daemon looks whether it is idle.
const idlePoll = 20 * time.Millisecond

// Ending says how the wait of a planned stop ended.
type Ending uint8

// The endings.
const (
	Idle        Ending = iota // nothing was left to do
	TimedOut                  // the stop's deadline passed
	Interrupted               // another signal came
)

// String returns the ending's name in logs.
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

// WaitIdle waits until idle reports true, another signal comes, or within has
// passed.
func WaitIdle(idle func() bool, signals <-chan os.Signal, within time.Duration) Ending {
	deadline := time.NewTimer(within)
	defer deadline.Stop()
	ticker := time.NewTicker(idlePoll)
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

// ReportEnding logs a stop that cut requests, with their number, and returns
// it as an error. It returns nil when nothing was cut.
func ReportEnding(log event.Log, ending Ending, remaining func() int) error {
	n := 0
	if ending != Idle {
		n = remaining()
	}
	if n == 0 {
		return nil
	}
	log.At(event.StopTimedOut).Stringer("reason", ending).Int("requests", n).Send()
	return errors.Newf("stop: %d requests were cut, reason %s", n, ending)
}
