package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// Digest is the SHA-256 digest of a section or of a bearer key.
type Digest [sha256.Size]byte

// DigestKey returns the digest that is stored in place of a team's bearer key.
func DigestKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest is the inverse of Digest.String. It reports false if s is not the
// hexadecimal form of a digest.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind uint8

// The kinds of service.
const (
	ModelService ServiceKind = iota // serves completion requests with an adapter
	PlainService                    // serves any HTTP request
)

// String returns "model" or "plain", the names used in questionnaires.
func (k ServiceKind) String() string {
	if k == PlainService {
		return "plain"
	}
	return "model"
}

// Lending is the capacity of each target of a service that the owning team lends
// to other teams.
type Lending struct {
	Share     float64  // fraction of a target's slots, from 0 to 1
	Borrowers []string // names of the borrowing teams, sorted
}

// Lends reports whether l lends capacity to the named team.
func (l Lending) Lends(team string) bool {
	if l.Share <= 0 {
		return false
	}
	i := sort.SearchStrings(l.Borrowers, team)
	return i < len(l.Borrowers) && l.Borrowers[i] == team
}

// Service is a set of interchangeable targets of one team.
type Service struct {
	Name    string
	Kind    ServiceKind
	Base    string // base model, empty for plain services
	Lending Lending
	// RefusesStaleOrders reports that the service's engines check fencing tokens
	// and reject an order whose token is stale.
	RefusesStaleOrders bool
}

// Team is one team with its bearer keys and services.
type Team struct {
	Name     string
	Keys     []Digest // digests of its bearer keys
	Services []Service
}

// Service returns the team's service with the given name and reports whether
// there is one.
func (t *Team) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Adapter is one LoRA adapter of a team with its versions.
type Adapter struct {
	Team     string
	Name     string
	Service  string            // the team's service that runs it
	Versions []adapter.Version // in ascending order
	Current  adapter.Version   // version that serves requests without an explicit one
}

// HasVersion reports whether v is one of the adapter's versions.
func (a *Adapter) HasVersion(v adapter.Version) bool {
	for _, x := range a.Versions {
		if x == v {
			return true
		}
	}
	return false
}

// Configuration is one accepted revision. It must not be modified after New.
type Configuration struct {
	Revision uint64
	Teams    []Team    // sorted by name
	Adapters []Adapter // sorted by team, then name

	teamByName map[string]int
	teamByKey  map[Digest]int
}

// New returns a configuration of teams and adapters. It sorts both slices in
// place and retains them. Team names must be unique, as must the names of a
// team's services and of its adapters.
func New(revision uint64, teams []Team, adapters []Adapter) *Configuration {
	sort.Slice(teams, func(i, j int) bool { return teams[i].Name < teams[j].Name })
	sort.Slice(adapters, func(i, j int) bool { return adapterLess(&adapters[i], &adapters[j]) })
	c := &Configuration{
		Revision:   revision,
		Teams:      teams,
		Adapters:   adapters,
		teamByName: make(map[string]int, len(teams)),
		teamByKey:  make(map[Digest]int, len(teams)),
	}
	for i := range teams {
		c.teamByName[teams[i].Name] = i
		for _, k := range teams[i].Keys {
			c.teamByKey[k] = i
		}
	}
	return c
}

func adapterLess(a, b *Adapter) bool {
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Name < b.Name
}

// TeamByKey returns the team that owns the bearer key with digest d, or nil.
func (c *Configuration) TeamByKey(d Digest) *Team {
	i, ok := c.teamByKey[d]
	if !ok {
		return nil
	}
	return &c.Teams[i]
}

// Team returns the team with the given name, or nil.
func (c *Configuration) Team(name string) *Team {
	i, ok := c.teamByName[name]
	if !ok {
		return nil
	}
	return &c.Teams[i]
}

// Resolve returns the adapter of a team that ref names and a reference with a
// version: ref itself, or the adapter's current version if ref has none. It
// reports false for an adapter or a version that the team does not have.
func (c *Configuration) Resolve(team string, ref adapter.Ref) (*Adapter, adapter.Ref, bool) {
	wanted := Adapter{Team: team, Name: ref.Name}
	i := sort.Search(len(c.Adapters), func(i int) bool { return !adapterLess(&c.Adapters[i], &wanted) })
	if i == len(c.Adapters) || adapterLess(&wanted, &c.Adapters[i]) {
		return nil, adapter.Ref{}, false
	}
	a := &c.Adapters[i]
	if !ref.HasVersion() {
		ref.Version = a.Current
	}
	return a, ref, a.HasVersion(ref.Version)
}

// AdaptersOf returns the adapters of a team sorted by name. The caller must not
// modify the result, which shares memory with c.
func (c *Configuration) AdaptersOf(team string) []Adapter {
	lo := sort.Search(len(c.Adapters), func(i int) bool { return c.Adapters[i].Team >= team })
	hi := sort.Search(len(c.Adapters), func(i int) bool { return c.Adapters[i].Team > team })
	return c.Adapters[lo:hi]
}
