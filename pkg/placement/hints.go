package placement

// Hints keeps which adapters the targets are believed to hold, as they said on
// their last messages. It is not safe for concurrent use.
type Hints struct {
	holders map[uint64][]uint64 // targets by adapter, all hashed
	targets map[uint64]*hint
}

type hint struct {
	resident []uint64 // hashed adapters
	floor    float64
}

// NewHints returns hints that know nothing.
func NewHints() *Hints {
	return &Hints{holders: map[uint64][]uint64{}, targets: map[uint64]*hint{}}
}

// Set records all that a target holds, and the demand for the adapter that its
// next load would replace.
func (h *Hints) Set(target uint64, resident []uint64, floor float64) {
	old := h.targets[target]
	if old == nil {
		old = &hint{}
		h.targets[target] = old
	}
	old.floor = floor
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

// Expect records that a target was sent a request for an adapter that it will
// load, so that the next request for it follows.
func (h *Hints) Expect(target, adapter uint64) {
	t := h.targets[target]
	if t == nil {
		t = &hint{}
		h.targets[target] = t
	}
	if contains(t.resident, adapter) {
		return
	}
	t.resident = append(t.resident, adapter)
	h.holders[adapter] = append(h.holders[adapter], target)
}

// Forget drops what is known of a target, as after its engine's restart.
func (h *Hints) Forget(target uint64) {
	h.Set(target, nil, 0)
	delete(h.targets, target)
}

// Holders returns the hashes of the targets that hold an adapter. The caller
// must not change the result.
func (h *Hints) Holders(adapter uint64) []uint64 { return h.holders[adapter] }

// Floor returns the demand for the adapter that the target's next load replaces.
func (h *Hints) Floor(target uint64) float64 {
	t := h.targets[target]
	if t == nil {
		return 0
	}
	return t.floor
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
