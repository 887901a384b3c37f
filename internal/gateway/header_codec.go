package gateway

import (
	"net/http"
	"time"

	"github.com/borageusher/borageusher/pkg/routing"
)

// RequestMeta is the metadata in the headers of a request.
type RequestMeta struct {
	ID                  string
	Deadline            time.Duration // time from now, zero if not set
	Model               string        // empty for plain services
	Adapter             string        // empty for the base model
	PromptSegments      []string      // ids of the prompt's segments that other prompts share
	PromptTokens        int
	PromptSegmentTokens []int  // of PromptSegments, zero where they are not known
	MaxResponseTokens   int    // upper bound
	LastEventID         string // id of the event after which a stream resumes, empty for none
	StreamID            string // id of the request that brought the first event of that stream, empty if not named

	Key    routing.KeyDigest // of the caller's key, if HasKey is set
	HasKey bool              // the request has exactly one key
}

// AttemptMeta is the metadata that is sent to a target with a request.
type AttemptMeta struct {
	Instance    string        // incarnation of the target that the request is meant for
	Remaining   time.Duration // until the call's deadline
	Urgency     int           // 0 is the most urgent
	LastEventID string        // id of the event after which a stream resumes, empty for none
	Identified  bool          // callers identify themselves by keys, which targets must not get
	Workspace   string        // that the caller belongs to, if Identified is set; empty on public routes
}

// ResponseMeta is the metadata in the headers of a response.
type ResponseMeta struct {
	ID        string
	Instance  string        // incarnation that wrote the response, empty if it is not stated
	Signed    bool          // the response is proven to come from the target
	NotRun    bool          // the target did not run the request and never will
	Reencoded bool          // the body was re-encoded on the way from the target
	Leaving   bool          // the target leaves and accepts no more requests
	Backoff   time.Duration // for which the target wants no requests, zero for none
	RateLimit RateLimit
	Load      Load
}

// RateLimit is what a response says of the rate of requests that its target takes from
// all entryds together. If neither Limited nor None is set, it says nothing.
type RateLimit struct {
	Limited   bool
	None      bool    // the target takes requests at any rate
	PerSecond float64 // if Limited is set; finite and not negative
}

// Load is a target's load in requests. Slots is zero if the target does not
// report its load.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowness float64 // factor by which work takes longer than normally at this moment, zero if it is not reported
}

// HeaderCodec converts between a platform's headers and the gateway's metadata.
type HeaderCodec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) RequestMeta
	// TargetHeader returns the headers of the request to the target, given those of
	// the caller's request.
	TargetHeader(h http.Header, a AttemptMeta) http.Header
	// ParseResponse parses the status and headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseMeta
	// CallerHeader returns the headers of the response to the caller, given
	// those of the target's response.
	CallerHeader(h http.Header) http.Header
	// RequestID returns the request's id from the headers of a response.
	RequestID(h http.Header) string
	// SetRejection sets the headers of a response that the gateway itself
	// generates. If after is positive, the caller may retry after it.
	SetRejection(h http.Header, id string, after time.Duration)
}
