package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by the content that an engine receives.
type Fingerprint [sha256.Size]byte

// String returns the first bytes of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Team    string // the caller's
	Adapter string // with team and version; empty for plain services
	Path    string
	Body    []byte
}

// FingerprintOf returns the fingerprint of r.
func FingerprintOf(r Request) Fingerprint {
	h := sha256.New()
	for _, s := range []string{r.Team, r.Adapter, r.Path} {
		h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	h.Write(r.Body)
	return Fingerprint(h.Sum(nil))
}

// SegmentFingerprint returns the fingerprint of a shared segment of the prompts of a
// service's requests.
func SegmentFingerprint(service, id string) Fingerprint {
	h := sha256.New()
	h.Write(binary.AppendUvarint(nil, uint64(len(service))))
	h.Write([]byte(service))
	h.Write([]byte(id))
	return Fingerprint(h.Sum(nil))
}
