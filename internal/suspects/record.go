package suspects

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// Writer reads and writes objects with optimistic concurrency control.
type Writer interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// Recorder writes the crash records of one target.
type Recorder struct {
	store Writer
}

// NewRecorder returns a recorder that writes to store.
func NewRecorder(store Writer) *Recorder { return &Recorder{store: store} }

// Record writes a crash. An existing record of the crash is left unchanged, so
// that a write whose response was lost can be retried. The error is that of the
// store.
func (r *Recorder) Record(ctx context.Context, c quarantine.Crash) error {
	_, err := r.store.Put(ctx, objects.Suspects, c.Name, Encode(c), 0)
	if objects.IsKind(err, objects.Conflict) {
		return nil
	}
	return err
}

// crashRecord is the stored form of a crash.
type crashRecord struct {
	Target   string   `cbor:"target"`
	AtMS     int64    `cbor:"at_ms"` // Unix time in milliseconds
	InFlight [][]byte `cbor:"in_flight"`
	Cleared  [][]byte `cbor:"cleared"`
}

// Encode returns the stored form of c, without its name, which is the object's.
func Encode(c quarantine.Crash) []byte {
	b, err := cbor.Marshal(crashRecord{
		Target:   c.Target,
		AtMS:     c.At.UnixMilli(),
		InFlight: encodeAll(c.InFlight),
		Cleared:  encodeAll(c.Cleared),
	})
	if err != nil {
		panic("suspects: cannot encode crash: " + err.Error())
	}
	return b
}

// Decode is the inverse of Encode for the object called name. If b is not the
// result of Encode, the error is of kind Corrupt.
func Decode(name string, b []byte) (quarantine.Crash, error) {
	var rec crashRecord
	if err := cbor.Unmarshal(b, &rec); err != nil {
		return quarantine.Crash{}, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	inFlight, ok := decodeAll(rec.InFlight)
	cleared, okCleared := decodeAll(rec.Cleared)
	if !ok || !okCleared {
		return quarantine.Crash{}, &Error{Op: "decode", Kind: Corrupt}
	}
	return quarantine.Crash{
		Name:     name,
		Target:   rec.Target,
		At:       time.UnixMilli(rec.AtMS),
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
