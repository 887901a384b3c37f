package placement

// Hints records which adapters the targets hold according to their latest messages,
// or will hold because a request for them was sent there. It is not safe for
// concurrent use.
type Hints struct {
	holders map[uint64][]uint64 // hashed targets by hashed adapter
	targets map[uint64]*targetHint
}

type targetHint struct {
	resident       []uint64 // hashed adapters
	evictionDemand float64  // decayed number of requests
}

// NewHints returns empty hints.
func NewHints() *Hints {
	return &Hints{holders: map[uint64][]uint64{}, targets: map[uint64]*targetHint{}}
}

// Set replaces the adapters that a target is recorded to hold, and records the
// demand for the adapter that its next load would evict, as a decayed number of
// requests (see residency.Demand).
func (h *Hints) Set(target uint64, resident []uint64, evictionDemand float64) {
	old := h.targets[target]
	if old == nil {
		old = &targetHint{}
		h.targets[target] = old
	}
	old.evictionDemand = evictionDemand
	if equal(old.resident, resident) {
		return
	}
	for _, a := range old.resident {
		h.remove(a, target)
	}
	old.resident = append(old.resident[:0], resident...)
	for _, a := range resident {
		h.holders[a] = append(h.holders[a], target)
	}
}

// AddPending records that a target will load an adapter for a request that was
// sent to it, so that further requests for the adapter are sent there too.
func (h *Hints) AddPending(target, adapter uint64) {
	t := h.targets[target]
	if t == nil {
		t = &targetHint{}
		h.targets[target] = t
	}
	if contains(t.resident, adapter) {
		return
	}
	t.resident = append(t.resident, adapter)
	h.holders[adapter] = append(h.holders[adapter], target)
}

// Forget removes all hints about a target, for example after its engine's restart.
func (h *Hints) Forget(target uint64) {
	h.Set(target, nil, 0)
	delete(h.targets, target)
}

// Holders returns the hashes of the targets that are recorded to hold an adapter.
// The caller must not modify the result.
func (h *Hints) Holders(adapter uint64) []uint64 { return h.holders[adapter] }

// EvictionDemand returns the demand for the adapter that the target's next load
// would evict, zero if it is unknown.
func (h *Hints) EvictionDemand(target uint64) float64 {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	return t.evictionDemand
}

func (h *Hints) remove(adapter, target uint64) {
	list := h.holders[adapter]
	for i, t := range list {
		if t == target {
			list[i] = list[len(list)-1]
			list = list[:len(list)-1]
			break
		}
	}
	if len(list) == 0 {
		delete(h.holders, adapter)
		return
	}
	h.holders[adapter] = list
}

func equal(a, b []uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func contains(list []uint64, x uint64) bool {
	for _, y := range list {
		if y == x {
			return true
		}
	}
	return false
}
