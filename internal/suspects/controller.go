package suspects

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/jitter"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// Times of the controller.
const (
	watchWait   = 60 * time.Second // for one waiting watch
	callTimeout = 3 * time.Second  // for one read or write
	clearEvery  = time.Second      // between two writes of what was cleared
	earlyFor    = 5 * time.Second  // how long an answer counts for a crash that is not known yet
	retryPause  = time.Second
)

// readyAfterFailures is the number of failed first reads after which a process
// serves without knowing the crashes.
const readyAfterFailures = 2

// Store is the part of the object API that the controller needs.
type Store interface {
	Writer
	List(ctx context.Context, kind objects.ObjectKind) ([]objects.Object, objects.Version, error)
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
	// Answered reports whether the object API has answered any call.
	Answered() bool
}

// Controller follows the crashes and judges requests by them.
type Controller struct {
	store Store
	log   event.Log

	loaded   atomic.Bool
	failures atomic.Int32 // of the first read

	mu      sync.RWMutex
	list    quarantine.List
	cleared map[string][]quarantine.Fingerprint  // by crash, not yet written
	early   map[quarantine.Fingerprint]time.Time // answered before their crash was known here
}

// New returns a controller that knows no crash.
func New(store Store, log event.Log) *Controller {
	return &Controller{store: store, log: log, cleared: map[string][]quarantine.Fingerprint{}, early: map[quarantine.Fingerprint]time.Time{}}
}

// Judge returns the verdict on a request and the targets that crashed with it
// in flight. It costs nothing while no crash is known.
func (c *Controller) Judge(now time.Time, r quarantine.Request) (quarantine.Verdict, []string) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.list.Empty() {
		return quarantine.Innocent, nil
	}
	f := quarantine.Of(r)
	verdict := c.list.Judge(now, f)
	if verdict == quarantine.Innocent {
		return verdict, nil
	}
	return verdict, c.list.Targets(f)
}

// Clear records that a suspect was answered. Other processes hear of it.
func (c *Controller) Clear(now time.Time, r quarantine.Request) {
	f := quarantine.Of(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.clear(f) {
		c.early[f] = now
	}
}

// clear clears f and reports whether it was a suspect. The caller holds c.mu.
func (c *Controller) clear(f quarantine.Fingerprint) bool {
	names := c.list.Clear(f)
	for _, name := range names {
		c.log.At(event.SuspectCleared).Stringer("fingerprint", f).Str("crash", name).Send()
		c.cleared[name] = append(c.cleared[name], f)
	}
	return len(names) > 0
}

// Run follows the crashes until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	go c.writeCleared(ctx)
	var seen objects.Version
	for ctx.Err() == nil {
		version, err := c.next(ctx, seen)
		if err != nil {
			c.log.At(event.StoreUnavailable).Str("purpose", "suspects").Err(err).Send()
			jitter.Pause(ctx, retryPause)
			continue
		}
		seen = version
	}
}

// Ready reports whether requests may be judged: the crashes were read once, or
// the object API has been out since the process started, when serving without
// them beats not serving.
func (c *Controller) Ready() bool {
	if c.loaded.Load() {
		return true
	}
	return c.failures.Load() >= readyAfterFailures && !c.store.Answered()
}

func (c *Controller) next(ctx context.Context, seen objects.Version) (objects.Version, error) {
	if c.loaded.Load() {
		return c.follow(ctx, seen)
	}
	lctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, version, err := c.store.List(lctx, objects.Suspects)
	if err != nil {
		c.failures.Add(1)
		return seen, err
	}
	c.apply(time.Now(), all)
	c.loaded.Store(true)
	return version, nil
}

func (c *Controller) follow(ctx context.Context, seen objects.Version) (objects.Version, error) {
	wctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Suspects, seen, watchWait)
	if err != nil {
		return seen, err
	}
	c.apply(time.Now(), changed)
	return max(seen, version), nil
}

func (c *Controller) apply(now time.Time, changed []objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range changed {
		if o.Deleted {
			c.list.Remove(o.Name)
			continue
		}
		crash, err := Decode(o.Name, o.Value)
		if err != nil {
			c.log.At(event.CrashUnreadable).Str("crash", o.Name).Err(err).Send()
			continue
		}
		c.list.Add(crash)
		c.log.At(event.CrashKnown).Str("crash", o.Name).Str("target", crash.Target).
			Int("in_flight", len(crash.InFlight)).Int("cleared", len(crash.Cleared)).Send()
	}
	c.list.Expire(now)
	for f, at := range c.early {
		if c.clear(f) || now.Sub(at) > earlyFor {
			delete(c.early, f)
		}
	}
}

// writeCleared writes what was cleared, together for each crash.
func (c *Controller) writeCleared(ctx context.Context) {
	for ctx.Err() == nil {
		jitter.Pause(ctx, clearEvery)
		for name, fs := range c.takeCleared() {
			if err := c.writeOne(ctx, name, fs); err != nil {
				c.putBack(name, fs)
			}
		}
	}
}

func (c *Controller) takeCleared() map[string][]quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.cleared
	c.cleared = map[string][]quarantine.Fingerprint{}
	return taken
}

func (c *Controller) putBack(name string, fs []quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleared[name] = append(c.cleared[name], fs...)
}

// writeOne adds to what is cleared of one crash. A write that another process
// got ahead of, or whose fate is not known, is tried again later.
func (c *Controller) writeOne(ctx context.Context, name string, fs []quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := c.store.Get(ctx, objects.Suspects, name)
	if objects.IsKind(err, objects.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	crash, err := Decode(name, o.Value)
	if err != nil {
		c.log.At(event.CrashUnreadable).Str("crash", name).Err(err).Send()
		return nil //nolint:nilerr // trying again would not help
	}
	before := len(crash.Cleared)
	for _, f := range fs {
		if !slices.Contains(crash.Cleared, f) {
			crash.Cleared = append(crash.Cleared, f)
		}
	}
	if len(crash.Cleared) == before {
		return nil
	}
	_, err = c.store.Put(ctx, objects.Suspects, name, Encode(crash), o.Version)
	return err
}
