package peer

// Residency is a hint of a targetd's load and of the adapters that its engine
// holds or will hold for requests that wait. It goes before the end of an
// answer on the same connection.
type Residency struct {
	Adapters []uint64 // hashes of the adapters' names
	Floor    float64  // decayed demand for the adapter that a load would replace
	Load     int      // requests that run or wait for a slot only
}

type residencyWire struct {
	_        struct{} `cbor:",toarray"`
	Adapters []uint64
	Floor    float64
	Load     int
}

func (w *residencyWire) message() Message {
	return Residency{Adapters: w.Adapters, Floor: w.Floor, Load: w.Load}
}
