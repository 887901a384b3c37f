package speed

import (
	"math"
	"time"
)

// MaxFactor limits an observation: a larger one counts as MaxFactor, one below
// 1/MaxFactor as that. A target that is slower by a factor of 8 gets almost no work
// anyway, and a single extreme observation would outweigh many others.
const MaxFactor = 8

// Params determine how an Estimate follows its observations.
type Params struct {
	// TimeConstant is the time in which the weight of an observation decays to 1/e.
	TimeConstant time.Duration
	// Spacing is the time after an observation at which the next one has 1-1/e of the
	// weight of an independent one. Zero means that all are independent.
	Spacing time.Duration
	// Prior is the weight of the assumption that the factor is 1, in observations.
	Prior float64
}

// The parameters for the two sources of factors.
var (
	// Reported is for factors that targets state, which change many times a second and
	// so say little about the next request, unless they stay high for some time.
	Reported = Params{TimeConstant: 2 * time.Second, Spacing: 100 * time.Millisecond, Prior: 1}
	// Learned is for ratios of observed to expected times. Single ones vary by about the
	// mean, so that some ten are needed for an estimate.
	Learned = Params{TimeConstant: 20 * time.Second, Prior: 4}
)

// Estimate is an estimated factor. It is not safe for concurrent use.
type Estimate struct {
	params Params
	weight float64   // of the observations, as of at
	sum    float64   // of the observations times their weights, as of at
	at     time.Time // of the last observation, zero for none
}

// New returns an estimate without observations, which is 1.
func New(p Params) Estimate { return Estimate{params: p} }

// Observe adds an observed factor. Those that are not positive and finite are ignored.
func (e *Estimate) Observe(now time.Time, factor float64) {
	if math.IsNaN(factor) || math.IsInf(factor, 0) || factor <= 0 {
		return
	}
	weight := 1.0
	if !e.at.IsZero() {
		since := max(0, now.Sub(e.at))
		decay := e.decay(since)
		e.weight *= decay
		e.sum *= decay
		if e.params.Spacing > 0 {
			weight = 1 - math.Exp(-float64(since)/float64(e.params.Spacing))
		}
	}
	if e.at.Before(now) {
		e.at = now
	}
	e.weight += weight
	e.sum += weight * min(MaxFactor, max(1.0/MaxFactor, factor))
}

// ObserveTimes adds the ratio of an observed time to the expected one. It has no effect
// if either is not known.
func (e *Estimate) ObserveTimes(now time.Time, took, expected time.Duration) {
	if took > 0 && expected > 0 {
		e.Observe(now, float64(took)/float64(expected))
	}
}

// Factor returns the estimate.
func (e *Estimate) Factor(now time.Time) float64 {
	if e.at.IsZero() {
		return 1
	}
	decay := e.decay(now.Sub(e.at))
	return (e.params.Prior + decay*e.sum) / (e.params.Prior + decay*e.weight)
}

// Age returns the time since the last observation, and false if there is none.
func (e *Estimate) Age(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(e.at)), !e.at.IsZero()
}

// decay returns the part of an observation's weight that is left after a time.
func (e *Estimate) decay(since time.Duration) float64 {
	return math.Exp(-float64(max(0, since)) / float64(e.params.TimeConstant))
}
