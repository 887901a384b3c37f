package prefill

import (
	"slices"
	"time"
)

// Parameters of a Monitor.
const (
	// monitorWindow is the number of observations after which the weight of one has
	// decayed to a third: those of an engine in about ten seconds on the users'
	// deployments.
	monitorWindow = 64
	// lateShare is the share of late observations above which prompts are paced. On the
	// users' deployments prompts cause late events in a fifth of an engine's streams and
	// more.
	lateShare = 0.08
	// holdTime is how long prompts are paced after the last time at which the share
	// was exceeded. Without pacing the late events come back within seconds.
	holdTime = time.Minute
	// readMemory is how long a prompt is remembered after it was read: the longest
	// allowed gap on the users' deployments.
	readMemory = 500 * time.Millisecond
	// unreadMemory is how long a prompt whose end is not known is remembered after its
	// offer: the callers on the users' deployments have left by then.
	unreadMemory = 10 * time.Second
)

// Monitor decides whether the prompts for one engine are paced. Pacing leaves the engine
// idle for the time in which the next batch is admitted, so it is of use only where
// prompts make events late. That depends on properties of the engine that are not known:
// the tokens of an event, and the tokens of prompts read between two of them. Late events
// of an engine that is slow for another reason pace the prompts for that engine only.
// The zero value does not pace. It is not safe for concurrent use.
type Monitor struct {
	late      float64 // decayed share of late observations
	paceUntil time.Time
	recent    []recentPrompt // in the order of their offers
}

// recentPrompt is a prompt that may have caused late events.
type recentPrompt struct {
	key      Key
	readTime time.Duration
	offered  time.Time
	readAt   time.Time // zero until it is read
}

// ObservePrompt records a prompt when it is offered.
func (m *Monitor) ObservePrompt(now time.Time, p Prompt) {
	m.forget(now)
	m.recent = append(m.recent, recentPrompt{key: p.Key, readTime: p.readTime(), offered: now})
	m.Observe(now, false)
}

// ObserveRead records that a prompt was read, or that it is not sent.
func (m *Monitor) ObserveRead(now time.Time, key Key) {
	for i := range m.recent {
		if m.recent[i].key == key {
			m.recent[i].readAt = now
		}
	}
}

// ObserveLate records a stream with an event after a longer gap than allowed. It has no
// effect if a prompt that takes longer than that to read may be the cause: pacing does
// not divide prompts.
func (m *Monitor) ObserveLate(now time.Time, allowed time.Duration) {
	m.forget(now)
	for _, p := range m.recent {
		inGap := p.readAt.IsZero() || now.Sub(p.readAt) <= allowed
		if inGap && p.readTime > allowed {
			return
		}
	}
	m.Observe(now, true)
}

// forget removes the prompts that are no cause of late events any more.
func (m *Monitor) forget(now time.Time) {
	m.recent = slices.DeleteFunc(m.recent, func(p recentPrompt) bool {
		if p.readAt.IsZero() {
			return now.Sub(p.offered) > unreadMemory
		}
		return now.Sub(p.readAt) > readMemory
	})
}

// Observe records a prompt, which is not late, or a stream that a batch of prompts made
// late.
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
