package peer

import (
	"net/http"
	"slices"

	"github.com/borageusher/borageusher/pkg/orders"
)

// AdapterVersion names an adapter of a model and a version of it.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int64
}

// EngineSpec tells a targetd the identity and capacity of its engine and the
// newest adapter versions.
type EngineSpec struct {
	Instance     string // identifies the start of the engine
	Started      int64  // start of the engine, in Unix milliseconds
	AdapterSlots int
	WeightsMB    float64          // memory for the weights of models and adapters together
	Model        string           // model that an empty engine loads
	ModelMB      float64          // size of Model's weights
	AdapterMB    float64          // size of one adapter
	MaxLoads     int              // maximum number of concurrent adapter loads
	Announced    []AdapterVersion // newest versions
	Paces        bool             // the sender offers its prompts if the targetd paces them
}

// EngineModels tells a targetd the sizes of the models that its engine may hold. It is sent
// before the EngineSpec of the same start, and only to a targetd that announces that it plans by
// them; processes of earlier releases don't know the message.
type EngineModels struct {
	Started int64 // start of the engine, in Unix milliseconds
	Models  []orders.ModelSize
}

// plansByModelHeader is the header of the response to a WebSocket upgrade by which a targetd
// announces that it plans by EngineModels. Earlier releases ignore it.
const plansByModelHeader = "Plans-By-Model"

// AnnounceModels announces in the header of the response to an upgrade that this process plans by
// EngineModels. It is to be called before Accept.
func AnnounceModels(h http.Header) { h.Set(plansByModelHeader, "1") }

// PlansByModel reports whether the process at the other end of a dialled connection plans by
// EngineModels.
func (c *Conn) PlansByModel() bool { return c.plansByModel }

// AdapterDemand is the sender's demand for an adapter, or a report of its use.
type AdapterDemand struct {
	AdapterVersion
	Waiting int // requests that wait for the adapter
	Used    int // requests sent since the last report of use
	Running int // requests that run on the adapter
}

// AdapterDemands tells a targetd which adapters the sender's requests demand.
type AdapterDemands struct {
	Demands []AdapterDemand
}

// EngineState is the state of an engine as its targetd last observed it.
type EngineState struct {
	Instance         string   // identifies the start of the engine
	Started          int64    // start of the engine, in Unix milliseconds
	Reachable        bool     // the engine responds to its targetd
	Departing        bool     // the engine accepts no new work
	Models           []string // names of the models whose weights are loaded
	Resident         []AdapterVersion
	Loading          []AdapterVersion
	UnansweredOrders int // consecutive orders that got no response
	ConnectedEntries int // number of connected entryds
}

// EngineLoad is the load of a targetd's engine. It is a message of its own
// because EngineState is larger and changes less often.
type EngineLoad struct {
	Running         int  // running requests
	Queued          int  // queued requests
	MissingAdapters int  // adapters that requests wait for and that are not resident
	Full            bool // no adapter can be evicted now to load the missing ones
}

// CrashReport identifies the requests that were running when an engine crashed.
type CrashReport struct {
	Engine       string   // identifies the start of the engine
	Fingerprints [][]byte // of the requests
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

type engineSpecWire struct {
	_            struct{} `cbor:",toarray"`
	Instance     string
	Started      int64
	AdapterSlots int
	WeightsMB    float64
	Model        string
	ModelMB      float64
	AdapterMB    float64
	MaxLoads     int
	Announced    []adapterVersionWire
	Unpaced      bool // true in earlier releases, which ignore it
}

func engineSpecToWire(m EngineSpec) *engineSpecWire {
	return &engineSpecWire{
		Instance:     m.Instance,
		Started:      m.Started,
		AdapterSlots: m.AdapterSlots,
		WeightsMB:    m.WeightsMB,
		Model:        m.Model,
		ModelMB:      m.ModelMB,
		AdapterMB:    m.AdapterMB,
		MaxLoads:     m.MaxLoads,
		Announced:    adapterVersionsToWire(m.Announced),
		Unpaced:      !m.Paces,
	}
}

func (w *engineSpecWire) message() Message {
	return EngineSpec{
		Instance:     w.Instance,
		Started:      w.Started,
		AdapterSlots: w.AdapterSlots,
		WeightsMB:    w.WeightsMB,
		Model:        w.Model,
		ModelMB:      w.ModelMB,
		AdapterMB:    w.AdapterMB,
		MaxLoads:     w.MaxLoads,
		Announced:    adapterVersions(w.Announced),
		Paces:        !w.Unpaced,
	}
}

type engineModelsWire struct {
	_       struct{} `cbor:",toarray"`
	Started int64
	Models  []modelSizeWire
}

type modelSizeWire struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	WeightsMB float64
	AdapterMB float64
}

