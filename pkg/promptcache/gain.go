package promptcache

import "time"

const (
	// gainWeight is the weight of one observation in a Gain.
	gainWeight = 0.05
	// maxGainDeviation limits one observation, as response times vary by more than what a
	// cached prefix saves.
	maxGainDeviation = 2
	// minSaving is the expected saving from which on it is observed.
	minSaving = 10 * time.Millisecond
)

// Gain is the part of the expected savings that response times confirm. It is 1 without
// observations, and approaches 0 at engines that keep no prompts. The zero value has no
// observations.
type Gain struct {
	shortfall float64 // mean difference from 1
}

// Observe adds the time that a prompt took, which was expected to take as long without the
// cache, and the expected saving. Small savings are ignored.
func (g *Gain) Observe(took, without, saving time.Duration) {
	if saving < minSaving {
		return
	}
	deviation := 1 - float64(without-took)/float64(saving)
	deviation = min(maxGainDeviation, max(-maxGainDeviation, deviation))
	g.shortfall += gainWeight * (deviation - g.shortfall)
}

// Value returns the part, from 0 to 1.
func (g *Gain) Value() float64 { return min(1, max(0, 1-g.shortfall)) }
