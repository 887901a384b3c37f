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

// acceptedConfig is the accepted configuration with its root.
type acceptedConfig struct {
	config  *configuration.Configuration // nil if no configuration was accepted yet
	root    configuration.Root
	version objects.Version // object version of the root
}

// Store is the subset of the object API that is needed to accept a configuration.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Put(ctx context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error)
}

// readAccepted reads the accepted configuration from the store.
func readAccepted(ctx context.Context, store Store) (acceptedConfig, error) {
	o, err := store.Get(ctx, objects.Roots, objects.RootName)
	if objects.IsKind(err, objects.NotFound) {
		return acceptedConfig{}, nil
	}
	if err != nil {
		return acceptedConfig{}, err
	}
	root, err := configuration.DecodeRoot(o.Value)
	if err != nil {
		return acceptedConfig{}, err
	}
	var sections []configuration.Section
	for _, ref := range root.Sections {
		s, err := store.Get(ctx, objects.Sections, ref.Digest.String())
		if err != nil {
			return acceptedConfig{}, err
		}
		sections = append(sections, configuration.Section{Name: ref.Name, Digest: ref.Digest, Data: s.Value})
	}
	cfg, err := configuration.Join(root.Revision, sections)
	return acceptedConfig{config: cfg, root: root, version: o.Version}, err
}

// accept makes next the accepted configuration if base still is. It returns an
// *Error of kind Conflict if another change was accepted since base was read, and
// of kind OutcomeUnknown if it could not determine whether next was accepted.
func accept(ctx context.Context, store Store, base acceptedConfig, next *configuration.Configuration, operator string) error {
	sections := configuration.Split(next)
	for _, s := range sections {
		if err := writeSection(ctx, store, base.root, s); err != nil {
			return err
		}
	}
	root := configuration.NewRoot(next.Revision, newChangeID(), operator, sections).WithPrevious(base.root)
	return replaceRoot(ctx, store, base, root)
}

// writeSection writes a section unless the known root refers to it already.
// Sections are content-addressed, so an existing section with the same name is
// identical, and a write with an uncertain outcome can be repeated safely.
func writeSection(ctx context.Context, store Store, known configuration.Root, s configuration.Section) error {
	for _, ref := range known.Sections {
		if ref.Digest == s.Digest {
			return nil
		}
	}
	for retries := 0; ; retries++ {
		_, err := store.Put(ctx, objects.Sections, s.Digest.String(), s.Data, 0)
		if err == nil || objects.IsKind(err, objects.Conflict) {
			return nil
		}
		if !objects.IsKind(err, objects.Uncertain) || retries == maxWriteRetries {
			return err
		}
	}
}

// maxWriteRetries limits the repetitions of a write whose outcome is uncertain:
// it is the number of retries for a section and the number of attempts for the
// root.
const maxWriteRetries = 5

// replaceRoot conditionally replaces the root of base with root. It repeats a
// write whose outcome is uncertain. The repeated write succeeds if the first one
// had no effect. If it conflicts, the stored root shows whether the first one
// took effect.
func replaceRoot(ctx context.Context, store Store, base acceptedConfig, root configuration.Root) error {
	uncertain := false
	for range maxWriteRetries {
		_, err := store.Put(ctx, objects.Roots, objects.RootName, configuration.EncodeRoot(root), base.version)
		switch {
		case err == nil:
			return nil
		case objects.IsKind(err, objects.Conflict):
			if uncertain {
				return resolveUncertainWrite(ctx, store, root)
			}
			return &Error{Op: "accept", Kind: Conflict}
		case !objects.IsKind(err, objects.Uncertain):
			if uncertain {
				return &Error{Op: "accept", Kind: OutcomeUnknown, Err: err}
			}
			return err
		}
		uncertain = true
	}
	return &Error{Op: "accept", Kind: OutcomeUnknown}
}

// resolveUncertainWrite determines whether an earlier write of root with an
// uncertain outcome took effect, after a repeated write has conflicted. It
// returns nil if it did, an *Error of kind Conflict if it did not, and one of
// kind OutcomeUnknown if the stored root can't be read or has been replaced by
// more changes than it lists.
func resolveUncertainWrite(ctx context.Context, store Store, root configuration.Root) error {
	o, err := store.Get(ctx, objects.Roots, objects.RootName)
	if err != nil {
		return &Error{Op: "accept", Kind: OutcomeUnknown, Err: err}
	}
	stored, err := configuration.DecodeRoot(o.Value)
	if err != nil {
		return &Error{Op: "accept", Kind: OutcomeUnknown, Err: err}
	}
	if stored.Contains(root.ChangeID) {
		return nil
	}
	if stored.Revision > root.Revision+configuration.MaxPreviousChanges {
		return &Error{Op: "accept", Kind: OutcomeUnknown}
	}
	return &Error{Op: "accept", Kind: Conflict}
}

func newChangeID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// readAnswers reads the questionnaires named on the command line. It prints an
// error for each invalid one and reports whether all are valid.
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
	if err := c.wait.check(); err != nil {
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
	base, err := readAccepted(ctx, store)
	if err != nil {
		return c.fail(err)
	}
	if base.root.Revision != c.revision {
		return c.reportConflict(base, answers)
	}
	next := questionnaire.Generate(base.config, answers...)
	err = accept(ctx, store, base, next, c.operator)
	if isKind(err, Conflict) {
		current, readErr := readAccepted(ctx, store)
		if readErr != nil {
			return c.fail(err)
		}
		return c.reportConflict(current, answers)
	}
	if err != nil {
		return c.fail(err)
	}
	c.printf("accepted revision %d\n", next.Revision)
	if c.wait.timeout > 0 {
		return c.awaitInForce(next.Revision)
	}
	return exitOK
}

// reportConflict prints the accepted revision and the changes that the answers
// would make to it, and returns the exit code of a conflict.
func (c *commandLine) reportConflict(current acceptedConfig, answers []questionnaire.Answers) int {
	c.printf("revision %d is in force (by %q); your answers would change:\n", current.root.Revision, current.root.Operator)
	next := questionnaire.Generate(current.config, answers...)
	c.printChanges(configuration.Diff(current.config, next))
	return c.fail(&Error{Op: "accept", Kind: Conflict})
}

func (c *commandLine) printChanges(changes []configuration.Change) {
	for _, ch := range changes {
		c.printf("%s\n", ch)
	}
	c.printf("%d changes\n", len(changes))
}
