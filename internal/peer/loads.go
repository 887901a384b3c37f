package peer

import "time"

// AllocatorNotice announces that the sender is an allocator of load permits.
type AllocatorNotice struct{}

// LoadNeed is a targetd's need for a load permit; see dispatch.LoadNeed.
type LoadNeed struct {
	Team        string
	Waiting     int           // requests that wait for the load; zero for a prefetch
	StartWithin time.Duration // time left until the earliest start-by time, when the message is sent
	LentShare   float64       // fraction of the target that a borrowing team may use; zero for the owner
}

// LoadReport gives load permits of a targetd to the allocator and replaces the
// needs that the targetd reported before.
type LoadReport struct {
	Permits float64 // permits given
	Needs   []LoadNeed
}

// LoadGrant gives a targetd one load permit for a need of a team.
type LoadGrant struct {
	Team string
}

type allocatorNoticeWire struct {
	_ struct{} `cbor:",toarray"`
}

func (*allocatorNoticeWire) message() Message { return AllocatorNotice{} }

type loadNeedWire struct {
	_             struct{} `cbor:",toarray"`
	Team          string
	Waiting       int
	StartWithinMS int64
	LentShare     float64
}

type loadReportWire struct {
	_       struct{} `cbor:",toarray"`
	Permits float64
	Needs   []loadNeedWire
}

func loadReportToWire(m LoadReport) *loadReportWire {
	w := &loadReportWire{Permits: m.Permits}
	for _, n := range m.Needs {
		w.Needs = append(w.Needs, loadNeedWire{
			Team:          n.Team,
			Waiting:       n.Waiting,
			StartWithinMS: n.StartWithin.Milliseconds(),
			LentShare:     n.LentShare,
		})
	}
	return w
}

func (w *loadReportWire) message() Message {
	m := LoadReport{Permits: w.Permits}
	for _, n := range w.Needs {
		m.Needs = append(m.Needs, LoadNeed{
			Team:        n.Team,
			Waiting:     n.Waiting,
			StartWithin: time.Duration(n.StartWithinMS) * time.Millisecond,
			LentShare:   n.LentShare,
		})
	}
	return m
}

type loadGrantWire struct {
	_    struct{} `cbor:",toarray"`
	Team string
}

func (w *loadGrantWire) message() Message { return LoadGrant{Team: w.Team} }
