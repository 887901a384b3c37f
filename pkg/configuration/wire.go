package configuration

import (
	"github.com/borageusher/borageusher/pkg/adapter"
)

// The wire types are the encoded form of sections and roots. They are encoded as
// arrays in field order, so new fields may only be added at the end.

type rootWire struct {
	_               struct{} `cbor:",toarray"`
	Revision        uint64
	ChangeID        string
	Operator        string
	Sections        []sectionRefWire
	PreviousChanges []string
}

type sectionRefWire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Digest []byte
}

type teamWire struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Keys     [][]byte
	Services []serviceWire
}

type serviceWire struct {
	_                  struct{} `cbor:",toarray"`
	Name               string
	Kind               uint8
	Base               string
	Share              float64
	Borrowers          []string
	RefusesStaleOrders bool
}

type adaptersWire struct {
	_        struct{} `cbor:",toarray"`
	Adapters []adapterWire
}

type adapterWire struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Name     string
	Service  string
	Versions []uint32
	Current  uint32
}

func teamToWire(t *Team) teamWire {
	w := teamWire{Name: t.Name}
	for _, k := range t.Keys {
		w.Keys = append(w.Keys, append([]byte(nil), k[:]...))
	}
	for _, s := range t.Services {
		w.Services = append(w.Services, serviceWire{
			Name:               s.Name,
			Kind:               uint8(s.Kind),
			Base:               s.Base,
			Share:              s.Lending.Share,
			Borrowers:          s.Lending.Borrowers,
			RefusesStaleOrders: s.RefusesStaleOrders,
		})
	}
	return w
}

func (w *teamWire) team() (Team, error) {
	t := Team{Name: w.Name}
	for _, k := range w.Keys {
		d, ok := digestFromBytes(k)
		if !ok {
			return Team{}, &Error{Op: "decode team", Kind: Corrupt, Section: w.Name}
		}
		t.Keys = append(t.Keys, d)
	}
	for _, s := range w.Services {
		t.Services = append(t.Services, Service{
			Name:               s.Name,
			Kind:               ServiceKind(s.Kind),
			Base:               s.Base,
			Lending:            Lending{Share: s.Share, Borrowers: s.Borrowers},
			RefusesStaleOrders: s.RefusesStaleOrders,
		})
	}
	return t, nil
}

func adapterToWire(a *Adapter) adapterWire {
	return adapterWire{
		Team:     a.Team,
		Name:     a.Name,
		Service:  a.Service,
		Versions: versionsToWire(a.Versions),
		Current:  uint32(a.Current),
	}
}

func (w *adapterWire) adapter() Adapter {
	a := Adapter{Team: w.Team, Name: w.Name, Service: w.Service, Current: adapter.Version(w.Current)}
	for _, v := range w.Versions {
		a.Versions = append(a.Versions, adapter.Version(v))
	}
	return a
}
