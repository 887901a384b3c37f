package revision

import (
	"context"
	"crypto/sha256"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Source provides sections of configurations.
type Source interface {
	// Name returns the name of the source for log lines.
	Name() string
	// Sections returns those of the wanted sections that the source has. It may
	// return sections together with an error. The caller must check that the
	// data have the stated digests.
	Sections(ctx context.Context, wanted []configuration.SectionRef) ([]configuration.Section, error)
}

// collect returns the sections of root in the order of root. It reads sections
// that the process does not have from sources. The sections are collected in a set
// of this call, because install empties the cache when another revision comes into
// force.
func (c *Controller) collect(ctx context.Context, root configuration.Root, sources []Source) ([]configuration.Section, error) {
	found := sectionSet{}
	for _, ref := range root.Sections {
		if s, ok := c.lookup(ref.Digest); ok {
			found[ref.Digest] = s
		}
	}
	var err error
	for _, src := range sources {
		missing := found.missing(root)
		if len(missing) == 0 {
			break
		}
		var got []configuration.Section
		got, err = src.Sections(ctx, missing)
		c.addVerified(found, src, got)
	}
	if missing := found.missing(root); len(missing) > 0 {
		return nil, &Error{Op: "collect", Kind: Incomplete, Err: err}
	}
	return found.assemble(root), nil
}

// missing returns the sections of root that are not in the set.
func (set sectionSet) missing(root configuration.Root) []configuration.SectionRef {
	var out []configuration.SectionRef
	for _, ref := range root.Sections {
		if _, ok := set[ref.Digest]; !ok {
			out = append(out, ref)
		}
	}
	return out
}

// assemble returns the sections of root, all of which are in the set.
func (set sectionSet) assemble(root configuration.Root) []configuration.Section {
	out := make([]configuration.Section, 0, len(root.Sections))
	for _, ref := range root.Sections {
		s := set[ref.Digest]
		s.Name = ref.Name
		s.Digest = ref.Digest
		out = append(out, s)
	}
	return out
}

func (c *Controller) lookup(d configuration.Digest) (configuration.Section, bool) {
	if data, ok := c.Section(d); ok {
		return configuration.Section{Digest: d, Data: data}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.fetched[d]
	return s, ok
}

// addVerified adds the sections whose data match their digests to found and to the
// cache, and logs and drops the others.
func (c *Controller) addVerified(found sectionSet, src Source, sections []configuration.Section) {
	for _, s := range sections {
		if sha256.Sum256(s.Data) != s.Digest {
			c.log.Event(event.SectionCorrupt).Str("from", src.Name()).Stringer("digest", s.Digest).Send()
			continue
		}
		found[s.Digest] = s
		c.mu.Lock()
		c.fetched[s.Digest] = s
		c.mu.Unlock()
	}
}

// storeSource is a Source that reads sections from the object API.
type storeSource struct {
	store Store
}

// Name implements Source.
func (storeSource) Name() string { return "object_api" }

// Sections implements Source.
func (s storeSource) Sections(ctx context.Context, wanted []configuration.SectionRef) ([]configuration.Section, error) {
	var out []configuration.Section
	for _, ref := range wanted {
		o, err := s.read(ctx, ref.Digest)
		if err != nil {
			return out, err
		}
		out = append(out, configuration.Section{Name: ref.Name, Digest: ref.Digest, Data: o.Value})
	}
	return out, nil
}

func (s storeSource) read(ctx context.Context, d configuration.Digest) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.store.Get(ctx, objects.Sections, d.String())
}
