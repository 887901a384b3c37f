package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// HalfLife is the half-life of an observed request's weight.
const HalfLife = 5 * time.Minute

// maxExponent bounds the base-2 exponent of a weight. Beyond it, all counts are
// rescaled so that they don't overflow.
const maxExponent = 64

// keptShare is the share of the limit that remains after pruning. The sort of a
// pruning is spread over the observations of new adapters until the next one.
const keptShare = 0.75

// Demand estimates the request rate of each adapter as an exponentially decayed
// count. Counts are stored relative to a landmark time, so that they can be
// compared without decaying each one (G. Cormode, V. Shkapenyuk, D. Srivastava
// and B. Xu, "Forward decay", 2009). It is not safe for concurrent use.
type Demand struct {
	limit    int // number of adapters beyond which those with a low count are pruned
	landmark time.Time
	counts   map[adapter.ID]float64 // decayed counts, as of landmark
}

// NewDemand returns an estimate that tracks at most limit adapters. It panics
// unless limit is positive.
func NewDemand(limit int) *Demand {
	if limit <= 0 {
		panic("residency: adapter limit is not positive")
	}
	return &Demand{limit: limit, counts: map[adapter.ID]float64{}}
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
	if len(d.counts) > d.limit {
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

// weight returns the weight of one request at now, relative to the landmark.
func (d *Demand) weight(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(d.landmark)) / float64(HalfLife))
}

// rescale moves the landmark to now and converts the counts to it.
func (d *Demand) rescale(now time.Time) {
	w := d.weight(now)
	for id, c := range d.counts {
		d.counts[id] = c / w
	}
	d.landmark = now
}

// prune removes the adapters with the lowest counts until keptShare of the limit
// is left. Of adapters with equal counts it removes the last ones in the order of
// their ids.
func (d *Demand) prune() {
	ids := make([]adapter.ID, 0, len(d.counts))
	for id := range d.counts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b adapter.ID) int {
		return cmp.Or(cmp.Compare(d.counts[b], d.counts[a]), cmp.Compare(a.String(), b.String()))
	})
	kept := max(1, int(keptShare*float64(d.limit)))
	for _, id := range ids[kept:] {
		delete(d.counts, id)
	}
}
