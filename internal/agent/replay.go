package agent

import (
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/outcome"
)

// replay sends the recorded answer of an earlier request with the same
// idempotency key.
func (a *answer) replay(now time.Time, recorded claim.Answer) {
	a.start(now, recorded.Status, recorded.ContentType)
	for body := recorded.Body; len(body) > 0; {
		n := min(len(body), maxPartBytes)
		a.add(now, body[:n])
		body = body[n:]
	}
	a.end(now, outcome.Answered, outcome.NoReason)
}

// attached reports whether the answer has a connection to its entryd and was not
// abandoned.
func (a *answer) attached() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && !a.abandoned
}

// result returns the outcome of the attempt with the status and content type of
// its answer. Before the end of the answer the outcome is outcome.Unknown.
func (a *answer) result() (o outcome.Outcome, reason outcome.Reason, status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch final := a.final.(type) {
	case peer.Refusal:
		return outcome.NotRun, final.Reason, 0, ""
	case peer.End:
		if a.head == nil {
			return final.Outcome, final.Reason, 0, ""
		}
		return final.Outcome, final.Reason, a.head.Status, a.head.ContentType
	}
	return outcome.Unknown, outcome.EngineFailed, 0, ""
}
