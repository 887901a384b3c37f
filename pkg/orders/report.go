package orders

// Adapter names an adapter of a model.
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

// Report is what an engine says of itself.
type Report struct {
	Instance  string // identity of the engine's start, empty if it does not tell
	Started   int64  // Unix milliseconds of the engine's start
	Models    []Model
	Adapters  []Resident
	Coming    []Resident // adapters that are being loaded; they take a place already
	Changing  bool       // an order for a model's weights is being carried out
	Sequence  int64      // orders accepted so far
	Running   int
	Queued    int
	InUse     int // cache tokens that can't be freed
	Tokens    int // cache tokens in all
	Departing bool
}

// Holds reports whether the engine holds the model's weights.
func (r *Report) Holds(model string) bool {
	for _, m := range r.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// VersionOf returns the version of an adapter that the engine holds.
func (r *Report) VersionOf(a Adapter) (int64, bool) {
	return find(r.Adapters, a)
}

// Arriving returns the version of an adapter that the engine is loading.
func (r *Report) Arriving(a Adapter) (int64, bool) {
	return find(r.Coming, a)
}

func find(in []Resident, a Adapter) (int64, bool) {
	for _, h := range in {
		if h.Adapter == a {
			return h.Version, true
		}
	}
	return 0, false
}

// Order tells an engine to load or unload something. Without an adapter's name
// it concerns the weights of the model.
type Order struct {
	Unload  bool
	Adapter Adapter
	Version int64 // to load, zero for the newest
}

// Capacity is what an engine has room for.
type Capacity struct {
	Places    int     // for adapters
	WeightsMB float64 // for weights and adapters together
	Model     string  // the model that an empty engine loads
	ModelMB   float64
	AdapterMB float64
	InFlight  int // adapters that are loaded at the same time
}

// Adapters returns the number of adapters that fit.
func (c Capacity) Adapters() int {
	n := c.Places
	if c.AdapterMB > 0 {
		n = min(n, int((c.WeightsMB-c.ModelMB)/c.AdapterMB))
	}
	return max(0, n)
}
