package agent

import (
	"time"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

// historyRetention is the minimum time for which ended attempts stay recorded.
// Whether an older unknown attempt has run cannot be determined.
const historyRetention = 2 * time.Minute

// endedAttempt is the record of an attempt whose answer has been removed.
type endedAttempt struct {
	ran       bool // the attempt was started, or may have been
	expiresAt time.Time
}

// history records attempts whose answers have been removed. It ensures
// that a late resume of an attempt that ran is never answered with "not run",
// and that a late submit never starts an attempt reported as not run.
type history struct {
	attempts map[dispatch.RequestKey]endedAttempt
}

func newHistory() history {
	return history{attempts: map[dispatch.RequestKey]endedAttempt{}}
}

// add records the attempt for minRetention or historyRetention, whichever is
// longer.
func (h history) add(now time.Time, key dispatch.RequestKey, ran bool, minRetention time.Duration) {
	h.attempts[key] = endedAttempt{ran: ran, expiresAt: now.Add(max(minRetention, historyRetention))}
}

// has reports whether the attempt is recorded as ended.
func (h history) has(key dispatch.RequestKey) bool {
	_, ok := h.attempts[key]
	return ok
}

// provablyNotRun reports whether an attempt that was sent age ago certainly did
// not run. The agent must not hold the attempt's answer.
func (h history) provablyNotRun(key dispatch.RequestKey, age time.Duration) bool {
	if e, ok := h.attempts[key]; ok {
		return !e.ran
	}
	return age < historyRetention
}

// cleanup removes the records whose retention has passed.
func (h history) cleanup(now time.Time) {
	for key, e := range h.attempts {
		if now.After(e.expiresAt) {
			delete(h.attempts, key)
		}
	}
}
