package revision

import (
	"context"
	"crypto/sha256"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Source is a place to take sections from.
type Source interface {
	// Name names the source in log lines.
	Name() string
	// Sections returns those of the wanted sections that the source gives.
	// Their data need not have the digest that they are named by.
	Sections(ctx context.Context, wanted []configuration.SectionRef) ([]configuration.Section, error)
}

// collect returns the sections of root in its order, taking those that are not
// known from sources.
func (c *Controller) collect(ctx context.Context, root configuration.Root, sources []Source) ([]configuration.Section, error) {
	var err error
	for _, src := range sources {
		missing := c.missing(root)
		if len(missing) == 0 {
			break
		}
		var got []configuration.Section
		got, err = src.Sections(ctx, missing)
		c.keep(src, got)
	}
	if missing := c.missing(root); len(missing) > 0 {
		return nil, &Error{Op: "collect", Kind: Incomplete, Err: err}
	}
	return c.known(root), nil
}

// missing returns the sections of root that the process does not have.
func (c *Controller) missing(root configuration.Root) []configuration.SectionRef {
	var out []configuration.SectionRef
	for _, ref := range root.Sections {
		if _, ok := c.lookup(ref.Digest); !ok {
			out = append(out, ref)
		}
	}
	return out
}

// known returns the sections of root, all of which the process has.
func (c *Controller) known(root configuration.Root) []configuration.Section {
	out := make([]configuration.Section, 0, len(root.Sections))
	for _, ref := range root.Sections {
		s, _ := c.lookup(ref.Digest)
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

// keep keeps the sections whose data have their digest and drops the others.
func (c *Controller) keep(src Source, sections []configuration.Section) {
	for _, s := range sections {
		if sha256.Sum256(s.Data) != s.Digest {
			c.log.At(event.SectionCorrupt).Str("from", src.Name()).Stringer("digest", s.Digest).Send()
			continue
		}
		c.mu.Lock()
		c.fetched[s.Digest] = s
		c.mu.Unlock()
	}
}

// storeSource takes sections from the object API.
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
