package routing

import (
	"crypto/sha256"
	"encoding/hex"
)

// QuotaUnit is what a workspace's quota counts.
type QuotaUnit uint8

// The units of quotas.
const (
	Requests QuotaUnit = iota
	Tokens             // tokens of the prompt and of the longest possible response
)

// Quota limits what a workspace sends through all processes together. A rate of zero
// means no limit.
type Quota struct {
	PerSecond float64
	Burst     float64 // may be used at once after a time without requests
	Unit      QuotaUnit

	// PlainTokens is what a request without tokens counts as in a quota of tokens.
	PlainTokens int
}

// Cost returns what a request counts as in the quota. promptTokens and
// maxResponseTokens are zero for requests to plain services.
func (q Quota) Cost(promptTokens, maxResponseTokens int) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case promptTokens == 0 && maxResponseTokens == 0:
		return float64(q.PlainTokens)
	}
	return float64(promptTokens) + float64(maxResponseTokens) // callers may state any number; the sum of integers may be negative
}

// Workspace is a team's set of callers. They identify themselves by keys.
type Workspace struct {
	Name    string
	Urgency int // 0 is the most urgent; precedes that of the route
	Quota   Quota
}

// KeyDigest is the digest of a caller's key. Keys themselves are not kept, so that they
// can't be logged or passed on, and the time to look one up does not depend on its text.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the digest that String wrote, and false if s is not one.
func ParseDigest(s string) (d KeyDigest, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return KeyDigest{}, false
	}
	return KeyDigest(b), true
}

// Workspaces are the workspaces of a configuration and their keys.
type Workspaces struct {
	byKey map[KeyDigest]*Workspace
	names map[string]*Workspace
}

// Add adds a workspace with its keys. If workspaces share a key, the first one has it.
func (ws *Workspaces) Add(w Workspace, keys []KeyDigest) {
	if ws.names == nil {
		ws.byKey, ws.names = map[KeyDigest]*Workspace{}, map[string]*Workspace{}
	}
	ws.names[w.Name] = &w
	for _, k := range keys {
		if ws.byKey[k] == nil {
			ws.byKey[k] = &w
		}
	}
}

// SetWorkspaces sets the workspaces of a configuration that is not in use yet, and requires
// callers to identify themselves, also if there is none: the last key may be taken away.
func (c *Configuration) SetWorkspaces(ws Workspaces) {
	c.workspaces, c.requiresKeys = ws, true
	c.urgencies = newUrgencies(c.hosts, ws.names)
}

// HasWorkspaces reports whether callers have to identify themselves.
func (c *Configuration) HasWorkspaces() bool { return c.requiresKeys }

// Workspace returns the workspace that holds a key, and false if none does.
func (c *Configuration) Workspace(key KeyDigest) (*Workspace, bool) {
	w, ok := c.workspaces.byKey[key]
	return w, ok
}

// WorkspaceNamed returns the workspace of that name, and false if there is none.
func (c *Configuration) WorkspaceNamed(name string) (*Workspace, bool) {
	w, ok := c.workspaces.names[name]
	return w, ok
}
