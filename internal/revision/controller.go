// Package revision keeps the accepted configuration of a process: it learns of
// newer revisions from the object API and puts them in force, whole and only
// ever upwards.
//
// # Usage
//
//	c := revision.New(store, log)
//	go c.Run(ctx)
//	cfg := c.Current() // nil until the first revision is in force
package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Times of the controller.
const (
	watchWait   = 20 * time.Second // for one waiting watch
	callTimeout = 3 * time.Second  // for one read
	retryPause  = 500 * time.Millisecond
)

// Store is the part of the object API that the controller reads.
type Store interface {
	Get(ctx context.Context, kind objects.ObjectKind, name string) (objects.Object, error)
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
}

// Controller keeps the configuration in force.
type Controller struct {
	store   Store
	log     event.Log
	current atomic.Pointer[configuration.Configuration]

	mu        sync.Mutex // guards what follows, and the order of installs
	sections  map[configuration.Digest]configuration.Section
	listeners []func(*configuration.Configuration)
}

// New returns a controller without a configuration.
func New(store Store, log event.Log) *Controller {
	return &Controller{store: store, log: log, sections: map[configuration.Digest]configuration.Section{}}
}

// Current returns the configuration in force, or nil.
func (c *Controller) Current() *configuration.Configuration { return c.current.Load() }

// Revision returns the revision in force, or zero.
func (c *Controller) Revision() uint64 {
	if cfg := c.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// OnChange has f called with each configuration that comes into force. It must
// be called before Run.
func (c *Controller) OnChange(f func(*configuration.Configuration)) {
	c.listeners = append(c.listeners, f)
}

// Run follows the object API until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	var seen objects.Version
	for ctx.Err() == nil {
		version, err := c.follow(ctx, seen)
		if err != nil {
			c.log.At(event.StoreUnavailable).Str("purpose", "configuration").Err(err).Send()
			pause(ctx, retryPause)
			continue
		}
		seen = version
	}
}

// follow waits for one change of the root and puts it in force.
func (c *Controller) follow(ctx context.Context, seen objects.Version) (objects.Version, error) {
	wctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Roots, seen, watchWait)
	if err != nil {
		return seen, err
	}
	for _, o := range changed {
		if o.Name != objects.RootName || o.Deleted {
			continue
		}
		if err := c.adopt(ctx, o.Value); err != nil {
			return seen, err
		}
	}
	return max(seen, version), nil
}

// adopt puts the configuration of an encoded root in force.
func (c *Controller) adopt(ctx context.Context, encoded []byte) error {
	root, err := configuration.DecodeRoot(encoded)
	if err != nil {
		c.log.At(event.RevisionRejected).Err(err).Send()
		return err
	}
	if root.Revision <= c.Revision() {
		return nil
	}
	sections, err := c.fetch(ctx, root)
	if err != nil {
		return err
	}
	cfg, err := configuration.Join(root.Revision, sections)
	if err != nil {
		c.log.At(event.RevisionRejected).Uint64("revision", root.Revision).Err(err).Send()
		return err
	}
	c.install(cfg, sections)
	return nil
}

// fetch returns the sections of root, reading only the ones not yet known.
func (c *Controller) fetch(ctx context.Context, root configuration.Root) ([]configuration.Section, error) {
	out := make([]configuration.Section, 0, len(root.Sections))
	for _, ref := range root.Sections {
		c.mu.Lock()
		s, ok := c.sections[ref.Digest]
		c.mu.Unlock()
		if !ok {
			data, err := c.read(ctx, ref.Digest)
			if err != nil {
				return nil, err
			}
			s = configuration.Section{Digest: ref.Digest, Data: data}
		}
		s.Name = ref.Name
		out = append(out, s)
	}
	return out, nil
}

func (c *Controller) read(ctx context.Context, d configuration.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.store.Get(ctx, objects.Sections, d.String())
	return o.Value, err
}

// install puts cfg in force unless a newer one already is.
func (c *Controller) install(cfg *configuration.Configuration, sections []configuration.Section) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Revision <= c.Revision() {
		return
	}
	c.sections = make(map[configuration.Digest]configuration.Section, len(sections))
	for _, s := range sections {
		c.sections[s.Digest] = s
	}
	c.current.Store(cfg)
	c.log.At(event.RevisionInForce).Uint64("revision", cfg.Revision).Int("sections", len(sections)).Send()
	for _, f := range c.listeners {
		f(cfg)
	}
}

// pause waits for about d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	jittered := d/2 + time.Duration(rand.Int64N(int64(d)))
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
