package orders

import "time"

// Adapter identifies an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// Resident is an adapter that an engine holds or is loading.
type Resident struct {
	Adapter Adapter
	Version int64
}

// Model is a base model that an engine holds.
type Model struct {
	Name    string
	Version int64
}

// Report is the state of an engine as reported by the engine itself.
type Report struct {
	Instance        string // identity of the engine, empty if not reported; the next start may have the same
	Started         int64  // start time of the engine, in Unix milliseconds
	Models          []Model
	Adapters        []Resident
	Loading         []Resident // adapters that are being loaded; each already occupies a slot
	ModelChanging   bool       // an order for a model's weights is in progress
	Sequence        int64      // number of orders accepted so far
	Running         int        // running requests
	Queued          int        // queued requests
	CacheTokensUsed int        // tokens in the KV cache that are in use and can't be evicted
	CacheTokens     int        // capacity of the KV cache, in tokens
	Departing       bool       // the engine accepts no further requests or orders
}

// Notice is what an engine said about further requests in the header of a response.
type Notice struct {
	Departing bool          // as in Report
	Backoff   time.Duration // for which it wants neither reports nor orders, zero for none
}

// HoldsModel reports whether the engine holds the weights of model.
func (r *Report) HoldsModel(model string) bool {
	for _, m := range r.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// ResidentVersion returns the version of a that the engine holds, or false if
// it holds none.
func (r *Report) ResidentVersion(a Adapter) (int64, bool) {
	return findVersion(r.Adapters, a)
}

// LoadingVersion returns the version of a that the engine is loading, or false
// if it loads none.
func (r *Report) LoadingVersion(a Adapter) (int64, bool) {
	return findVersion(r.Loading, a)
}

func findVersion(list []Resident, a Adapter) (int64, bool) {
	for _, resident := range list {
		if resident.Adapter == a {
			return resident.Version, true
		}
	}
	return 0, false
}

// Order is an instruction to an engine to load or unload an adapter, or the
// weights of the model if Adapter.Name is empty.
type Order struct {
	Unload  bool // unload instead of load
	Adapter Adapter
	Version int64 // version to load, zero for the newest
}

// ModelSize is the size of a model's weights and of each of its adapters.
type ModelSize struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
}

// Capacity is the capacity of an engine for models and adapters.
type Capacity struct {
	AdapterSlots int
	WeightsMB    float64     // memory for the models and the adapters together, in MB
	Models       []ModelSize // that the engine may hold; the first one is loaded by an empty engine
	MaxLoads     int         // maximum number of concurrent adapter loads
}

// Usage is a part of an engine's capacity.
type Usage struct {
	Slots int     // adapter slots
	MB    float64 // memory for models and adapters
}

func (u Usage) plus(v Usage) Usage { return Usage{u.Slots + v.Slots, u.MB + v.MB} }

func (u Usage) minus(v Usage) Usage { return Usage{u.Slots - v.Slots, u.MB - v.MB} }

// size returns the size of the named model. A model that is not listed, for example one that
// was removed from the configuration, is taken to be as large as any that is.
func (c Capacity) size(model string) ModelSize {
	largest := ModelSize{Name: model}
	for _, m := range c.Models {
		if m.Name == model {
			return m
		}
		largest.WeightsMB, largest.AdapterMB = max(largest.WeightsMB, m.WeightsMB), max(largest.AdapterMB, m.AdapterMB)
	}
	return largest
}

// Used returns what the models and adapters of an engine take, including those that are being
// loaded.
func (c Capacity) Used(r *Report) Usage {
	var u Usage
	for _, m := range r.Models {
		u.MB += c.size(m.Name).WeightsMB
	}
	for _, a := range r.Adapters {
		u = u.plus(c.adapter(a.Adapter))
	}
	for _, a := range r.Loading {
		u = u.plus(c.adapter(a.Adapter))
	}
	return u
}

// adapter returns what an adapter takes.
func (c Capacity) adapter(a Adapter) Usage { return Usage{Slots: 1, MB: c.size(a.Model).AdapterMB} }

// Excess returns by how much u exceeds the capacity.
func (c Capacity) Excess(u Usage) Usage {
	return Usage{Slots: max(0, u.Slots-c.AdapterSlots), MB: max(0, u.MB-c.WeightsMB)}
}
