package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/assignment"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Explanation is what the process would do with a request now. Fields that a decision did
// not reach are zero.
type Explanation struct {
	Revision  int64
	Route     string // empty if none matches
	Kind      routing.Kind
	Objective time.Duration
	Timeout   time.Duration // of the request
	Urgency   int           // which targets and targetds are told

	NeedsKey  bool
	HasKey    bool
	Workspace string // of the caller
	Quota     QuotaExplanation

	Shares         []routing.Share
	Service        string // the explained one of the shares
	Model, Adapter string
	AdapterVersion int64

	Next       string // what the process would do: one of the names below
	Reason     string // of a rejection or a wait
	Status     int    // of a rejection, zero for none
	RetryAfter time.Duration

	Targets      int  // of the service
	Sampled      bool // only a sample of the targets was looked at; a request may get another one
	Cautious     bool // there is a usable target that is not avoided
	Leaving      bool // the chosen target leaves, because no live one can go on with the request
	Candidates   []CandidateExplanation
	Choice       string        // id of the chosen target, empty for none
	Wait         time.Duration // expected until the first event
	Standing     string        // of the workspace's share of engine time, empty without a workspace
	Contended    bool          // requests contend for the chosen target, so that shares count there
	WaitLimit    time.Duration // beyond which the request is rejected at the chosen target, zero if it was not compared
	LoadAt       string        // id of the target that would be asked to load the adapter, empty for none
	PermitDelay  time.Duration // until the chosen target takes the request
	NeedsPermit  bool
	OffersPrompt bool // to the targetd, which may delay the request or have another target chosen

	Unchecked []string // what could not be decided without the request itself
}

// QuotaExplanation is the state of the quota of a caller's workspace.
type QuotaExplanation struct {
	Limited   bool
	PerSecond float64
	Cost      float64 // of the request
	Known     bool    // the process has an account; else the fields below are zero
	Balance   float64
	Admitted  bool
	Waits     time.Duration // longest time that the request would wait for credit
}

// CandidateExplanation is one target with the terms of the decision.
type CandidateExplanation struct {
	Target       string
	Zone         string
	Distance     assignment.Distance
	Use          string // one of the candidate uses
	Obstacle     string // why it is not used, empty if it can be
	Resident     bool
	Terms        assignment.Terms
	Cost         time.Duration // by which it is compared with the others of the same use
	Requests     int           // estimated, at the target
	Slots        int
	Backlog      time.Duration // to read the prompts before this one
	ReadFactor   float64       // by which the target is slower than normal in reading prompts
	WorkFactor   float64       // the same for other work
	CachedTokens int           // of the prompt, expected
	LoadDelay    time.Duration // until the adapter is loaded, if it is not resident
	PermitDelay  time.Duration
	RateLimited  bool
	StateAge     time.Duration // of the engine's state, zero if none is known
}

// Uses of a candidate.
const (
	useHolder = "holder" // can be sent the request at once
	useHome   = "home"   // can load the adapter first
	useNone   = "none"
)

// Names of what follows.
const (
	nextSend          = "send"
	nextLoad          = "wait_for_adapter"
	nextAwaitTarget   = "wait_for_target"
	nextAwaitCredit   = "wait_for_credit"
	nextAwaitSuspects = "wait_for_suspect"
	nextAskOrigin     = "ask_for_origin"
	nextReject        = "reject"
)

// ExplanationOf is a request to explain.
type ExplanationOf struct {
	Meta    RequestMeta
	Host    string
	URI     string
	Method  string
	Bytes   int64  // of the body, negative if not known
	Service string // one of the route's shares to explain, empty for the largest
}
