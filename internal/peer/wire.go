package peer

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
)

type helloWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Role        string
	Incarnation string
	Region      string
	Zone        string
	Epoch       uint64
	Nonce       []byte
	Proof       []byte
}

func helloToWire(m Hello) *helloWire {
	id := m.Identity
	return &helloWire{
		Name:        id.Name,
		Role:        id.Role,
		Incarnation: id.Incarnation,
		Region:      id.Region,
		Zone:        id.Zone,
		Epoch:       id.Epoch,
		Nonce:       m.Nonce,
		Proof:       m.Proof,
	}
}

func (w *helloWire) message() Message {
	return Hello{
		Identity: Identity{
			Name:        w.Name,
			Role:        w.Role,
			Incarnation: w.Incarnation,
			Region:      w.Region,
			Zone:        w.Zone,
			Epoch:       w.Epoch,
		},
		Nonce: w.Nonce,
		Proof: w.Proof,
	}
}

type proofWire struct {
	_     struct{} `cbor:",toarray"`
	Proof []byte
}

func (w *proofWire) message() Message { return Proof{Proof: w.Proof} }

type heartbeatWire struct {
	_              struct{} `cbor:",toarray"`
	Revision       uint64
	Running        int
	Queued         int
	Draining       bool
	MembersVersion uint64
	Active         bool
	Idle           bool
}

func heartbeatToWire(m Heartbeat) *heartbeatWire {
	return &heartbeatWire{
		Revision:       m.Revision,
		Running:        m.Running,
		Queued:         m.Queued,
		Draining:       m.Draining,
		MembersVersion: m.MembersVersion,
		Active:         m.Active,
		Idle:           m.Idle,
	}
}

func (w *heartbeatWire) message() Message {
	return Heartbeat{
		Revision:       w.Revision,
		Running:        w.Running,
		Queued:         w.Queued,
		Draining:       w.Draining,
		MembersVersion: w.MembersVersion,
		Active:         w.Active,
		Idle:           w.Idle,
	}
}

type submitWire struct {
	_              struct{} `cbor:",toarray"`
	Request        string
	Attempt        uint32
	Revision       uint64
	Epoch          uint64
	Team           string
	Owner          string
	Service        string
	AdapterTeam    string
	AdapterName    string
	AdapterVersion uint32
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Priority       int8
	StartWithinMS  int64
	IdempotencyKey string
	BodyDigest     []byte
	Suspect        bool
}

func submitToWire(m Submit) *submitWire {
	return &submitWire{
		Request:        m.Request,
		Attempt:        m.Attempt,
		Revision:       m.Revision,
		Epoch:          m.Epoch,
		Team:           m.Team,
		Owner:          m.Owner,
		Service:        m.Service,
		AdapterTeam:    m.Adapter.Team,
		AdapterName:    m.Adapter.Ref.Name,
		AdapterVersion: uint32(m.Adapter.Ref.Version),
		Method:         m.Method,
		Path:           m.Path,
		ContentType:    m.ContentType,
		Body:           m.Body,
		Priority:       m.Priority,
		StartWithinMS:  m.StartWithin.Milliseconds(),
		IdempotencyKey: m.IdempotencyKey,
		BodyDigest:     m.BodyDigest,
		Suspect:        m.Suspect,
	}
}

func (w *submitWire) message() Message {
	return Submit{
		Request:  w.Request,
		Attempt:  w.Attempt,
		Revision: w.Revision,
		Epoch:    w.Epoch,
		Team:     w.Team,
		Owner:    w.Owner,
		Service:  w.Service,
		Adapter: adapter.ID{
			Team: w.AdapterTeam,
			Ref:  adapter.Ref{Name: w.AdapterName, Version: adapter.Version(w.AdapterVersion)},
		},
		Method:         w.Method,
		Path:           w.Path,
		ContentType:    w.ContentType,
		Body:           w.Body,
		Priority:       w.Priority,
		StartWithin:    time.Duration(w.StartWithinMS) * time.Millisecond,
		IdempotencyKey: w.IdempotencyKey,
		BodyDigest:     w.BodyDigest,
		Suspect:        w.Suspect,
	}
}

type refusalWire struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Attempt uint32
	Reason  uint8
	Running int
	Queued  int
}

func (w *refusalWire) message() Message {
	return Refusal{Request: w.Request, Attempt: w.Attempt, Reason: outcome.Reason(w.Reason), Running: w.Running, Queued: w.Queued}
}

type headWire struct {
	_           struct{} `cbor:",toarray"`
	Request     string
	Attempt     uint32
	Status      int
	ContentType string
}

func (w *headWire) message() Message {
	return Head{Request: w.Request, Attempt: w.Attempt, Status: w.Status, ContentType: w.ContentType}
}

type partWire struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Attempt uint32
	Seq     uint64
	Data    []byte
}

func (w *partWire) message() Message {
	return Part{Request: w.Request, Attempt: w.Attempt, Seq: w.Seq, Data: w.Data}
}

type endWire struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Attempt uint32
	Parts   uint64
	Outcome uint8
	Reason  uint8
}

func (w *endWire) message() Message {
	return End{Request: w.Request, Attempt: w.Attempt, Parts: w.Parts, Outcome: outcome.Outcome(w.Outcome), Reason: outcome.Reason(w.Reason)}
}

type ackWire struct {
	_           struct{} `cbor:",toarray"`
	Request     string
	Attempt     uint32
	Next        uint64
	EndReceived bool
}

func (w *ackWire) message() Message {
	return Ack{Request: w.Request, Attempt: w.Attempt, Next: w.Next, EndReceived: w.EndReceived}
}

type cancelWire struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Attempt uint32
}

func (w *cancelWire) message() Message { return Cancel{Request: w.Request, Attempt: w.Attempt} }

type resumeWire struct {
	_             struct{} `cbor:",toarray"`
	Request       string
	Attempt       uint32
	Next          uint64
	StartWithinMS int64
	AgeMS         int64
}

func resumeToWire(m Resume) *resumeWire {
	return &resumeWire{
		Request:       m.Request,
		Attempt:       m.Attempt,
		Next:          m.Next,
		StartWithinMS: m.StartWithin.Milliseconds(),
		AgeMS:         m.Age.Milliseconds(),
	}
}

func (w *resumeWire) message() Message {
	return Resume{
		Request:     w.Request,
		Attempt:     w.Attempt,
		Next:        w.Next,
		StartWithin: time.Duration(w.StartWithinMS) * time.Millisecond,
		Age:         time.Duration(w.AgeMS) * time.Millisecond,
	}
}
