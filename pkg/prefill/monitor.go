package prefill

import "time"

// Parameters of a Monitor.
const (
	// monitorWindow is the number of streams after which the weight of a stream has
	// decayed to a third: the streams of an entryd in a few seconds on the users'
	// deployments.
	monitorWindow = 64
	// lateShare is the share of streams with a late event above which prompts are
	// paced. On the users' deployments prompts cause late events in a fifth of the
	// streams and more, a slow engine in 0.01 of all streams, but at times in more than
	// 0.08 of those of one entryd.
	lateShare = 0.08
	// holdTime is how long prompts are paced after the last time at which the share
	// was exceeded. Without pacing the late events come back within seconds.
	holdTime = time.Minute
)

// Monitor decides whether an entryd has the prompts of a service paced. Pacing leaves
// engines idle for the time in which the next batch is admitted, so it is of use only
// where prompts make events late. That depends on properties of the engine that are
// not known: the tokens of an event, and the tokens of prompts read between two of them.
// The zero value does not pace. It is not safe for concurrent use.
type Monitor struct {
	late      float64 // decayed share of streams with a late event
	paceUntil time.Time
}

// Observe records whether a stream had a gap between two events that is longer than
// allowed.
func (m *Monitor) Observe(now time.Time, late bool) {
	const weight = 1.0 / monitorWindow
	m.late *= 1 - weight
	if late {
		m.late += weight
	}
	if m.late > lateShare {
		m.paceUntil = now.Add(holdTime)
	}
}

// Paces reports whether prompts are to be paced.
func (m *Monitor) Paces(now time.Time) bool { return now.Before(m.paceUntil) }
