package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// MaxReplayBytes is the size of the largest answer body that is stored for
// replay.
const MaxReplayBytes = 8 << 10

// MaxVoided is the maximum number of voided attempts in one record.
const MaxVoided = 64

// Attempt identifies one attempt at one request.
type Attempt struct {
	Request string // request id
	Number  uint32 // higher for later attempts
}

// Writer identifies one incarnation of a process.
type Writer struct {
	Name        string // name of the process in its settings
	Incarnation string // differs for each start of the process
}

// Claim is the entry that a targetd writes before it runs a request.
type Claim struct {
	Attempt Attempt
	Writer  Writer
	Digest  []byte // of the request, from the function Digest
}

// Answer is an answer that is stored for replay.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	BodyOmitted bool // the body exceeded MaxReplayBytes and was not stored
}

// Record is the record of one idempotency key.
type Record struct {
	State  State
	Claim  Claim          // the latest claim; only its Digest is set if there was none
	Voided []Attempt      // attempts that may not claim the key any more
	Answer Answer         // set in state Answered
	Reason outcome.Reason // set in state Interrupted
}

// hasVoided reports whether attempt a is voided.
func (r *Record) hasVoided(a Attempt) bool {
	for _, v := range r.Voided {
		if v == a {
			return true
		}
	}
	return false
}

// sameRequest reports whether r belongs to a request with the given digest.
func (r *Record) sameRequest(digest []byte) bool { return bytes.Equal(r.Claim.Digest, digest) }

// Name returns the object name of the record of an idempotency key. Keys are
// scoped by the caller's team and by the service.
func Name(team, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return team + "/" + service + "/" + hex.EncodeToString(sum[:])
}

// Digest returns a digest of a request. It detects that an idempotency key is
// reused for a different request.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, s := range []string{method, path} {
		_, _ = h.Write([]byte(s)) // Write of a hash.Hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum(nil)
}
