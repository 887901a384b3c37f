package peer

import (
	"math"
	"net/http"
	"time"
)

// CreditRequest asks a targetd for the credit of workspaces. An entryd sends one for all
// workspaces of which the targetd is the issuer, and waits for the answer before the next
// one. It is sent only to a targetd that announces that it issues credit; processes of
// earlier releases know none of the messages in this file.
type CreditRequest struct {
	ID         uint64 // unique on the connection
	First      bool   // the targetd is the first choice among those listed, whether connected or not
	Age        time.Duration
	Entryds    int // highest number that the sender knows of
	Workspaces []CreditDemand
}

// CreditDemand is what an entryd asks for a workspace. Units are whole.
type CreditDemand struct {
	Workspace string
	PerSecond float64
	Burst     float64
	Version   int64   // of the configuration that states the two
	Held      float64 // balance, negative if overdrawn
	Ask       float64
	Need      float64 // least credit with which a waiting request can go on, zero if none waits
	Demand    float64 // units a second that callers ask for
	Returned  float64 // credit that is not needed any more
}

// CreditAnswer answers a CreditRequest.
type CreditAnswer struct {
	ID     uint64
	Grants []CreditGrant // in the order of the request
}

// CreditGrant is the answer for one workspace.
type CreditGrant struct {
	Units float64
	Short bool          // credit does not suffice for what all entryds ask for
	Wait  time.Duration // until there is credit again, if nothing was granted
}

// issuesCreditHeader is the header of the response to a WebSocket upgrade by which a
// targetd announces that it issues credit. Earlier releases ignore it.
const issuesCreditHeader = "Issues-Credit"

// AnnounceCredit announces in the header of the response to an upgrade that this process
// issues credit. It is to be called before Accept.
func AnnounceCredit(h http.Header) { h.Set(issuesCreditHeader, "1") }

// IssuesCredit reports whether the process at the other end of a dialled connection issues
// credit.
func (c *Conn) IssuesCredit() bool { return c.issuesCredit }

type creditRequestWire struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	First      bool
	AgeMS      int64
	Entryds    int
	Workspaces []creditDemandWire
}

type creditDemandWire struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	PerSecond float64
	Burst     float64
	Version   int64
	Held      int64
	Ask       int64
	Need      int64
	Demand    int64
	Returned  int64
}

type creditAnswerWire struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Grants []creditGrantWire
}

type creditGrantWire struct {
	_      struct{} `cbor:",toarray"`
	Units  int64
	Short  bool
	WaitMS int64
}

func creditRequestToWire(m CreditRequest) *creditRequestWire {
	w := &creditRequestWire{ID: m.ID, First: m.First, AgeMS: m.Age.Milliseconds(), Entryds: m.Entryds}
	for _, d := range m.Workspaces {
		w.Workspaces = append(w.Workspaces, creditDemandWire{
			Workspace: d.Workspace,
			PerSecond: d.PerSecond,
			Burst:     d.Burst,
			Version:   d.Version,
			Held:      int64(math.Floor(d.Held)),
			Ask:       int64(math.Ceil(d.Ask)),
			Need:      int64(math.Ceil(d.Need)),
			Demand:    int64(math.Ceil(d.Demand)),
			Returned:  int64(math.Floor(d.Returned)),
		})
	}
	return w
}

func (w *creditRequestWire) message() Message {
	m := CreditRequest{ID: w.ID, First: w.First, Age: time.Duration(w.AgeMS) * time.Millisecond, Entryds: w.Entryds}
	for _, d := range w.Workspaces {
		m.Workspaces = append(m.Workspaces, CreditDemand{
			Workspace: d.Workspace,
			PerSecond: d.PerSecond,
			Burst:     d.Burst,
			Version:   d.Version,
			Held:      float64(d.Held),
			Ask:       float64(d.Ask),
			Need:      float64(d.Need),
			Demand:    float64(d.Demand),
			Returned:  float64(d.Returned),
		})
	}
	return m
}

func creditAnswerToWire(m CreditAnswer) *creditAnswerWire {
	w := &creditAnswerWire{ID: m.ID}
	for _, g := range m.Grants {
		w.Grants = append(w.Grants, creditGrantWire{Units: int64(math.Floor(g.Units)), Short: g.Short, WaitMS: g.Wait.Milliseconds()})
	}
	return w
}

func (w *creditAnswerWire) message() Message {
	m := CreditAnswer{ID: w.ID}
	for _, g := range w.Grants {
		m.Grants = append(m.Grants, CreditGrant{Units: float64(g.Units), Short: g.Short, Wait: time.Duration(g.WaitMS) * time.Millisecond})
	}
	return m
}
