package peer

// Residency is a routing hint about a targetd: its load and the adapters that
// are resident in its engine or will be loaded for queued requests. It is sent
// before the end of a response on the same connection.
type Residency struct {
	Adapters       []uint64 // hashes of the adapters' names
	EvictionDemand float64  // decayed demand for the adapter that a load would evict
	Requests       int      // requests that run or wait for nothing but a slot
}

type residencyWire struct {
	_              struct{} `cbor:",toarray"`
	Adapters       []uint64
	EvictionDemand float64
	Requests       int
}

func (w *residencyWire) message() Message {
	return Residency{Adapters: w.Adapters, EvictionDemand: w.EvictionDemand, Requests: w.Requests}
}
