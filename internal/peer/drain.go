package peer

// Drain asks a targetd to take no more work: its target leaves. A targetd with
// another fencing number ignores it.
type Drain struct {
	Epoch uint64
}

type drainWire struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
}

func (w *drainWire) message() Message { return Drain{Epoch: w.Epoch} }
