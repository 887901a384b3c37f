package peer

import "time"

// LoadOffer says that the sender grants rights to load.
type LoadOffer struct{}

// LoadNeed is a need for a right to load, as in package dispatch.
type LoadNeed struct {
	Team    string
	Waiting int
	StartBy time.Duration // time left, from sending
	Part    float64
}

// LoadReport gives rights of a targetd to the granter, and replaces the needs
// that it asked for before.
type LoadReport struct {
	Rights float64
	Needs  []LoadNeed
}

// LoadGrant gives a targetd one right to load for a team's need.
type LoadGrant struct {
	Team string
}

type loadOfferWire struct {
	_ struct{} `cbor:",toarray"`
}

func (*loadOfferWire) message() Message { return LoadOffer{} }

type loadNeedWire struct {
	_         struct{} `cbor:",toarray"`
	Team      string
	Waiting   int
	StartByMS int64
	Part      float64
}

type loadReportWire struct {
	_      struct{} `cbor:",toarray"`
	Rights float64
	Needs  []loadNeedWire
}

func loadReportToWire(m LoadReport) *loadReportWire {
	w := &loadReportWire{Rights: m.Rights}
	for _, n := range m.Needs {
		w.Needs = append(w.Needs, loadNeedWire{
			Team:      n.Team,
			Waiting:   n.Waiting,
			StartByMS: n.StartBy.Milliseconds(),
			Part:      n.Part,
		})
	}
	return w
}

func (w *loadReportWire) message() Message {
	m := LoadReport{Rights: w.Rights}
	for _, n := range w.Needs {
		m.Needs = append(m.Needs, LoadNeed{
			Team:    n.Team,
			Waiting: n.Waiting,
			StartBy: time.Duration(n.StartByMS) * time.Millisecond,
			Part:    n.Part,
		})
	}
	return m
}

type loadGrantWire struct {
	_    struct{} `cbor:",toarray"`
	Team string
}

func (w *loadGrantWire) message() Message { return LoadGrant{Team: w.Team} }
