// Package registration keeps the targets' registrations in the object API: one
// object a target, written when its targetd starts and when it leaves.
//
// The registration carries the target's epoch, the fencing number of all
// orders to its engine. Each start of a targetd raises it by one conditional
// write, so two starts never have the same one.
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

// Store is the part of the object API that registrations need.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// Record is a registration with the version of its object.
type Record struct {
	Target  target.Target
	Version objects.Version
}

// maxConflicts bounds the attempts of one registration against other writers.
const maxConflicts = 10

// Register writes self with the next epoch and returns what it wrote. It
// settles a write whose answer was lost by reading the object back.
func Register(ctx context.Context, store Store, self target.Target) (Record, error) {
	for range maxConflicts {
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

// readBack returns the registration if it is this process's own.
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

// SetState writes another state into a registration that is still rec's. A
// state that is as far on already stays, so a target never comes back to an
// earlier one. The error is of kind Replaced when another process has
// registered the target.
func SetState(ctx context.Context, store Store, rec Record, state target.State) (Record, error) {
	for range maxConflicts {
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

// reread returns what rec has become. The error is of kind Replaced when it is
// another process's.
func reread(ctx context.Context, store Store, rec Record) (Record, error) {
	back, err := readBack(ctx, store, rec.Target)
	switch {
	case objects.IsKind(err, objects.Conflict), objects.IsKind(err, objects.NotFound):
		return rec, &Error{Op: "set state", Kind: Replaced, Err: err}
	case err != nil:
		return rec, err
	}
	return back, nil
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

// Encode returns t in the form that the object API keeps.
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
		panic("registration: cannot encode: " + err.Error())
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
