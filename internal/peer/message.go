package peer

import (
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Message is one message of the protocol.
type Message interface {
	messageType() messageType
}

// Identity identifies a process to its peers.
type Identity struct {
	Name        string // settings name of the process
	Role        string // "entryd" or "targetd"
	Incarnation string // unique for each start of the process
	Region      string
	Zone        string // availability zone
	Epoch       uint64 // fencing token of a targetd
}

// Hello is the first message of the handshake in either direction.
type Hello struct {
	Identity Identity
	Nonce    []byte
	Proof    []byte // empty in the dialling side's Hello
}

// Proof is the last message of the handshake. It carries the dialling side's
// proof that it knows the peer key.
type Proof struct {
	Proof []byte
}

// Heartbeat is sent periodically to show that the sender is alive. It carries
// the versions of the sender's state.
type Heartbeat struct {
	Revision       uint64 // configuration in force at the sender
	Running        int    // running requests, if the sender is a targetd
	Queued         int    // queued requests, if the sender is a targetd
	Draining       bool
	MembersVersion uint64 // version up to which the sender has all registrations
	Active         bool   // requests are in flight on this connection
	Idle           bool   // the connection is idle: the next message may take IdleInterval; set by Conn
}

// Submit asks a targetd to run a request.
type Submit struct {
	Request        string
	Attempt        uint32
	Revision       uint64 // configuration that the request was resolved against
	Epoch          uint64 // fencing token of the targetd that the message is for
	Team           string
	Owner          string // team that owns the service
	Service        string
	Adapter        adapter.ID // zero for plain services
	Method         string
	Path           string // including the query
	ContentType    string
	Body           []byte
	Priority       int8
	StartWithin    time.Duration // time left until the request must start, when the message is sent
	IdempotencyKey string        // name of the key's record, empty without a key
	BodyDigest     []byte        // of the caller's request; set if IdempotencyKey is
	Suspect        bool          // was in flight when an engine crashed: never runs together with another suspect
}

// Refusal rejects an attempt, which did not run and never will.
type Refusal struct {
	Request string
	Attempt uint32
	Reason  outcome.Reason
	Running int // running requests of the targetd, for the next routing decision
	Queued  int // queued requests of the targetd
}

// Head is the first message of a response.
type Head struct {
	Request     string
	Attempt     uint32
	Status      int
	ContentType string
}

// Part is one part of a response's body. Seq is its number, counted from zero.
type Part struct {
	Request string
	Attempt uint32
	Seq     uint64
	Data    []byte
}

// End is the last message of a response. Parts is the number of its parts. An
// Outcome other than outcome.Answered means that the response is incomplete.
type End struct {
	Request string
	Attempt uint32
	Parts   uint64
	Outcome outcome.Outcome
	Reason  outcome.Reason
}

// Ack acknowledges all parts before Next. The sender of the parts may discard
// them and send more.
type Ack struct {
	Request     string
	Attempt     uint32
	Next        uint64
	EndReceived bool // the End or the Refusal has been received as well
}

// Cancel asks a targetd to stop a request.
type Cancel struct {
	Request string
	Attempt uint32
}

// Resume asks a targetd to continue a response on this connection, starting
// with part Next.
type Resume struct {
	Request     string
	Attempt     uint32
	Next        uint64
	StartWithin time.Duration // time left until the request must start, as in Submit
	Age         time.Duration // time since the attempt was sent
}
