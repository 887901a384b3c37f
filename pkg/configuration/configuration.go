package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// Digest is the SHA-256 digest of a section or of a bearer key.
type Digest [sha256.Size]byte

// DigestKey returns the digest under which a team's bearer key is kept.
func DigestKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest is the inverse of Digest.String. It reports false for other texts.
func ParseDigest(s string) (Digest, bool) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}

// ServiceKind tells model engines from plain services.
type ServiceKind uint8

// The kinds of service.
const (
	Model ServiceKind = iota // answers completions with an adapter
	Plain                    // answers any HTTP request
)

// String returns the kind's name in own formats.
func (k ServiceKind) String() string {
	if k == Plain {
		return "plain"
	}
	return "model"
}

// Lending is what the owner of a service lends of each of its targets.
type Lending struct {
	Share float64  // part of a target's slots, from 0 to 1
	To    []string // names of the borrowing teams, sorted
}

// Lends reports whether capacity is lent to the named team.
func (l Lending) Lends(team string) bool {
	if l.Share <= 0 {
		return false
	}
	i := sort.SearchStrings(l.To, team)
	return i < len(l.To) && l.To[i] == team
}

// Service is a set of targets of one team that do the same work.
type Service struct {
	Name    string
	Kind    ServiceKind
	Base    string // base model, empty for plain services
	Lending Lending
	// RefusesStaleOrders says that the service's engines check fencing numbers.
	RefusesStaleOrders bool
}

// Team is one team with what it owns.
type Team struct {
	Name     string
	Keys     []Digest // digests of its bearer keys
	Services []Service
}

// Service returns the team's service of that name.
func (t *Team) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Adapter is one adapter of a team with its versions.
type Adapter struct {
	Team     string
	Name     string
	Service  string            // the team's service that runs it
	Versions []adapter.Version // in ascending order
	Current  adapter.Version   // the version in force
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

// Configuration is one accepted revision. It must not be changed after New.
type Configuration struct {
	Revision uint64
	Teams    []Team    // in order of name
	Adapters []Adapter // in order of team and name

	teamByName map[string]int
	teamByKey  map[Digest]int
}

// New returns the configuration of teams and adapters, which it sorts in place
// and keeps. Names must be unique.
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

// TeamByKey returns the team that owns the bearer key of that digest, or nil.
func (c *Configuration) TeamByKey(d Digest) *Team {
	i, ok := c.teamByKey[d]
	if !ok {
		return nil
	}
	return &c.Teams[i]
}

// Team returns the team of that name, or nil.
func (c *Configuration) Team(name string) *Team {
	i, ok := c.teamByName[name]
	if !ok {
		return nil
	}
	return &c.Teams[i]
}

// Resolve returns the named adapter of a team and the full reference to run:
// ref itself, or the version in force when ref names none. It reports false
// for an adapter or a version that the team does not have.
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

// AdaptersOf returns the adapters of a team in order of name. The caller must
// not change the result.
func (c *Configuration) AdaptersOf(team string) []Adapter {
	lo := sort.Search(len(c.Adapters), func(i int) bool { return c.Adapters[i].Team >= team })
	hi := sort.Search(len(c.Adapters), func(i int) bool { return c.Adapters[i].Team > team })
	return c.Adapters[lo:hi]
}
