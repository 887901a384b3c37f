package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/questionnaire"
)

// inForce is the accepted configuration with the version of its root.
type inForce struct {
	configuration *configuration.Configuration // nil before the first
	root          configuration.Root
	version       objects.Version
}

// Store is the part of the object API that accepting a configuration needs.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// readInForce reads the accepted configuration.
func readInForce(ctx context.Context, store Store) (inForce, error) {
	o, err := store.Get(ctx, objects.Roots, objects.RootName)
	if objects.IsKind(err, objects.NotFound) {
		return inForce{}, nil
	}
	if err != nil {
		return inForce{}, err
	}
	root, err := configuration.DecodeRoot(o.Value)
	if err != nil {
		return inForce{}, err
	}
	var sections []configuration.Section
	for _, ref := range root.Sections {
		s, err := store.Get(ctx, objects.Sections, ref.Digest.String())
		if err != nil {
			return inForce{}, err
		}
		sections = append(sections, configuration.Section{Name: ref.Name, Digest: ref.Digest, Data: s.Value})
	}
	cfg, err := configuration.Join(root.Revision, sections)
	return inForce{configuration: cfg, root: root, version: o.Version}, err
}

// accept moves the root to next, which follows base. The error is of kind
// Raced when another change came first.
func accept(ctx context.Context, store Store, base inForce, next *configuration.Configuration, operator string) error {
	sections := configuration.Split(next)
	for _, s := range sections {
		if err := writeSection(ctx, store, base.root, s); err != nil {
			return err
		}
	}
	root := configuration.RootOf(next.Revision, newChangeID(), operator, sections).Follow(base.root)
	return moveRoot(ctx, store, base, root)
}

// writeSection writes a section unless the root names it already. Sections are
// named by their content, so one that exists is the same, and a write whose
// answer was lost is made again.
func writeSection(ctx context.Context, store Store, known configuration.Root, s configuration.Section) error {
	for _, ref := range known.Sections {
		if ref.Digest == s.Digest {
			return nil
		}
	}
	for try := 0; ; try++ {
		_, err := store.Put(ctx, objects.Sections, s.Digest.String(), s.Data, 0)
		if err == nil || objects.IsKind(err, objects.Conflict) {
			return nil
		}
		if !objects.IsKind(err, objects.Uncertain) || try == lostAnswers {
			return err
		}
	}
}

// lostAnswers is how often a write is made again after its answer was lost.
const lostAnswers = 5

// moveRoot writes root over the one of base. A write whose answer was lost is
// made again: it succeeds if the first one had no effect, and otherwise the
// root that is there tells whether the change is part of it.
func moveRoot(ctx context.Context, store Store, base inForce, root configuration.Root) error {
	lost := false
	for range lostAnswers {
		_, err := store.Put(ctx, objects.Roots, objects.RootName, configuration.EncodeRoot(root), base.version)
		switch {
		case err == nil:
			return nil
		case objects.IsKind(err, objects.Conflict):
			if lost {
				return settle(ctx, store, root)
			}
			return &Error{Op: "accept", Kind: Raced}
		case !objects.IsKind(err, objects.Uncertain):
			if lost {
				return &Error{Op: "accept", Kind: NotKnown, Err: err}
			}
			return err
		}
		lost = true
	}
	return &Error{Op: "accept", Kind: NotKnown}
}

// settle finds out whether a write of root whose answer was lost took effect,
// once the root that it was to replace has been replaced.
func settle(ctx context.Context, store Store, root configuration.Root) error {
	o, err := store.Get(ctx, objects.Roots, objects.RootName)
	if err != nil {
		return &Error{Op: "accept", Kind: NotKnown, Err: err}
	}
	now, err := configuration.DecodeRoot(o.Value)
	if err != nil {
		return &Error{Op: "accept", Kind: NotKnown, Err: err}
	}
	if now.Contains(root.ChangeID) {
		return nil
	}
	if now.Revision > root.Revision+configuration.MaxEarlier {
		return &Error{Op: "accept", Kind: NotKnown}
	}
	return &Error{Op: "accept", Kind: Raced}
}

func newChangeID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// readAnswers reads all questionnaires of the command line.
func (c *commandLine) readAnswers() ([]questionnaire.Answers, bool) {
	if c.flags.NArg() == 0 {
		c.flags.Usage()
		return nil, false
	}
	var out []questionnaire.Answers
	ok := true
	for _, path := range c.flags.Args() {
		a, err := questionnaire.Read(path)
		if err != nil {
			_, _ = fmt.Fprintln(c.err, err)
			ok = false
			continue
		}
		out = append(out, a)
	}
	return out, ok
}

func runAccept(c *commandLine) int {
	if err := c.waiting.check(); err != nil {
		_, _ = fmt.Fprintln(c.err, "borageusher:", err)
		return exitUsage
	}
	answers, ok := c.readAnswers()
	if !ok {
		return exitUsage
	}
	store, err := c.objectAPI()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	base, err := readInForce(ctx, store)
	if err != nil {
		return c.fail(err)
	}
	if base.root.Revision != c.revision {
		return c.lostRace(base, answers)
	}
	next := questionnaire.Generate(base.configuration, answers...)
	err = accept(ctx, store, base, next, c.operator)
	if isKind(err, Raced) {
		winner, readErr := readInForce(ctx, store)
		if readErr != nil {
			return c.fail(err)
		}
		return c.lostRace(winner, answers)
	}
	if err != nil {
		return c.fail(err)
	}
	c.printf("accepted revision %d\n", next.Revision)
	if c.waiting.wait > 0 {
		return c.waitInForce(next.Revision)
	}
	return exitOK
}

// lostRace tells the operator what is in force now and what is still to change.
func (c *commandLine) lostRace(now inForce, answers []questionnaire.Answers) int {
	c.printf("revision %d is in force (by %q); your answers would change:\n", now.root.Revision, now.root.Operator)
	next := questionnaire.Generate(now.configuration, answers...)
	c.printChanges(configuration.Diff(now.configuration, next))
	return c.fail(&Error{Op: "accept", Kind: Raced})
}

func (c *commandLine) printChanges(changes []configuration.Change) {
	for _, ch := range changes {
		c.printf("%s\n", ch)
	}
	c.printf("%d changes\n", len(changes))
}
