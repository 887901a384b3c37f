package quota

import (
	"math"
	"time"
)

// meterTime is the time constant of a meter: some requests of an account that has a few of
// them a second, and short enough to follow the demand within a second.
const meterTime = 500 * time.Millisecond

// meter measures a rate of units a second, smoothed exponentially.
type meter struct {
	rate float64
	at   time.Time
}

// add records units.
func (m *meter) add(now time.Time, units float64) {
	m.rate = m.value(now) + units/meterTime.Seconds()
	m.at = now
}

// value returns the rate.
func (m *meter) value(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}
