package peer

// Drain asks a targetd to accept no more requests because its target is
// leaving. A targetd with another fencing token ignores the message.
type Drain struct {
	Epoch uint64 // fencing token of the targetd
}

type drainWire struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
}

func (w *drainWire) message() Message { return Drain{Epoch: w.Epoch} }
