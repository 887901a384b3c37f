package peer

// AdapterVersion names an adapter of a model and a version of it.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int64
}

// EngineTerms tells a targetd what its engine is and has room for.
type EngineTerms struct {
	Instance     string // identity of the engine's start
	Started      int64  // Unix milliseconds of the start
	Places       int    // for adapters
	WeightsMB    float64
	Model        string // that an empty engine loads
	ModelMB      float64
	AdapterMB    float64
	AtOnce       int              // adapters that the engine loads at the same time
	Announced    []AdapterVersion // newest versions
	AllAnnounced bool             // Announced is complete, not only what is new
}

// AdapterWant is a need for an adapter, or a report of its use.
type AdapterWant struct {
	AdapterVersion
	Waiting int // requests that wait for it
	Used    int // requests sent since the last report
	Running int // requests that run on it
}

// AdapterWants tells a targetd what its sender's requests need.
type AdapterWants struct {
	Wants []AdapterWant
}

// EngineState is what a targetd knows of its engine.
type EngineState struct {
	Instance   string
	Started    int64 // Unix milliseconds of the engine's start
	Reachable  bool  // the engine answers its targetd
	Models     []string
	Resident   []AdapterVersion
	Coming     []AdapterVersion
	Running    int
	Queued     int
	InUse      int // cache tokens
	Tokens     int // cache tokens in all
	Unanswered int // orders in a row that got no answer
	Wanted     int // missing adapters that requests wait for
	Entries    int // processes connected to the targetd that take callers' requests
}

// CrashReport names the requests that were running at an engine's crash.
type CrashReport struct {
	Engine       string // identity of the engine's start
	Fingerprints [][]byte
}

type adapterVersionWire struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
}

func adapterVersionsToWire(in []AdapterVersion) []adapterVersionWire {
	var out []adapterVersionWire
	for _, a := range in {
		out = append(out, adapterVersionWire{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return out
}

func adapterVersions(in []adapterVersionWire) []AdapterVersion {
	var out []AdapterVersion
	for _, w := range in {
		out = append(out, AdapterVersion{Model: w.Model, Adapter: w.Adapter, Version: w.Version})
	}
	return out
}

type engineTermsWire struct {
	_            struct{} `cbor:",toarray"`
	Instance     string
	Started      int64
	Places       int
	WeightsMB    float64
	Model        string
	ModelMB      float64
	AdapterMB    float64
	AtOnce       int
	Announced    []adapterVersionWire
	AllAnnounced bool
}

func engineTermsToWire(m EngineTerms) *engineTermsWire {
	return &engineTermsWire{
		Instance:     m.Instance,
		Started:      m.Started,
		Places:       m.Places,
		WeightsMB:    m.WeightsMB,
		Model:        m.Model,
		ModelMB:      m.ModelMB,
		AdapterMB:    m.AdapterMB,
		AtOnce:       m.AtOnce,
		Announced:    adapterVersionsToWire(m.Announced),
		AllAnnounced: m.AllAnnounced,
	}
}

func (w *engineTermsWire) message() Message {
	return EngineTerms{
		Instance:     w.Instance,
		Started:      w.Started,
		Places:       w.Places,
		WeightsMB:    w.WeightsMB,
		Model:        w.Model,
		ModelMB:      w.ModelMB,
		AdapterMB:    w.AdapterMB,
		AtOnce:       w.AtOnce,
		Announced:    adapterVersions(w.Announced),
		AllAnnounced: w.AllAnnounced,
	}
}

type adapterWantWire struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
	Waiting int
	Used    int
	Running int
}

type adapterWantsWire struct {
	_     struct{} `cbor:",toarray"`
	Wants []adapterWantWire
}

func adapterWantsToWire(m AdapterWants) *adapterWantsWire {
	w := &adapterWantsWire{}
	for _, a := range m.Wants {
		w.Wants = append(w.Wants, adapterWantWire{
			Model:   a.Model,
			Adapter: a.Adapter,
			Version: a.Version,
			Waiting: a.Waiting,
			Used:    a.Used,
			Running: a.Running,
		})
	}
	return w
}

func (w *adapterWantsWire) message() Message {
	m := AdapterWants{}
	for _, a := range w.Wants {
		m.Wants = append(m.Wants, AdapterWant{
			AdapterVersion: AdapterVersion{Model: a.Model, Adapter: a.Adapter, Version: a.Version},
			Waiting:        a.Waiting,
			Used:           a.Used,
			Running:        a.Running,
		})
	}
	return m
}

type engineStateWire struct {
	_          struct{} `cbor:",toarray"`
	Instance   string
	Started    int64
	Reachable  bool
	Models     []string
	Resident   []adapterVersionWire
	Coming     []adapterVersionWire
	Running    int
	Queued     int
	InUse      int
	Tokens     int
	Unanswered int
	Wanted     int
	Entries    int
}

func engineStateToWire(m EngineState) *engineStateWire {
	return &engineStateWire{
		Instance:   m.Instance,
		Started:    m.Started,
		Reachable:  m.Reachable,
		Models:     m.Models,
		Resident:   adapterVersionsToWire(m.Resident),
		Coming:     adapterVersionsToWire(m.Coming),
		Running:    m.Running,
		Queued:     m.Queued,
		InUse:      m.InUse,
		Tokens:     m.Tokens,
		Unanswered: m.Unanswered,
		Wanted:     m.Wanted,
		Entries:    m.Entries,
	}
}

func (w *engineStateWire) message() Message {
	return EngineState{
		Instance:   w.Instance,
		Started:    w.Started,
		Reachable:  w.Reachable,
		Models:     w.Models,
		Resident:   adapterVersions(w.Resident),
		Coming:     adapterVersions(w.Coming),
		Running:    w.Running,
		Queued:     w.Queued,
		InUse:      w.InUse,
		Tokens:     w.Tokens,
		Unanswered: w.Unanswered,
		Wanted:     w.Wanted,
		Entries:    w.Entries,
	}
}

type crashReportWire struct {
	_            struct{} `cbor:",toarray"`
	Engine       string
	Fingerprints [][]byte
}

func (w *crashReportWire) message() Message {
	return CrashReport{Engine: w.Engine, Fingerprints: w.Fingerprints}
}
