package residency

import (
	"math"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// HalfLife is the time in which the weight of an observed request halves.
const HalfLife = 5 * time.Minute

// maxExponent is the largest exponent of a weight before all are rescaled.
const maxExponent = 64

// Demand estimates how often each adapter is asked for, as a count that decays
// exponentially. It keeps the counts relative to a fixed landmark, so that they
// compare without being decayed one by one (G. Cormode, V. Shkapenyuk,
// D. Srivastava and B. Xu, "Forward decay", 2009). It is not safe for
// concurrent use.
type Demand struct {
	most     int // adapters that are remembered
	landmark time.Time
	counts   map[adapter.ID]float64
}

// NewDemand returns an estimate that remembers at most so many adapters. It
// panics unless their number is positive.
func NewDemand(most int) *Demand {
	if most <= 0 {
		panic("residency: number of adapters is not positive")
	}
	return &Demand{most: most, counts: map[adapter.ID]float64{}}
}

// Observe counts one request for id.
func (d *Demand) Observe(now time.Time, id adapter.ID) {
	if d.landmark.IsZero() {
		d.landmark = now
	}
	if now.Sub(d.landmark) > maxExponent*HalfLife {
		d.rescale(now)
	}
	d.counts[id] += d.weight(now)
	if len(d.counts) > d.most {
		d.prune()
	}
}

// Count returns the decayed number of requests for id.
func (d *Demand) Count(now time.Time, id adapter.ID) float64 {
	c, ok := d.counts[id]
	if !ok {
		return 0
	}
	return c / d.weight(now)
}

// weight returns what one request counts now, relative to the landmark.
func (d *Demand) weight(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(d.landmark)) / float64(HalfLife))
}

// rescale moves the landmark to now.
func (d *Demand) rescale(now time.Time) {
	w := d.weight(now)
	for id, c := range d.counts {
		d.counts[id] = c / w
	}
	d.landmark = now
}

// prune forgets the adapters below the mean.
func (d *Demand) prune() {
	sum := 0.0
	for _, c := range d.counts {
		sum += c
	}
	mean := sum / float64(len(d.counts))
	for id, c := range d.counts {
		if c < mean {
			delete(d.counts, id)
		}
	}
}
