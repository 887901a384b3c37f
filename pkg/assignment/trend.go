package assignment

import "time"

// Parameters of a Trend.
const (
	// trendWindow is the number of observations after which the weight of an
	// observation has decayed to a third. It is large enough that single slow
	// answers do not change the slope much, and small enough to follow a change of
	// load within seconds.
	trendWindow = 200
	// minVariance is the minimum variance of the request counts for which a slope is
	// computed.
	minVariance = 0.25
)

// Trend is a linear regression of observed times on the number of requests ahead, by
// least squares with exponentially decaying weights. The zero value is a flat line
// at zero.
type Trend struct {
	// Decayed sums of 1, x, y, x*x and x*y, with x the requests ahead and y the time
	// in seconds.
	sumW, sumX, sumY, sumXX, sumXY float64
}

// Observe adds a time that was observed with the given number of requests ahead.
func (t *Trend) Observe(ahead int, took time.Duration) {
	const decay = 1 - 1.0/trendWindow
	x, y := float64(ahead), took.Seconds()
	t.sumW = t.sumW*decay + 1
	t.sumX = t.sumX*decay + x
	t.sumY = t.sumY*decay + y
	t.sumXX = t.sumXX*decay + x*x
	t.sumXY = t.sumXY*decay + x*y
}

// Intercept returns the intercept: the expected time with no request ahead. It
// is never negative.
func (t *Trend) Intercept() time.Duration {
	if t.sumW == 0 {
		return 0
	}
	base := t.sumY/t.sumW - t.Slope().Seconds()*t.sumX/t.sumW
	return time.Duration(max(0, base) * float64(time.Second))
}

// Slope returns the slope: the time that each request ahead adds, zero if it is
// unknown. It is never negative.
func (t *Trend) Slope() time.Duration {
	if t.sumW == 0 {
		return 0
	}
	variance := t.sumXX/t.sumW - t.sumX*t.sumX/(t.sumW*t.sumW)
	if variance < minVariance {
		return 0
	}
	slope := (t.sumXY/t.sumW - t.sumX*t.sumY/(t.sumW*t.sumW)) / variance
	return time.Duration(max(0, slope) * float64(time.Second))
}

// At returns the time on the line for the given number of requests ahead.
func (t *Trend) At(ahead int) time.Duration {
	return t.Intercept() + time.Duration(ahead)*t.Slope()
}
