package members

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/jitter"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of the controller.
const (
	watchWait   = 3 * time.Second         // for one waiting watch
	watchGrace  = 1500 * time.Millisecond // beyond watchWait, after which a watch counts as silent
	callTimeout = 3 * time.Second         // for one read or write
	vmInterval  = 2 * time.Second         // between two readings of the VM list
	retryPause  = 500 * time.Millisecond
)

// Store is the part of the platform's API that the controller uses.
type Store interface {
	registration.Store
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
	VMs(ctx context.Context) ([]objects.VM, error)
}

// Controller keeps the known targets.
type Controller struct {
	store Store
	log   event.Log
	duty  func() revision.Duty

	mu        sync.RWMutex
	known     map[string]record // by name, with those deleted
	newest    objects.Version   // all changes up to it are known
	list      []target.Target   // what Targets returns
	listeners []func()
	marked    map[netip.Addr]string // incarnation that was marked for a leaving VM
}

// record is one registration as the object API had it.
type record struct {
	object objects.Object
	target target.Target // zero if the object does not decode
	valid  bool
}

// New returns a controller that knows no target, and that watches the object
// API unless SetDuty says otherwise.
func New(store Store, log event.Log) *Controller {
	return &Controller{
		store:  store,
		log:    log,
		duty:   func() revision.Duty { return revision.Duty{Watch: true} },
		known:  map[string]record{},
		marked: map[netip.Addr]string{},
	}
}

// SetDuty has f asked how to follow the object API. It must be called before Run.
func (c *Controller) SetDuty(f func() revision.Duty) { c.duty = f }

// OnChange has f called after registrations changed. It must be called before Run.
func (c *Controller) OnChange(f func()) { c.listeners = append(c.listeners, f) }

// Targets returns the targets that are not gone, in order of name. The caller
// must not change the result.
func (c *Controller) Targets() []target.Target {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list
}

// Newest returns the version up to which all changes are known.
func (c *Controller) Newest() objects.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.newest
}

// Since returns the registrations that changed after a version, deleted ones
// too, and the version up to which they are complete.
func (c *Controller) Since(after objects.Version) ([]objects.Object, objects.Version) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []objects.Object
	for _, r := range c.known {
		if r.object.Version > after {
			out = append(out, r.object)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, c.newest
}

// Merge takes over the changes after a version, which are complete up to
// newest. Registrations that are known in a newer version stay, so the order
// in which answers arrive does not matter. Changes after a version that the
// process has not reached are not complete for it and are ignored.
func (c *Controller) Merge(after objects.Version, changed []objects.Object, newest objects.Version) {
	c.mu.Lock()
	if after > c.newest {
		c.mu.Unlock()
		return
	}
	news := false
	for _, o := range changed {
		news = c.apply(o) || news
		newest = max(newest, o.Version)
	}
	c.newest = max(c.newest, newest)
	if news {
		c.rebuild()
	}
	c.mu.Unlock()
	if news {
		for _, f := range c.listeners {
			f()
		}
	}
}

// apply takes one object over and reports whether it was news. The caller
// holds c.mu.
func (c *Controller) apply(o objects.Object) bool {
	old, ok := c.known[o.Name]
	if ok && o.Version <= old.object.Version {
		return false
	}
	r := record{object: o}
	if !o.Deleted {
		t, err := registration.Decode(o.Value)
		r.target, r.valid = t, err == nil
	}
	c.known[o.Name] = r
	return true
}

// rebuild makes the list anew. The caller holds c.mu.
func (c *Controller) rebuild() {
	list := make([]target.Target, 0, len(c.known))
	for _, r := range c.known {
		if r.valid && r.target.State != target.Gone {
			list = append(list, r.target)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if len(list) != len(c.list) {
		c.log.At(event.MembersChanged).Int("targets", len(list)).Send()
	}
	c.list = list
}

// Run follows the platform until ctx is done. It reads at once when it starts.
func (c *Controller) Run(ctx context.Context) {
	go c.followVMs(ctx)
	var seen objects.Version
	for wait := time.Duration(0); ctx.Err() == nil; wait = watchWait {
		version, err := c.follow(ctx, seen, wait)
		if err != nil {
			c.log.At(event.StoreUnavailable).Str("purpose", "members").Err(err).Send()
			jitter.Pause(ctx, retryPause)
		} else {
			seen = version
		}
		revision.Rest(ctx, c.duty)
	}
}

// follow reads the changes of registrations, waiting for one for up to wait.
func (c *Controller) follow(ctx context.Context, seen objects.Version, wait time.Duration) (objects.Version, error) {
	if !c.duty().Watch {
		wait = 0
	}
	after := max(seen, c.Newest())
	wctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Targets, after, wait)
	if err != nil {
		return seen, err
	}
	newest := c.Newest()
	c.Merge(newest, changed, newest)
	return max(after, version), nil
}
