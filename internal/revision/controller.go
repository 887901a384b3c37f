package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/jitter"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Times of the controller.
const (
	watchWait   = 3 * time.Second         // for one waiting watch
	watchGrace  = 1500 * time.Millisecond // beyond watchWait, after which a watch counts as silent
	callTimeout = 3 * time.Second         // for one read
	retryPause  = 500 * time.Millisecond
)

// Duty says how a process follows the object API.
type Duty struct {
	Watch bool          // keep a waiting watch
	Poll  time.Duration // otherwise, between two reads
	// Delay is how long a process waits after it saw a new root before it reads
	// sections, so that one process of a region reads them and the others get
	// them from it.
	Delay time.Duration
	// Changed is closed when the duty may have changed; nil if it never is.
	Changed <-chan struct{}
}

// Store is the part of the object API that the controller reads.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
}

// Controller keeps the configuration in force.
type Controller struct {
	store   Store
	log     event.Log
	duty    func() Duty
	current atomic.Pointer[inForce]

	mu        sync.Mutex // guards what follows, and the order of installs
	fetched   sectionSet // of a revision that is not yet in force
	listeners []func(*configuration.Configuration)
}

// inForce is a configuration with its encoded parts, for peers that ask.
type inForce struct {
	configuration *configuration.Configuration
	root          []byte
	sections      sectionSet
}

// sectionSet holds sections by their digest.
type sectionSet map[configuration.Digest]configuration.Section

// New returns a controller without a configuration, which watches the object
// API unless SetDuty says otherwise.
func New(store Store, log event.Log) *Controller {
	return &Controller{
		store:   store,
		log:     log,
		duty:    func() Duty { return Duty{Watch: true} },
		fetched: sectionSet{},
	}
}

// SetDuty has f asked how to follow the object API. It must be called before Run.
func (c *Controller) SetDuty(f func() Duty) { c.duty = f }

// Current returns the configuration in force, or nil.
func (c *Controller) Current() *configuration.Configuration {
	if now := c.current.Load(); now != nil {
		return now.configuration
	}
	return nil
}

// Revision returns the revision in force, or zero.
func (c *Controller) Revision() uint64 {
	if cfg := c.Current(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// Root returns the encoded root of the revision in force, or nil.
func (c *Controller) Root() []byte {
	if now := c.current.Load(); now != nil {
		return now.root
	}
	return nil
}

// Section returns a section of the revision in force.
func (c *Controller) Section(d configuration.Digest) ([]byte, bool) {
	now := c.current.Load()
	if now == nil {
		return nil, false
	}
	s, ok := now.sections[d]
	return s.Data, ok
}

// OnChange has f called with each configuration that comes into force. It must
// be called before Run.
func (c *Controller) OnChange(f func(*configuration.Configuration)) {
	c.listeners = append(c.listeners, f)
}

// Run follows the object API until ctx is done. It reads at once when it starts.
func (c *Controller) Run(ctx context.Context) {
	var seen objects.Version
	for wait := time.Duration(0); ctx.Err() == nil; wait = watchWait {
		version, err := c.follow(ctx, seen, wait)
		if err != nil {
			c.log.At(event.StoreUnavailable).Str("purpose", "configuration").Err(err).Send()
			jitter.Pause(ctx, retryPause)
		} else {
			seen = version
		}
		Rest(ctx, c.duty)
	}
}

// Rest returns at once if it is the process's duty to watch, and otherwise
// when the next read is due or the duty has become to watch.
func Rest(ctx context.Context, duty func() Duty) {
	began := time.Now()
	jitter := rand.Float64()
	for ctx.Err() == nil {
		d := duty()
		left := d.Poll/2 + time.Duration(jitter*float64(d.Poll)) - time.Since(began)
		if d.Watch || left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-d.Changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// follow reads changes of the root, waiting for one for up to wait, and puts
// them in force.
func (c *Controller) follow(ctx context.Context, seen objects.Version, wait time.Duration) (objects.Version, error) {
	if !c.duty().Watch {
		wait = 0
	}
	wctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Roots, seen, wait)
	if err != nil {
		return seen, err
	}
	for _, o := range changed {
		if o.Name != objects.RootName || o.Deleted {
			continue
		}
		if err := c.adoptFromStore(ctx, o.Value); err != nil {
			return seen, err
		}
	}
	return max(seen, version), nil
}

// adoptFromStore puts a root that the object API gave in force. It leaves
// others of the region the time to read the sections first.
func (c *Controller) adoptFromStore(ctx context.Context, encoded []byte) error {
	root, err := configuration.DecodeRoot(encoded)
	if err == nil && c.Revision() < root.Revision {
		c.waitFor(ctx, root.Revision, c.duty().Delay)
	}
	return c.Adopt(ctx, encoded)
}

// waitFor waits until a revision is in force, at most for d.
func (c *Controller) waitFor(ctx context.Context, revision uint64, d time.Duration) {
	const step = 20 * time.Millisecond
	for until := time.Now().Add(d); time.Now().Before(until) && c.Revision() < revision; {
		jitter.Pause(ctx, step)
	}
}

// Adopt puts the configuration of an encoded root in force, unless a newer one
// is. Missing sections are taken from the sources in order, and from the object
// API last.
func (c *Controller) Adopt(ctx context.Context, encoded []byte, sources ...Source) error {
	root, err := configuration.DecodeRoot(encoded)
	if err != nil {
		c.log.At(event.RevisionRejected).Err(err).Send()
		return err
	}
	if root.Revision <= c.Revision() {
		return nil
	}
	sections, err := c.collect(ctx, root, append(sources, storeSource{c.store}))
	if err != nil {
		return err
	}
	cfg, err := configuration.Join(root.Revision, sections)
	if err != nil {
		c.log.At(event.RevisionRejected).Uint64("revision", root.Revision).Err(err).Send()
		return err
	}
	c.install(&inForce{configuration: cfg, root: encoded}, sections)
	return nil
}

// install puts next in force unless a newer one already is.
func (c *Controller) install(next *inForce, sections []configuration.Section) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := next.configuration
	if cfg.Revision <= c.Revision() {
		return
	}
	next.sections = make(sectionSet, len(sections))
	for _, s := range sections {
		next.sections[s.Digest] = s
	}
	c.fetched = sectionSet{}
	c.current.Store(next)
	c.log.At(event.RevisionInForce).Uint64("revision", cfg.Revision).Int("sections", len(sections)).Send()
	for _, f := range c.listeners {
		f(cfg)
	}
}