func engineModelsToWire(m EngineModels) *engineModelsWire {
	w := &engineModelsWire{Started: m.Started}
	for _, s := range m.Models {
		w.Models = append(w.Models, modelSizeWire{Name: s.Name, WeightsMB: s.WeightsMB, AdapterMB: s.AdapterMB})
	}
	return w
}

func (w *engineModelsWire) message() Message {
	m := EngineModels{Started: w.Started}
	for _, s := range w.Models {
		m.Models = append(m.Models, orders.ModelSize{Name: s.Name, WeightsMB: s.WeightsMB, AdapterMB: s.AdapterMB})
	}
	return m
}

type adapterDemandWire struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
	Waiting int
	Used    int
	Running int
}

type adapterDemandsWire struct {
	_       struct{} `cbor:",toarray"`
	Demands []adapterDemandWire
}

func adapterDemandsToWire(m AdapterDemands) *adapterDemandsWire {
	w := &adapterDemandsWire{}
	for _, a := range m.Demands {
		w.Demands = append(w.Demands, adapterDemandWire{
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

func (w *adapterDemandsWire) message() Message {
	m := AdapterDemands{}
	for _, a := range w.Demands {
		m.Demands = append(m.Demands, AdapterDemand{
			AdapterVersion: AdapterVersion{Model: a.Model, Adapter: a.Adapter, Version: a.Version},
			Waiting:        a.Waiting,
			Used:           a.Used,
			Running:        a.Running,
		})
	}
	return m
}

type engineStateWire struct {
	_                struct{} `cbor:",toarray"`
	Instance         string
	Started          int64
	Reachable        bool
	Departing        bool
	Models           []string
	Resident         []indexedAdapterWire
	Loading          []indexedAdapterWire
	UnansweredOrders int
	ConnectedEntries int
}

// indexedAdapterWire refers to an adapter's model by its index in the list of
// models, because the names of models are long and few.
type indexedAdapterWire struct {
	_       struct{} `cbor:",toarray"`
	Model   int
	Adapter string
	Version int64
}

func indexedAdaptersToWire(models []string, in []AdapterVersion) []indexedAdapterWire {
	var out []indexedAdapterWire
	for _, a := range in {
		out = append(out, indexedAdapterWire{Model: slices.Index(models, a.Model), Adapter: a.Adapter, Version: a.Version})
	}
	return out
}

func indexedAdapters(models []string, in []indexedAdapterWire) []AdapterVersion {
	var out []AdapterVersion
	for _, w := range in {
		if w.Model < 0 || w.Model >= len(models) {
			continue // the list of models does not have the model
		}
		out = append(out, AdapterVersion{Model: models[w.Model], Adapter: w.Adapter, Version: w.Version})
	}
	return out
}

func engineStateToWire(m EngineState) *engineStateWire {
	return &engineStateWire{
		Instance:         m.Instance,
		Started:          m.Started,
		Reachable:        m.Reachable,
		Departing:        m.Departing,
		Models:           m.Models,
		Resident:         indexedAdaptersToWire(m.Models, m.Resident),
		Loading:          indexedAdaptersToWire(m.Models, m.Loading),
		UnansweredOrders: m.UnansweredOrders,
		ConnectedEntries: m.ConnectedEntries,
	}
}

func (w *engineStateWire) message() Message {
	return EngineState{
		Instance:         w.Instance,
		Started:          w.Started,
		Reachable:        w.Reachable,
		Departing:        w.Departing,
		Models:           w.Models,
		Resident:         indexedAdapters(w.Models, w.Resident),
		Loading:          indexedAdapters(w.Models, w.Loading),
		UnansweredOrders: w.UnansweredOrders,
		ConnectedEntries: w.ConnectedEntries,
	}
}

type engineLoadWire struct {
	_               struct{} `cbor:",toarray"`
	Running         int
	Queued          int
	MissingAdapters int
	Full            bool
}

func (w *engineLoadWire) message() Message {
	return EngineLoad{Running: w.Running, Queued: w.Queued, MissingAdapters: w.MissingAdapters, Full: w.Full}
}

type crashReportWire struct {
	_            struct{} `cbor:",toarray"`
	Engine       string
	Fingerprints [][]byte
}

func (w *crashReportWire) message() Message {
	return CrashReport{Engine: w.Engine, Fingerprints: w.Fingerprints}
}
