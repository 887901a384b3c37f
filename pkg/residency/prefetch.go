package residency

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// Bounds of loading ahead of requests.
const (
	minPrefetchDemand = 2.0 // decayed requests that an adapter must have
	prefetchGain      = 2.0 // times the demand of the adapter that it replaces
)

// Prefetch returns the absent adapter that is worth loading though no request
// waits for it: the one with the most demand among those that allowed accepts.
// It reports false when none fits, or when none is wanted enough more than the
// adapter that it would replace.
func (t *Table) Prefetch(now time.Time, allowed func(adapter.ID) bool) (adapter.ID, bool) {
	var best adapter.ID
	most := 0.0
	for id, c := range t.demand.counts {
		if c < most || (c == most && id.String() > best.String()) || t.entries[id] != nil || !allowed(id) {
			continue
		}
		best, most = id, c
	}
	if best.IsZero() || t.demand.Count(now, best) < minPrefetchDemand {
		return adapter.ID{}, false
	}
	if t.hasPlace(best) {
		return best, true
	}
	v := t.victim(best)
	if v == nil || most < prefetchGain*t.demand.counts[v.id] {
		return adapter.ID{}, false
	}
	return best, true
}

// Floor returns the demand of the adapter that would be unloaded next, or zero
// when there is room. It tells a sender where a load costs least.
func (t *Table) Floor(now time.Time) float64 {
	if len(t.entries) < t.room {
		return 0
	}
	v := t.victim(adapter.ID{Team: t.owner})
	if v == nil {
		return float64(t.room)
	}
	return t.demand.Count(now, v.id)
}
