package gateway

import (
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/orders"
)

// maxRecentAdapters is the assumed number of adapters that an engine's VM keeps
// in memory in addition to those that the engine holds. The users' data sheets
// do not state it; a wrong value costs the time of a load.
const maxRecentAdapters = 64

// recentAdapters tracks the adapters that an engine held recently. The zero
// value is empty.
type recentAdapters struct {
	lastSeen map[orders.Adapter]residency
}

// residency is the last time at which an adapter was resident, and its version.
type residency struct {
	seenAt  time.Time
	version int64
}

// record updates the set with the adapters that the engine holds now. It returns those
// that are not in the set any more.
func (r *recentAdapters) record(now time.Time, holds map[orders.Adapter]int64) (evicted []orders.Adapter) {
	if r.lastSeen == nil {
		r.lastSeen = map[orders.Adapter]residency{}
	}
	for a, version := range holds {
		r.lastSeen[a] = residency{now, version}
	}
	if len(r.lastSeen) <= 2*maxRecentAdapters {
		return nil
	}
	return r.evict(maxRecentAdapters + len(holds))
}

// evict removes all but the keep most recently resident adapters and returns those that it
// removed. More remain if several were last resident at the same time.
func (r *recentAdapters) evict(keep int) (evicted []orders.Adapter) {
	times := make([]time.Time, 0, len(r.lastSeen))
	for _, s := range r.lastSeen {
		times = append(times, s.seenAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if keep >= len(times) {
		return nil
	}
	for a, s := range r.lastSeen {
		if s.seenAt.Before(times[keep]) {
			delete(r.lastSeen, a)
			evicted = append(evicted, a)
		}
	}
	return evicted
}

// hasVersion reports whether the engine held the adapter recently in at least
// the given version.
func (r *recentAdapters) hasVersion(a orders.Adapter, version int64) bool {
	s, ok := r.lastSeen[a]
	return ok && s.version >= version
}
