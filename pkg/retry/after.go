package retry

import "time"

// Bounds of the result of After.
const (
	MinAfter = time.Second
	MaxAfter = time.Minute
)

// meanWeight is the weight of one observation in a Mean.
const meanWeight = 0.05

// Mean is the exponentially weighted moving average of observed durations. The zero
// value has no observations.
type Mean struct {
	value time.Duration
	seen  bool
}

// Observe adds one observation.
func (m *Mean) Observe(d time.Duration) {
	if !m.seen {
		m.value, m.seen = d, true
		return
	}
	m.value += time.Duration(meanWeight * float64(d-m.value))
}

// Value returns the mean, zero if nothing was observed.
func (m *Mean) Value() time.Duration { return m.value }

// After returns the time after which a rejected request should be retried: the time
// until ahead requests have left a system that holds total requests with a mean
// sojournTime. By Little's law (J. D. C. Little, "A Proof for the Queuing Formula:
// L = λW", 1961), requests leave it at the rate total/sojournTime. The result lies
// between MinAfter and MaxAfter.
func After(ahead, total int, sojournTime time.Duration) time.Duration {
	if total <= 0 {
		return MinAfter
	}
	after := time.Duration(float64(ahead) / float64(total) * float64(sojournTime))
	return min(max(after, MinAfter), MaxAfter)
}
