package gateway

import (
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/orders"
)

// recentKept is the number of adapters that an engine's VM is taken to keep in
// memory beside those that the engine holds. The users' sheets do not tell it; a
// wrong guess costs the time of a load.
const recentKept = 64

// recent knows the adapters that an engine held lately. The zero value is empty.
type recent struct {
	held map[orders.Adapter]sighting
}

// sighting is when an adapter was last held, and its version.
type sighting struct {
	at      time.Time
	version int64
}

// note takes the adapters that the engine holds now.
func (r *recent) note(now time.Time, holds map[orders.Adapter]int64) {
	if r.held == nil {
		r.held = map[orders.Adapter]sighting{}
	}
	for a, version := range holds {
		r.held[a] = sighting{now, version}
	}
	if len(r.held) <= 2*recentKept {
		return
	}
	r.forget(recentKept + len(holds))
}

// forget keeps only the latest adapters.
func (r *recent) forget(keep int) {
	times := make([]time.Time, 0, len(r.held))
	for _, s := range r.held {
		times = append(times, s.at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if keep >= len(times) {
		return
	}
	for a, s := range r.held {
		if s.at.Before(times[keep]) {
			delete(r.held, a)
		}
	}
}

// has reports whether it held the adapter lately in a version that will do.
func (r *recent) has(a orders.Adapter, version int64) bool {
	s, ok := r.held[a]
	return ok && s.version >= version
}
