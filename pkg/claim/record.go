package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// MaxReplayBytes is the largest body of an answer that is kept for replay.
const MaxReplayBytes = 8 << 10

// MaxVoided is the number of attempts that one record can exclude.
const MaxVoided = 64

// Attempt names one attempt at one request.
type Attempt struct {
	Request string
	Number  uint32
}

// Writer names one run of one process.
type Writer struct {
	Name        string // settings name of the process
	Incarnation string // differs for each start of the process
}

// Claim is what a targetd writes before it runs a request.
type Claim struct {
	Attempt Attempt
	Writer  Writer
	Digest  []byte // of the request, see Digest
}

// Answer is an answer that is kept for replay.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Oversize    bool // the body was too large to keep
}

// Record is what the object API keeps for one key.
type Record struct {
	State  State
	Claim  Claim     // the last claim; in a record that was never claimed, only its digest
	Voided []Attempt // attempts that never will run
	Answer Answer    // in state Answered
	Reason outcome.Reason
}

// excludes reports whether a is among the voided attempts.
func (r *Record) excludes(a Attempt) bool {
	for _, v := range r.Voided {
		if v == a {
			return true
		}
	}
	return false
}

// sameRequest reports whether r was made for a request with digest.
func (r *Record) sameRequest(digest []byte) bool { return bytes.Equal(r.Claim.Digest, digest) }

// Name returns the name of the record of an idempotency key, which is scoped
// by the caller's team and by the service.
func Name(team, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return team + "/" + service + "/" + hex.EncodeToString(sum[:])
}

// Digest returns the digest by which a key's later requests are told from its
// first one.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, s := range []string{method, path} {
		_, _ = h.Write([]byte(s)) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum(nil)
}
