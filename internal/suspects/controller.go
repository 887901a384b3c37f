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

// Timeouts and intervals of the controller.
const (
	watchTimeout  = 60 * time.Second // for one long-polling watch
	callTimeout   = 3 * time.Second  // for one read or write
	clearInterval = time.Second      // between writes of cleared fingerprints
	earlyClearTTL = 5 * time.Second  // an answer clears a suspect of a crash that becomes known up to this much later
	retryDelay    = time.Second
)

// readyAfterFailures is the number of failed initial reads after which a process
// may become ready without knowing the crashes.
const readyAfterFailures = 2

// Store is the part of the object API that a Controller needs.
type Store interface {
	Writer
	List(ctx context.Context, kind objects.ObjectKind) ([]objects.Object, objects.Version, error)
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
	// Answered reports whether the object API has answered any call.
	Answered() bool
}

// Controller watches the crash records and classifies requests by them. Its
// methods are safe for concurrent use.
type Controller struct {
	store Store
	log   event.Log

	loaded   atomic.Bool
	failures atomic.Int32 // of the initial read

	mu          sync.RWMutex
	list        quarantine.List
	unwritten   map[string][]quarantine.Fingerprint  // fingerprints cleared but not yet written, by crash name
	earlyClears map[quarantine.Fingerprint]time.Time // time of answer, for requests answered before their crash was known here
}

// New returns a controller without any crashes until Run is called.
func New(store Store, log event.Log) *Controller {
	return &Controller{store: store, log: log, unwritten: map[string][]quarantine.Fingerprint{}, earlyClears: map[quarantine.Fingerprint]time.Time{}}
}

// Classify returns the verdict on a request and the targets that crashed with it in
// flight. While no crash is known, it computes no fingerprint.
func (c *Controller) Classify(now time.Time, r quarantine.Request) (quarantine.Verdict, []string) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.list.Empty() {
		return quarantine.Innocent, nil
	}
	f := quarantine.FingerprintOf(r)
	verdict := c.list.Classify(now, f)
	if verdict == quarantine.Innocent {
		return verdict, nil
	}
	return verdict, c.list.Targets(f)
}

// Clear records that a request was answered, which clears it as a suspect. Other
// processes receive the change through the object API.
func (c *Controller) Clear(now time.Time, r quarantine.Request) {
	f := quarantine.FingerprintOf(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.clear(f) {
		c.earlyClears[f] = now
	}
}

// clear clears f in all crashes and reports whether it was a suspect of any. The
// caller holds c.mu.
func (c *Controller) clear(f quarantine.Fingerprint) bool {
	names := c.list.Clear(f)
	for _, name := range names {
		c.log.Event(event.SuspectCleared).Stringer("fingerprint", f).Str("crash", name).Send()
		c.unwritten[name] = append(c.unwritten[name], f)
	}
	return len(names) > 0
}

// Run reads and watches the crash records and writes what was cleared until ctx
// is done.
func (c *Controller) Run(ctx context.Context) {
	go c.writeClearedLoop(ctx)
	var seen objects.Version
	for ctx.Err() == nil {
		version, err := c.update(ctx, seen)
		if err != nil {
			c.log.Event(event.StoreUnavailable).Str("purpose", "suspects").Err(err).Send()
			jitter.Pause(ctx, retryDelay)
			continue
		}
		seen = version
	}
}

// Ready reports whether the process may serve requests: the crashes have been
// read once, or the object API has been unavailable since the process started.
// In the latter case serving without knowing the crashes is better than not
// serving.
func (c *Controller) Ready() bool {
	if c.loaded.Load() {
		return true
	}
	return c.failures.Load() >= readyAfterFailures && !c.store.Answered()
}

// update reads all crashes the first time and watches for changes afterwards. It
// returns the version to watch from next.
func (c *Controller) update(ctx context.Context, seen objects.Version) (objects.Version, error) {
	if c.loaded.Load() {
		return c.watch(ctx, seen)
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

func (c *Controller) watch(ctx context.Context, seen objects.Version) (objects.Version, error) {
	wctx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Suspects, seen, watchTimeout)
	if err != nil {
		return seen, err
	}
	c.apply(time.Now(), changed)
	return max(seen, version), nil
}

// apply applies changed records to the list of crashes and clears suspects that
// were answered before their crash was known.
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
			c.log.Event(event.CrashUnreadable).Str("crash", o.Name).Err(err).Send()
			continue
		}
		c.list.Add(crash)
		c.log.Event(event.CrashKnown).Str("crash", o.Name).Str("target", crash.Target).
			Int("in_flight", len(crash.InFlight)).Int("cleared", len(crash.Cleared)).Send()
	}
	c.list.Expire(now)
	for f, at := range c.earlyClears {
		if c.clear(f) || now.Sub(at) > earlyClearTTL {
			delete(c.earlyClears, f)
		}
	}
}

// writeClearedLoop writes the cleared fingerprints, batched by crash, every
// clearInterval until ctx is done.
func (c *Controller) writeClearedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		jitter.Pause(ctx, clearInterval)
		for name, fs := range c.takeUnwritten() {
			if err := c.writeCleared(ctx, name, fs); err != nil {
				c.putBackUnwritten(name, fs)
			}
		}
	}
}

// takeUnwritten removes and returns the unwritten fingerprints.
func (c *Controller) takeUnwritten() map[string][]quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.unwritten
	c.unwritten = map[string][]quarantine.Fingerprint{}
	return taken
}

// putBackUnwritten returns fingerprints whose write failed.
func (c *Controller) putBackUnwritten(name string, fs []quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten[name] = append(c.unwritten[name], fs...)
}

// writeCleared adds cleared fingerprints to the record of one crash. After a
// conflict with another process or an uncertain write it returns an error, and
// the caller must retry.
func (c *Controller) writeCleared(ctx context.Context, name string, fs []quarantine.Fingerprint) error {
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
		c.log.Event(event.CrashUnreadable).Str("crash", name).Err(err).Send()
		return nil //nolint:nilerr // a retry would read the same corrupt record
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
