package gateway

import (
	"net/http"
	"time"
)

// Meta is what a caller tells in the headers of a request.
type Meta struct {
	ID           string
	Deadline     time.Duration // how long the caller waits, zero if not told
	Model        string        // empty for plain services
	Adapter      string        // empty for the base model
	Prompt       []string      // ids of the parts that the prompt shares with others
	PromptTokens int
	AnswerTokens int    // at most
	LastEvent    string // a stream goes on after this event
}

// Attempt is what a target is told beside the request itself.
type Attempt struct {
	Instance  string        // the start of the target that is meant
	Left      time.Duration // until nobody waits for the answer
	Urgency   int           // 0 is the most urgent
	LastEvent string        // a stream goes on after this event
}

// AnswerMeta is what a target tells in the headers of an answer.
type AnswerMeta struct {
	ID      string
	Signed  bool // the target made the answer
	NotRun  bool // the target did not run the request and never will
	Encoded bool // the body is not as the target made it
	Load    Load
}

// Load is a target's load. It has no slots if the target does not tell it.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect maps the headers of a platform.
type Dialect interface {
	Request(h http.Header) Meta
	Forward(h http.Header, a Attempt) http.Header
	Answer(status int, h http.Header) AnswerMeta
	Back(h http.Header) http.Header
	RequestID(h http.Header) string
	// Refusal sets the headers of an answer that no target made. The caller may
	// come back after the given time, if it is positive.
	Refusal(h http.Header, id string, after time.Duration)
}
