// Package registration stores the registrations of targets in the object API:
// one object per target, written when its targetd starts and when its state
// changes.
//
// A registration contains the target's epoch, which is the fencing token of all
// orders to its engine. Each start of a targetd increments the epoch by a
// conditional write, so that no two starts have the same epoch.
//
// # Usage
//
//	rec, err := registration.Register(ctx, store, self)
//	...
//	err = registration.SetState(ctx, store, rec, target.Leaving)
package registration

import (
	"context"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/target"
)

// Store is the subset of the object API that registrations need. It is
// implemented by objects.Client.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// Record is a registration with the version of its object.
type Record struct {
	Target  target.Target
	Version objects.Version
}

// maxAttempts limits the attempts to write a registration when other writers
// conflict.
const maxAttempts = 10

// Register writes self with the next epoch and returns the written record. A
// process that is registered already keeps its registration. If the outcome of
// the write is uncertain, Register reads the object back. The error is of kind
// Contended after maxAttempts conflicting writes.
func Register(ctx context.Context, store Store, self target.Target) (Record, error) {
	for range maxAttempts {
		rec, err := registerOnce(ctx, store, self)
		if err == nil || !objects.IsKind(err, objects.Conflict) {
			return rec, err
		}
	}
	return Record{}, &Error{Op: "register", Kind: Contended}
}

func registerOnce(ctx context.Context, store Store, self target.Target) (Record, error) {
	old, err := store.Get(ctx, objects.Targets, self.Name)
	if err != nil && !objects.IsKind(err, objects.NotFound) {
		return Record{}, err
	}
	if err == nil {
		previous, err := Decode(old.Value)
		if err != nil {
			return Record{}, err
		}
		if previous.SameProcess(self) {
			return Record{Target: previous, Version: old.Version}, nil
		}
		self.Epoch = previous.Epoch
	}
	self.Epoch++
	version, err := store.Put(ctx, objects.Targets, self.Name, Encode(self), old.Version)
	if objects.IsKind(err, objects.Uncertain) {
		return readBack(ctx, store, self)
	}
	return Record{Target: self, Version: version}, err
}

// readBack returns the stored registration of self. The error is an
// objects.Error of kind Conflict when another process has registered the target.
func readBack(ctx context.Context, store Store, self target.Target) (Record, error) {
	o, err := store.Get(ctx, objects.Targets, self.Name)
	if err != nil {
		return Record{}, err
	}
	t, err := Decode(o.Value)
	if err != nil {
		return Record{}, err
	}
	if !t.SameProcess(self) {
		return Record{}, &objects.Error{Op: "register", Kind: objects.Conflict}
	}
	return Record{Target: t, Version: o.Version}, nil
}

// SetState changes the state of the registration rec and returns the new record.
// A state that is the same or later already is kept, so that a target never
// returns to an earlier state. The error is of kind Replaced when another process
// has registered the target or its object was deleted, and of kind Contended
// after maxAttempts conflicting writes.
func SetState(ctx context.Context, store Store, rec Record, state target.State) (Record, error) {
	for range maxAttempts {
		if rec.Target.State >= state {
			return rec, nil
		}
		next := rec.Target
		next.State = state
		version, err := store.Put(ctx, objects.Targets, next.Name, Encode(next), rec.Version)
		if err == nil {
			return Record{Target: next, Version: version}, nil
		}
		if !objects.IsKind(err, objects.Conflict) && !objects.IsKind(err, objects.Uncertain) {
			return rec, err
		}
		rec, err = reread(ctx, store, rec)
		if err != nil {
			return rec, err
		}
	}
	return rec, &Error{Op: "set state", Kind: Contended}
}

// reread returns the current record of rec's registration. The error is of kind
// Replaced when another process has registered the target or its object was
// deleted.
func reread(ctx context.Context, store Store, rec Record) (Record, error) {
	current, err := readBack(ctx, store, rec.Target)
	switch {
	case objects.IsKind(err, objects.Conflict), objects.IsKind(err, objects.NotFound):
		return rec, &Error{Op: "set state", Kind: Replaced, Err: err}
	case err != nil:
		return rec, err
	}
	return current, nil
}

type recordWire struct {
	Name        string `cbor:"name"`
	Team        string `cbor:"team"`
	Service     string `cbor:"service"`
	Region      string `cbor:"region"`
	Zone        string `cbor:"zone"`
	Addr        string `cbor:"addr"`
	Epoch       uint64 `cbor:"epoch"`
	Incarnation string `cbor:"incarnation"`
	Slots       int    `cbor:"slots"`
	State       string `cbor:"state"`
}

// Encode returns t as stored in the object API.
func Encode(t target.Target) []byte {
	b, err := cbor.Marshal(recordWire{
		Name:        t.Name,
		Team:        t.Team,
		Service:     t.Service,
		Region:      t.Region,
		Zone:        t.Zone,
		Addr:        t.Addr.String(),
		Epoch:       t.Epoch,
		Incarnation: t.Incarnation,
		Slots:       t.Slots,
		State:       t.State.String(),
	})
	if err != nil {
		panic("registration: encode: " + err.Error())
	}
	return b
}

// Decode is the inverse of Encode. The error is of kind Corrupt for other input.
func Decode(b []byte) (target.Target, error) {
	var w recordWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return target.Target{}, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	addr, err := netip.ParseAddrPort(w.Addr)
	if err != nil {
		return target.Target{}, &Error{Op: "decode", Kind: Corrupt, Err: err}
	}
	state, ok := target.ParseState(w.State)
	if !ok {
		return target.Target{}, &Error{Op: "decode", Kind: Corrupt}
	}
	return target.Target{
		Name:        w.Name,
		Team:        w.Team,
		Service:     w.Service,
		Region:      w.Region,
		Zone:        w.Zone,
		Addr:        addr,
		Epoch:       w.Epoch,
		Incarnation: w.Incarnation,
		Slots:       w.Slots,
		State:       state,
	}, nil
}
