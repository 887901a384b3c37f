package residency

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// Thresholds for prefetching.
const (
	minPrefetchDemand = 2.0 // minimum decayed request count of the adapter
	prefetchGain      = 2.0 // minimum ratio of its demand to that of the evicted adapter
)

// Prefetch returns the absent adapter to load before any request waits for it:
// the one with the highest demand among those that allowed accepts. It reports
// false when the demand is too low or does not sufficiently exceed that of the
// adapter that would be evicted, or when no adapter can be evicted.
func (t *Table) Prefetch(now time.Time, allowed func(adapter.ID) bool) (adapter.ID, bool) {
	var best adapter.ID
	bestCount := 0.0
	for id, c := range t.demand.counts {
		if c < bestCount || (c == bestCount && id.String() > best.String()) || t.entries[id] != nil || !allowed(id) {
			continue
		}
		best, bestCount = id, c
	}
	if best.IsZero() || t.demand.Count(now, best) < minPrefetchDemand {
		return adapter.ID{}, false
	}
	if t.hasFreeSlot(best) {
		return best, true
	}
	v := t.victim(best)
	if v == nil || bestCount < prefetchGain*t.demand.counts[v.id] {
		return adapter.ID{}, false
	}
	return best, true
}

// EvictionDemand returns the demand of the adapter that would be evicted next:
// zero when a slot is free, and the table's capacity when none can be evicted.
// Routing compares it between targets to find where a load costs least.
func (t *Table) EvictionDemand(now time.Time) float64 {
	if len(t.entries) < t.capacity {
		return 0
	}
	v := t.victim(adapter.ID{Team: t.owner})
	if v == nil {
		return float64(t.capacity)
	}
	return t.demand.Count(now, v.id)
}
