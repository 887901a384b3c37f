package suspects

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// Writer is the part of the object API that writes crashes.
type Writer interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// Recorder writes the crashes of one target.
type Recorder struct {
	store Writer
}

// NewRecorder returns a recorder that writes to store.
func NewRecorder(store Writer) *Recorder { return &Recorder{store: store} }

// Record writes a crash. A crash that is there already stays as it is, so that
// a write whose answer was lost may be tried again.
func (r *Recorder) Record(ctx context.Context, c quarantine.Crash) error {
	_, err := r.store.Put(ctx, objects.Suspects, c.Name, Encode(c), 0)
	if objects.IsKind(err, objects.Conflict) {
		return nil
	}
	return err
}

type crashWire struct {
	Target   string   `cbor:"target"`
	AtMS     int64    `cbor:"at_ms"` // since the Unix epoch
	InFlight [][]byte `cbor:"in_flight"`
	Cleared  [][]byte `cbor:"cleared"`
}

// Encode returns c in the form that the object API keeps, without its name.
func Encode(c quarantine.Crash) []byte {
	b, err := cbor.Marshal(crashWire{
		Target:   c.Target,
		AtMS:     c.At.UnixMilli(),
		InFlight: encodeAll(c.InFlight),
		Cleared:  encodeAll(c.Cleared),
	})
	if err != nil {
		panic("suspects: cannot encode: " + err.Error())
	}
	return b
}

// Decode is the inverse of Encode for the object called name. The error is of
// kind Corrupt for other input.
func Decode(name string, b []byte) (quarantine.Crash, error) {
	var w crashWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return quarantine.Crash{}, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	inFlight, ok := decodeAll(w.InFlight)
	cleared, okCleared := decodeAll(w.Cleared)
	if !ok || !okCleared {
		return quarantine.Crash{}, &Error{Op: "decode", Kind: Corrupt}
	}
	return quarantine.Crash{
		Name:     name,
		Target:   w.Target,
		At:       time.UnixMilli(w.AtMS),
		InFlight: inFlight,
		Cleared:  cleared,
	}, nil
}

func encodeAll(fs []quarantine.Fingerprint) [][]byte {
	var out [][]byte
	for _, f := range fs {
		out = append(out, f[:])
	}
	return out
}

func decodeAll(bs [][]byte) ([]quarantine.Fingerprint, bool) {
	var out []quarantine.Fingerprint
	for _, b := range bs {
		if len(b) != len(quarantine.Fingerprint{}) {
			return nil, false
		}
		out = append(out, quarantine.Fingerprint(b))
	}
	return out, true
}
