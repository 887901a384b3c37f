package configuration

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"github.com/borageusher/borageusher/pkg/adapter"
)

// AdapterBuckets is the number of sections among which a configuration's
// adapters are partitioned by hash, so that a change to one adapter replaces one
// small section only.
const AdapterBuckets = 64

// Section is one immutable, encoded part of a configuration.
type Section struct {
	Name   string // "team/<name>" or "adapters/<bucket>"
	Digest Digest // SHA-256 of Data
	Data   []byte
}

// SectionRef is a root's reference to a section by its digest.
type SectionRef struct {
	Name   string
	Digest Digest
}

// Root lists the sections of one accepted revision.
type Root struct {
	Revision        uint64
	ChangeID        string // random identifier of the change that created the revision
	Operator        string
	Sections        []SectionRef
	PreviousChanges []string // identifiers of the preceding changes, newest first, at most MaxPreviousChanges
}

// MaxPreviousChanges is the maximum number of preceding changes that a root
// lists. An operator whose write got no response searches the list to determine
// whether the write took effect.
const MaxPreviousChanges = 64

// Contains reports whether changeID is the root's own change or one of the
// preceding changes that it lists.
func (r Root) Contains(changeID string) bool {
	if r.ChangeID == changeID {
		return true
	}
	for _, id := range r.PreviousChanges {
		if id == changeID {
			return true
		}
	}
	return false
}

// Split encodes c as sections, sorted by name. Equal parts of two
// configurations encode to equal sections.
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

// Join decodes sections into the configuration of a revision. It returns an
// *Error of kind Corrupt if a section can't be decoded or its data does not
// match its digest.
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
	internStrings(adapters)
	return New(revision, teams, adapters), nil
}

// adapterCountHint estimates the number of adapters in sections, to allocate the
// slice of adapters once with about the right capacity.
func adapterCountHint(sections []Section) int {
	const typicalAdapterBytes = 40 // encoded size
	n := 0
	for _, s := range sections {
		n += len(s.Data)
	}
	return n / typicalAdapterBytes
}

// internStrings makes adapters share the memory of equal team names, equal
// service names and equal version lists of length one.
func internStrings(adapters []Adapter) {
	interned := map[string]string{}
	intern := func(s string) string {
		if known, ok := interned[s]; ok {
			return known
		}
		interned[s] = s
		return s
	}
	singletons := map[adapter.Version][]adapter.Version{}
	for i := range adapters {
		a := &adapters[i]
		a.Team = intern(a.Team)
		a.Service = intern(a.Service)
		if len(a.Versions) != 1 {
			continue
		}
		v := a.Versions[0]
		if singletons[v] == nil {
			singletons[v] = a.Versions
		}
		a.Versions = singletons[v]
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

// EncodeRoot returns r in the form that is stored through the object API.
func EncodeRoot(r Root) []byte {
	w := rootWire{Revision: r.Revision, ChangeID: r.ChangeID, Operator: r.Operator, PreviousChanges: r.PreviousChanges}
	for _, s := range r.Sections {
		w.Sections = append(w.Sections, sectionRefWire{Name: s.Name, Digest: s.Digest[:]})
	}
	return mustMarshal(w)
}

// DecodeRoot is the inverse of EncodeRoot. It returns an *Error of kind Corrupt
// if b is not an encoded root.
func DecodeRoot(b []byte) (Root, error) {
	var w rootWire
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Root{}, &Error{Op: "decode root", Kind: Corrupt, Err: err}
	}
	r := Root{Revision: w.Revision, ChangeID: w.ChangeID, Operator: w.Operator, PreviousChanges: w.PreviousChanges}
	for _, s := range w.Sections {
		d, ok := digestFromBytes(s.Digest)
		if !ok {
			return Root{}, &Error{Op: "decode root", Kind: Corrupt, Section: s.Name}
		}
		r.Sections = append(r.Sections, SectionRef{Name: s.Name, Digest: d})
	}
	return r, nil
}

// WithPrevious returns a copy of r that lists the change of the previous root
// and the changes that the previous root lists, at most MaxPreviousChanges in
// all. If previous is the zero Root, it returns r unchanged.
func (r Root) WithPrevious(previous Root) Root {
	if previous.ChangeID == "" {
		return r
	}
	earlier := append([]string{previous.ChangeID}, previous.PreviousChanges...)
	r.PreviousChanges = earlier[:min(len(earlier), MaxPreviousChanges)]
	return r
}

// NewRoot returns the root of a revision that consists of sections.
func NewRoot(revision uint64, changeID, operator string, sections []Section) Root {
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
