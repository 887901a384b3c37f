package orders

import "time"

// Adaptation of the window.
const (
	// slowTimes is how many times as long as the shortest load a load takes when
	// the weight store is shared by more loads than it serves at full speed.
	slowTimes = 1.5
	// shrink and grow change the window after a slow load and after another.
	shrink = 0.7
	grow   = 0.25
)

// window bounds the adapters that an engine fetches from the weight store at the
// same time. The store serves so many at full speed, over all engines, and slows
// all of them down beyond that; the number is not known here. So each engine
// fetches fewer while its loads are slow (additive increase, multiplicative
// decrease; D.-M. Chiu and R. Jain, 1989), once it has seen a faster one. With
// fewer on their way, those that most requests wait for come first.
type window struct {
	size     float64 // zero before the first load
	shortest time.Duration
	since    map[Adapter]time.Time // loads on their way that were seen to begin
	known    map[Adapter]bool      // adapters that the engine has had: they may come from its VM's memory
	started  int64                 // start of the engine that this is about
}

// watch notes what a report tells of the loads.
func (w *window) watch(now time.Time, r *Report) {
	if w.since == nil || w.started != r.Started {
		w.since, w.known, w.started = map[Adapter]time.Time{}, map[Adapter]bool{}, r.Started
	}
	for _, h := range r.Adapters {
		if begun, ok := w.since[h.Adapter]; ok {
			w.adapt(now.Sub(begun))
		}
		w.known[h.Adapter] = true
	}
	before := w.since
	w.since = make(map[Adapter]time.Time, len(r.Coming))
	for _, c := range r.Coming {
		begun, ok := before[c.Adapter]
		if !ok {
			begun = now
		}
		if !w.known[c.Adapter] {
			w.since[c.Adapter] = begun
		}
	}
}

// adapt takes the time of a load from the weight store.
func (w *window) adapt(took time.Duration) {
	if w.shortest == 0 || took < w.shortest {
		w.shortest = took
	}
	if took > time.Duration(slowTimes*float64(w.shortest)) {
		w.size *= shrink
		return
	}
	w.size += grow
}

// has reports whether another adapter may be loaded, where an engine loads at
// most so many at the same time.
func (w *window) has(r *Report, a Adapter, most int) bool {
	if len(r.Coming) >= most {
		return false
	}
	if w.size == 0 {
		w.size = float64(most)
	}
	w.size = min(float64(most), max(1, w.size))
	return w.known[a] || len(w.since) < int(w.size)
}
