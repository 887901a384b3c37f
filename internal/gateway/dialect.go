package gateway

import (
	"net/http"
	"time"
)

// Meta is the metadata in the headers of a request.
type Meta struct {
	ID           string
	Deadline     time.Duration // time from now, zero if not set
	Model        string        // empty for plain services
	Adapter      string        // empty for the base model
	Prompt       []string      // ids of the prompt's segments that other prompts share
	PromptTokens int
	AnswerTokens int    // upper bound
	LastEvent    string // id of the event after which a stream resumes, empty for none
}

// Attempt is the metadata that is sent to a target with a request.
type Attempt struct {
	Instance  string        // incarnation of the target that the request is meant for
	Left      time.Duration // until the call's deadline
	Urgency   int           // 0 is the most urgent
	LastEvent string        // id of the event after which a stream resumes, empty for none
}

// AnswerMeta is the metadata in the headers of a response.
type AnswerMeta struct {
	ID      string
	Signed  bool // the response is proven to come from the target
	NotRun  bool // the target did not run the request and never will
	Encoded bool // the body was re-encoded on the way from the target
	Load    Load
}

// Load is a target's load in requests. Slots is zero if the target does not
// report its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect converts between a platform's headers and the gateway's metadata.
type Dialect interface {
	// Request parses the headers of a caller's request.
	Request(h http.Header) Meta
	// Forward returns the headers of the request to the target, given those of
	// the caller's request.
	Forward(h http.Header, a Attempt) http.Header
	// Answer parses the status and headers of a target's response.
	Answer(status int, h http.Header) AnswerMeta
	// Back returns the headers of the response to the caller, given those of the
	// target's response.
	Back(h http.Header) http.Header
	// RequestID returns the request's id from the headers of a response.
	RequestID(h http.Header) string
	// Refusal sets the headers of a response that the gateway itself generates.
	// If after is positive, the caller may retry after it.
	Refusal(h http.Header, id string, after time.Duration)
}
