package peer

import "slices"

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
	Departing  bool  // the engine takes nothing new
	Models     []string
	Resident   []AdapterVersion
	Coming     []AdapterVersion
	Unanswered int // orders in a row that got no answer
	Entries    int // processes connected to the targetd that take callers' requests
}

// EngineLoad is the load of a targetd's engine. It is sent apart from the state,
// which is larger and changes less often.
type EngineLoad struct {
	Running int
	Queued  int
	Wanted  int  // missing adapters that requests wait for
	Full    bool // no adapter can make way for them now
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
	Departing  bool
	Models     []string
	Resident   []heldWire
	Coming     []heldWire
	Unanswered int
	Entries    int
}

// heldWire names an adapter by its model's place in the list of models, as the
// names of models are long and few.
type heldWire struct {
	_       struct{} `cbor:",toarray"`
	Model   int
	Adapter string
	Version int64
}

func heldToWire(models []string, in []AdapterVersion) []heldWire {
	var out []heldWire
	for _, a := range in {
		out = append(out, heldWire{Model: slices.Index(models, a.Model), Adapter: a.Adapter, Version: a.Version})
	}
	return out
}

func held(models []string, in []heldWire) []AdapterVersion {
	var out []AdapterVersion
	for _, w := range in {
		if w.Model < 0 || w.Model >= len(models) {
			continue // of a model that the engine does not hold
		}
		out = append(out, AdapterVersion{Model: models[w.Model], Adapter: w.Adapter, Version: w.Version})
	}
	return out
}

func engineStateToWire(m EngineState) *engineStateWire {
	return &engineStateWire{
		Instance:   m.Instance,
		Started:    m.Started,
		Reachable:  m.Reachable,
		Departing:  m.Departing,
		Models:     m.Models,
		Resident:   heldToWire(m.Models, m.Resident),
		Coming:     heldToWire(m.Models, m.Coming),
		Unanswered: m.Unanswered,
		Entries:    m.Entries,
	}
}

func (w *engineStateWire) message() Message {
	return EngineState{
		Instance:   w.Instance,
		Started:    w.Started,
		Reachable:  w.Reachable,
		Departing:  w.Departing,
		Models:     w.Models,
		Resident:   held(w.Models, w.Resident),
		Coming:     held(w.Models, w.Coming),
		Unanswered: w.Unanswered,
		Entries:    w.Entries,
	}
}

type engineLoadWire struct {
	_       struct{} `cbor:",toarray"`
	Running int
	Queued  int
	Wanted  int
	Full    bool
}

func (w *engineLoadWire) message() Message {
	return EngineLoad{Running: w.Running, Queued: w.Queued, Wanted: w.Wanted, Full: w.Full}
}

type crashReportWire struct {
	_            struct{} `cbor:",toarray"`
	Engine       string
	Fingerprints [][]byte
}

func (w *crashReportWire) message() Message {
	return CrashReport{Engine: w.Engine, Fingerprints: w.Fingerprints}
}
