package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// Call is a caller's request with the state that the filters add to it.
type Call struct {
	// Set when the request is received.
	ID             string // request ID
	BearerKey      string
	Method         string
	Path           string // with query, as received
	ContentType    string
	Body           []byte
	Service        string // plain service, or the adapter's model service; empty for completions until resolved
	IdempotencyKey string
	Priority       int8
	Deadline       time.Time // latest time at which a target may start the request
	Response       Responder

	// Set by the filters.
	Configuration *configuration.Configuration
	Team          *configuration.Team
	Owner         string     // team that owns the service
	Base          string     // base model, empty for plain services
	Adapter       adapter.ID // zero for plain services
	TargetPath    string     // path on the target
	TargetBody    []byte     // body for the target
	Suspect       bool       // was in flight when a target crashed and has not been answered since
	CrashedOn     []string   // names of targets that crashed while running the request
	MayHaveRun    bool       // an attempt ended with an unknown outcome
}

// Repeatable reports whether the request may run again after an attempt with an
// unknown outcome: completions, and plain requests whose method is idempotent
// (RFC 9110, section 9.2.2), unless they have an idempotency key.
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

// Result is the outcome of a call or of one attempt.
type Result struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Detail     string        // error message for the caller; the reason's text if empty
	RetryAfter time.Duration // value of the Retry-After header, zero for none
	Running    int           // requests running at the target that refused
	Queued     int           // requests queued at the target that refused
	Unsent     bool          // the attempt was never written to a connection
}

// Responder writes the response to the caller.
type Responder interface {
	// Start begins a response. It discards what an earlier attempt has written
	// while Started reports false.
	Start(status int, contentType string)
	// Write appends p to the body. An error means that the caller has
	// disconnected.
	Write(p []byte) error
	// Started reports whether any part of the response was sent to the caller.
	Started() bool
}

// Handler handles a call received at now and returns its result.
type Handler interface {
	Handle(ctx context.Context, c *Call, now time.Time) Result
}

// Filter is one stage of the filter chain: it returns a Result of its own or
// calls next.
type Filter interface {
	Filter(ctx context.Context, c *Call, now time.Time, next Handler) Result
}

// filterHandler is the Handler of a filter followed by the rest of the chain.
type filterHandler struct {
	filter Filter
	next   Handler
}

// Handle implements Handler.
func (h filterHandler) Handle(ctx context.Context, c *Call, now time.Time) Result {
	return h.filter.Filter(ctx, c, now, h.next)
}

// chain returns a handler that applies filters in order and ends with last.
func chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filterHandler{filter: filters[i], next: last}
	}
	return last
}

// rejected returns the result of a call or attempt that did not run.
func rejected(reason outcome.Reason, detail string) Result {
	return Result{Outcome: outcome.NotRun, Reason: reason, Detail: detail}
}
