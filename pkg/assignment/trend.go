package assignment

import "time"

// Shape of a Trend.
const (
	// trendMemory is the number of observations after which one counts a third: so
	// many that single slow answers do not turn the line, few enough to follow a
	// change of load within seconds.
	trendMemory = 200
	// leastSpread is the least variance of the counts from which a slope is told.
	leastSpread = 0.25
)

// Trend is the line through observed times against the requests that were ahead
// of each, by least squares with weights that decay. The zero value is a flat one.
type Trend struct {
	n, x, y, xx, xy float64
}

// Observe adds a time that was seen with so many requests ahead.
func (t *Trend) Observe(ahead int, took time.Duration) {
	const keep = 1 - 1.0/trendMemory
	x, y := float64(ahead), took.Seconds()
	t.n = t.n*keep + 1
	t.x = t.x*keep + x
	t.y = t.y*keep + y
	t.xx = t.xx*keep + x*x
	t.xy = t.xy*keep + x*y
}

// Base returns the time that is expected with no request ahead. It is never
// negative.
func (t *Trend) Base() time.Duration {
	if t.n == 0 {
		return 0
	}
	base := t.y/t.n - t.Each().Seconds()*t.x/t.n
	return time.Duration(max(0, base) * float64(time.Second))
}

// Each returns the time that each request ahead adds, zero while that is
// unknown. It is never negative.
func (t *Trend) Each() time.Duration {
	if t.n == 0 {
		return 0
	}
	spread := t.xx/t.n - t.x*t.x/(t.n*t.n)
	if spread < leastSpread {
		return 0
	}
	slope := (t.xy/t.n - t.x*t.y/(t.n*t.n)) / spread
	return time.Duration(max(0, slope) * float64(time.Second))
}
