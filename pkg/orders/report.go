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

// Capacity is the capacity of an engine for models and adapters.
type Capacity struct {
	AdapterSlots int
	WeightsMB    float64 // memory for the model and the adapters together, in MB
	Model        string  // model that an empty engine loads
	ModelMB      float64 // size of the model in MB
	AdapterMB    float64 // size of one adapter in MB, zero if unknown
	MaxLoads     int     // maximum number of concurrent adapter loads
}

// Adapters returns the number of adapters that fit beside the model: the number
// of slots, or fewer if the memory does not suffice for them.
func (c Capacity) Adapters() int {
	n := c.AdapterSlots
	if c.AdapterMB > 0 {
		n = min(n, int((c.WeightsMB-c.ModelMB)/c.AdapterMB))
	}
	return max(0, n)
}
