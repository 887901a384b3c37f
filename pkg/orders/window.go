package orders

import "time"

// Parameters of the window's adaptation.
const (
	// slowLoadFactor is the ratio of a load's duration to the shortest one above
	// which the load counts as slow: the weight store then serves more loads than
	// it can at full speed.
	slowLoadFactor = 1.5
	// decreaseFactor multiplies the window after a slow load, and increaseStep is
	// added to it after any other load.
	decreaseFactor = 0.7
	increaseStep   = 0.25
)

// loadWindow bounds the number of adapters that an engine loads concurrently
// from the weight store. The store serves a limited number of loads over all
// engines at full speed and slows all of them down beyond that; the limit is not
// known here. Each engine therefore adapts its own window by additive increase
// and multiplicative decrease (D.-M. Chiu and R. Jain, 1989): it shrinks while
// loads are slow compared with the shortest load seen. Limiting the loads in
// progress also lets the adapters that most requests wait for be loaded first.
type loadWindow struct {
	size        float64               // maximum number of loads; zero before the first call of allows
	shortest    time.Duration         // shortest load seen so far
	loadStarts  map[Adapter]time.Time // loads in progress from the weight store, with the time each was first reported
	cached      map[Adapter]bool      // adapters held since the engine started: they may be loaded from its VM's memory
	engineStart int64                 // Report.Started of the engine that the fields describe
}

// observe updates the window from the loads that r reports as in progress or
// completed. When the engine has restarted, it discards all fields but size and
// shortest.
func (w *loadWindow) observe(now time.Time, r *Report) {
	if w.loadStarts == nil || w.engineStart != r.Started {
		w.loadStarts, w.cached, w.engineStart = map[Adapter]time.Time{}, map[Adapter]bool{}, r.Started
	}
	for _, resident := range r.Adapters {
		if startedAt, ok := w.loadStarts[resident.Adapter]; ok {
			w.adjust(now.Sub(startedAt))
		}
		w.cached[resident.Adapter] = true
	}
	previous := w.loadStarts
	w.loadStarts = make(map[Adapter]time.Time, len(r.Loading))
	for _, loading := range r.Loading {
		startedAt, ok := previous[loading.Adapter]
		if !ok {
			startedAt = now
		}
		if !w.cached[loading.Adapter] {
			w.loadStarts[loading.Adapter] = startedAt
		}
	}
}

// adjust adapts the window to the duration of a load from the weight store.
func (w *loadWindow) adjust(duration time.Duration) {
	if w.shortest == 0 || duration < w.shortest {
		w.shortest = duration
	}
	if duration > time.Duration(slowLoadFactor*float64(w.shortest)) {
		w.size *= decreaseFactor
		return
	}
	w.size += increaseStep
}

// allows reports whether the load of a may start, where the engine loads at most
// limit adapters concurrently. Adapters that may be loaded from the VM's memory
// don't count against the window.
func (w *loadWindow) allows(r *Report, a Adapter, limit int) bool {
	if len(r.Loading) >= limit {
		return false
	}
	if w.size == 0 {
		w.size = float64(limit)
	}
	w.size = min(float64(limit), max(1, w.size))
	return w.cached[a] || len(w.loadStarts) < int(w.size)
}
