package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Call is one caller's request on its way through the filters.
type Call struct {
	// Set when the request is received.
	ID             string // identity of the request
	BearerKey      string
	Method         string
	Path           string // with query, as the caller sent it
	ContentType    string
	Body           []byte
	Service        string // plain service that is meant, empty for completions
	IdempotencyKey string
	Priority       int8
	Deadline       time.Time // when the request must have started
	Response       Responder

	// Set by the filters.
	Configuration *configuration.Configuration
	Team          *configuration.Team
	Owner         string     // team that owns the service
	Base          string     // base model, empty for plain services
	Adapter       adapter.ID // zero for plain services
	TargetPath    string     // path on the target
	TargetBody    []byte     // body for the target
	Suspect       bool       // was in flight at a crash and has not been answered since
	CrashedOn     []string   // targets that crashed with it in flight
	MayHaveRun    bool       // an attempt ended with an unknown outcome
}

// Repeatable reports whether the request may run again after its outcome
// became unknown: completions without an idempotency key, and plain requests
// that are idempotent by their method (RFC 9110, section 9.2.2).
func (c *Call) Repeatable() bool {
	if c.IdempotencyKey != "" {
		return false
	}
	if !c.Adapter.IsZero() {
		return true
	}
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Result is what became of a call.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Detail  string        // for the caller, beyond the reason
	After   time.Duration // when trying again may help, zero if unknown
	Running int           // at the target that refused
	Queued  int           // at the target that refused
	Unsent  bool          // the attempt was never written to a connection
}

// Responder passes an answer to the caller.
type Responder interface {
	// Start begins the answer.
	Start(status int, contentType string)
	// Write passes a piece of the body on. An error means that the caller is gone.
	Write(p []byte) error
	// Started reports whether the caller has been sent anything.
	Started() bool
}

// Handler handles calls.
type Handler interface {
	Handle(ctx context.Context, c *Call, now time.Time) Result
}

// Filter is one step of the chain: it ends the call with a Result or passes it
// to next.
type Filter interface {
	Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result
}

// chained is a filter with the rest of the chain behind it.
type chained struct {
	filter Filter
	next   Handler
}

// Handle implements Handler.
func (h chained) Handle(ctx context.Context, c *Call, now time.Time) Result {
	return h.filter.Filter(ctx, c, now, h.next)
}

// chain returns the handler that passes calls through filters, in order, to last.
func chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = chained{filter: filters[i], next: last}
	}
	return last
}

// rejected returns the result of a call that no target has seen.
func rejected(reason outcome.Reason, detail string) Result {
	return Result{Outcome: outcome.NotRun, Reason: reason, Detail: detail}
}
