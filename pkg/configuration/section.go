package configuration

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// AdapterBuckets is the number of sections over which a configuration's
// adapters are spread, so that a change of one adapter moves one small section.
const AdapterBuckets = 64

// Section is one immutable, encoded part of a configuration.
type Section struct {
	Name   string // "team/<name>" or "adapters/<bucket>"
	Digest Digest
	Data   []byte
}

// SectionRef names a section of a root by its digest.
type SectionRef struct {
	Name   string
	Digest Digest
}

// Root lists the sections of one accepted revision.
type Root struct {
	Revision uint64
	ChangeID string // identity of the change that made the revision
	Operator string
	Sections []SectionRef
	Earlier  []string // identities of the changes before it, newest first, at most MaxEarlier
}

// MaxEarlier is the number of earlier changes that a root names, so that an
// operator whose answer was lost finds out what became of the change.
const MaxEarlier = 64

// Contains reports whether the change of that identity is the root's own or
// one of those that it names.
func (r Root) Contains(changeID string) bool {
	if r.ChangeID == changeID {
		return true
	}
	for _, id := range r.Earlier {
		if id == changeID {
			return true
		}
	}
	return false
}

// Split encodes c as sections, in order of name. Equal parts of two
// configurations give equal sections.
func Split(c *Configuration) []Section {
	var out []Section
	for i := range c.Teams {
		out = append(out, newSection("team/"+c.Teams[i].Name, teamToWire(&c.Teams[i])))
	}
	buckets := make([]adaptersWire, AdapterBuckets)
	for i := range c.Adapters {
		a := &c.Adapters[i]
		b := bucketOf(a)
		buckets[b].Adapters = append(buckets[b].Adapters, adapterToWire(a))
	}
	for i := range buckets {
		if len(buckets[i].Adapters) > 0 {
			out = append(out, newSection(fmt.Sprintf("adapters/%02d", i), buckets[i]))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Join decodes sections into the configuration of a revision. Each section's
// data must have the section's digest; it returns an *Error of kind Corrupt
// otherwise.
func Join(revision uint64, sections []Section) (*Configuration, error) {
	var teams []Team
	adapters := make([]Adapter, 0, adapterCountHint(sections))
	for _, s := range sections {
		if sha256.Sum256(s.Data) != s.Digest {
			return nil, &Error{Op: "join", Kind: Corrupt, Section: s.Name}
		}
		if err := joinSection(s, &teams, &adapters); err != nil {
			return nil, err
		}
	}
	shareNames(adapters)
	return New(revision, teams, adapters), nil
}

// adapterCountHint estimates the number of adapters in sections, so that one
// allocation of about the right size holds them.
func adapterCountHint(sections []Section) int {
	const encodedAdapterBytes = 40 // of a typical adapter
	n := 0
	for _, s := range sections {
		n += len(s.Data)
	}
	return n / encodedAdapterBytes
}

// shareNames makes adapters share the memory of equal team and service names
// and of equal version lists with a single version.
func shareNames(adapters []Adapter) {
	names := map[string]string{}
	share := func(s string) string {
		if known, ok := names[s]; ok {
			return known
		}
		names[s] = s
		return s
	}
	single := map[adapter.Version][]adapter.Version{}
	for i := range adapters {
		a := &adapters[i]
		a.Team = share(a.Team)
		a.Service = share(a.Service)
		if len(a.Versions) != 1 {
			continue
		}
		v := a.Versions[0]
		if single[v] == nil {
			single[v] = a.Versions
		}
		a.Versions = single[v]
	}
}

func joinSection(s Section, teams *[]Team, adapters *[]Adapter) error {
	if len(s.Name) > 5 && s.Name[:5] == "team/" {
		var w teamWire
		if err := cbor.Unmarshal(s.Data, &w); err != nil {
			return &Error{Op: "join", Kind: Corrupt, Section: s.Name, Err: err}
		}
		t, err := w.team()
		if err != nil {
			return &Error{Op: "join", Kind: Corrupt, Section: s.Name, Err: err}
		}
		*teams = append(*teams, t)
		return nil
	}
	var w adaptersWire
	if err := cbor.Unmarshal(s.Data, &w); err != nil {
		return &Error{Op: "join", Kind: Corrupt, Section: s.Name, Err: err}
	}
	for i := range w.Adapters {
		*adapters = append(*adapters, w.Adapters[i].adapter())
	}
	return nil
}

func bucketOf(a *Adapter) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.Team + "/" + a.Name)) // never fails
	return int(h.Sum32() % AdapterBuckets)
}

func newSection(name string, wire any) Section {
	data := mustMarshal(wire)
	return Section{Name: name, Digest: sha256.Sum256(data), Data: data}
}

// EncodeRoot returns r in the form that the object API keeps.
func EncodeRoot(r Root) []byte {
	w := rootWire{Revision: r.Revision, ChangeID: r.ChangeID, Operator: r.Operator, Earlier: r.Earlier}
	for _, s := range r.Sections {
		w.Sections = append(w.Sections, sectionRefWire{Name: s.Name, Digest: s.Digest[:]})
	}
	return mustMarshal(w)
}

// DecodeRoot is the inverse of EncodeRoot. It returns an *Error of kind
// Corrupt for other input.
func DecodeRoot(b []byte) (Root, error) {
	var w rootWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Root{}, &Error{Op: "decode root", Kind: Corrupt, Err: err}
	}
	r := Root{Revision: w.Revision, ChangeID: w.ChangeID, Operator: w.Operator, Earlier: w.Earlier}
	for _, s := range w.Sections {
		d, ok := digestFromBytes(s.Digest)
		if !ok {
			return Root{}, &Error{Op: "decode root", Kind: Corrupt, Section: s.Name}
		}
		r.Sections = append(r.Sections, SectionRef{Name: s.Name, Digest: d})
	}
	return r, nil
}

// Follow makes r name the change of the root before it and those that that one
// names.
func (r Root) Follow(previous Root) Root {
	if previous.ChangeID == "" {
		return r
	}
	earlier := append([]string{previous.ChangeID}, previous.Earlier...)
	r.Earlier = earlier[:min(len(earlier), MaxEarlier)]
	return r
}

// RootOf returns the root of a revision made of sections.
func RootOf(revision uint64, changeID, operator string, sections []Section) Root {
	r := Root{Revision: revision, ChangeID: changeID, Operator: operator}
	for _, s := range sections {
		r.Sections = append(r.Sections, SectionRef{Name: s.Name, Digest: s.Digest})
	}
	return r
}

func mustMarshal(wire any) []byte {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("configuration: bad encoder options: " + err.Error())
	}
	b, err := mode.Marshal(wire)
	if err != nil {
		panic("configuration: cannot encode: " + err.Error())
	}
	return b
}

func digestFromBytes(b []byte) (Digest, bool) {
	var d Digest
	if len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}

func versionsToWire(vs []adapter.Version) []uint32 {
	out := make([]uint32, len(vs))
	for i, v := range vs {
		out[i] = uint32(v)
	}
	return out
}
