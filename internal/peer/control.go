package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// challengeValidity is the time in which a challenge may be answered. It covers a slow
// operator's connection and bounds how long a proof that was overheard can be repeated.
const challengeValidity = 10 * time.Second

// Challenges issues challenges to operators who prove that they know the peer key. It
// keeps no state for an issued challenge, so that requests without a proof cost none. A
// challenge is valid at the process that issued it only.
type Challenges struct {
	key    Key
	secret [32]byte
	start  time.Time
}

// NewChallenges returns challenges that are answered with key.
func NewChallenges(now time.Time, key Key) *Challenges {
	c := &Challenges{key: key, start: now}
	_, _ = rand.Read(c.secret[:]) // never returns an error
	return c
}

// Issue returns a new challenge.
func (c *Challenges) Issue(now time.Time) string {
	b := binary.BigEndian.AppendUint64(nil, uint64(now.Sub(c.start)))
	return hex.EncodeToString(append(b, c.seal(b)...))
}

// Valid reports whether a challenge was issued by this process recently.
func (c *Challenges) Valid(now time.Time, challenge string) bool {
	b, err := hex.DecodeString(challenge)
	if err != nil || len(b) != 8+sha256.Size || !hmac.Equal(b[8:], c.seal(b[:8])) {
		return false
	}
	age := now.Sub(c.start) - time.Duration(binary.BigEndian.Uint64(b))
	return age >= 0 && age < challengeValidity
}

// Proves reports whether proof shows knowledge of the key for a valid challenge and the
// parts of a request.
func (c *Challenges) Proves(proof, challenge string, parts ...[]byte) bool {
	given, err := hex.DecodeString(proof)
	return err == nil && hmac.Equal(given, controlProof(c.key, challenge, parts))
}

// seal returns the proof that this process issued a challenge at a time.
func (c *Challenges) seal(at []byte) []byte {
	mac := hmac.New(sha256.New, c.secret[:])
	mac.Write(at)
	return mac.Sum(nil)
}

// ControlProof returns the proof by which an operator answers a challenge. It covers the
// parts of the request that it is sent with.
func ControlProof(key Key, challenge string, parts ...[]byte) string {
	return hex.EncodeToString(controlProof(key, challenge, parts))
}

// controlProof computes the HMAC of a challenge and parts, each with its length. Its first
// bytes differ from those of the proofs between peers.
func controlProof(key Key, challenge string, parts [][]byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("control"))
	mac.Write([]byte{0})
	for _, p := range append([][]byte{[]byte(challenge)}, parts...) {
		mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		mac.Write(p)
	}
	return mac.Sum(nil)
}
