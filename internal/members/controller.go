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

const (
	watchWait      = 3 * time.Second         // duration of one long poll
	watchGrace     = 1500 * time.Millisecond // added to a watch's wait to get the timeout of the call
	callTimeout    = 3 * time.Second         // for a read of the VM list and the writes that follow
	vmListInterval = 2 * time.Second         // mean time between two reads of the VM list
	retryDelay     = 500 * time.Millisecond  // mean time after a failed watch
)

// Store is the part of the platform's API that the controller uses.
type Store interface {
	registration.Store
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
	VMs(ctx context.Context) ([]objects.VM, error)
}

// Controller maintains the list of targets.
type Controller struct {
	store       Store
	log         event.Log
	watchPolicy func() revision.WatchPolicy

	mu                 sync.RWMutex
	records            map[string]record // by name, including deleted ones
	version            objects.Version   // version up to which all changes are known
	listed             bool              // the registrations were read at least once
	targets            []target.Target   // result of Targets
	listeners          []func()
	markedIncarnations map[netip.Addr]string // incarnation of the target marked as leaving, by VM address
}

// record is a registration as stored in the object API.
type record struct {
	object objects.Object
	target target.Target // zero if the object does not decode
	valid  bool
}

// New returns a Controller without targets. It watches the object API unless
// SetWatchPolicy sets another policy.
func New(store Store, log event.Log) *Controller {
	return &Controller{
		store:              store,
		log:                log,
		watchPolicy:        func() revision.WatchPolicy { return revision.WatchPolicy{Watch: true} },
		records:            map[string]record{},
		markedIncarnations: map[netip.Addr]string{},
	}
}

// SetWatchPolicy sets the function that returns how to follow the object API.
// It must be called before Run.
func (c *Controller) SetWatchPolicy(f func() revision.WatchPolicy) { c.watchPolicy = f }

// OnChange registers f to be called after registrations have changed. It must
// be called before Run.
func (c *Controller) OnChange(f func()) { c.listeners = append(c.listeners, f) }

// Targets returns the targets that are not gone, sorted by name. The caller
// must not modify the result.
func (c *Controller) Targets() []target.Target {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.targets
}

// Version returns the version up to which all changes are known.
func (c *Controller) Version() objects.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.version
}

// Listed reports whether the registrations have been read at least once, from the
// object API or from a peer.
func (c *Controller) Listed() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.listed
}

// ChangesSince returns the registrations that changed after a version, including
// deleted ones, sorted by version, and the version up to which the changes are
// complete.
func (c *Controller) ChangesSince(after objects.Version) ([]objects.Object, objects.Version) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []objects.Object
	for _, r := range c.records {
		if r.object.Version > after {
			out = append(out, r.object)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
	return out, c.version
}

// Merge applies the changes after a version, which are complete up to newest.
// A registration that is known in a newer version is kept, so that answers may
// arrive in any order. Merge ignores changes after a version higher than
// Version, because they leave a gap.
func (c *Controller) Merge(after objects.Version, changed []objects.Object, newest objects.Version) {
	c.mu.Lock()
	if after > c.version {
		c.mu.Unlock()
		return
	}
	updated := false
	for _, o := range changed {
		updated = c.applyObject(o) || updated
		newest = max(newest, o.Version)
	}
	c.version = max(c.version, newest)
	c.listed = c.listed || c.version > 0
	if updated {
		c.rebuildTargets()
	}
	c.mu.Unlock()
	if updated {
		for _, f := range c.listeners {
			f()
		}
	}
}

// applyObject stores a registration and reports whether it is newer than the
// known one. The caller holds c.mu.
func (c *Controller) applyObject(o objects.Object) bool {
	old, ok := c.records[o.Name]
	if ok && o.Version <= old.object.Version {
		return false
	}
	r := record{object: o}
	if !o.Deleted {
		t, err := registration.Decode(o.Value)
		r.target, r.valid = t, err == nil
	}
	c.records[o.Name] = r
	return true
}

// rebuildTargets computes the list of targets from the records. The caller
// holds c.mu.
func (c *Controller) rebuildTargets() {
	list := make([]target.Target, 0, len(c.records))
	for _, r := range c.records {
		if r.valid && r.target.State != target.Gone {
			list = append(list, r.target)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if len(list) != len(c.targets) {
		c.log.Event(event.MembersChanged).Int("targets", len(list)).Send()
	}
	c.targets = list
}

// Run follows the object API and the list of VMs until ctx is done. The first
// read of the registrations does not wait for a change.
func (c *Controller) Run(ctx context.Context) {
	go c.pollVMs(ctx)
	var seen objects.Version
	for wait := time.Duration(0); ctx.Err() == nil; wait = watchWait {
		version, err := c.readChanges(ctx, seen, wait)
		if err != nil {
			c.log.Event(event.StoreUnavailable).Str("purpose", "members").Err(err).Send()
			jitter.Pause(ctx, retryDelay)
		} else {
			seen = version
		}
		revision.WaitForPoll(ctx, c.watchPolicy)
	}
}

// readChanges reads and merges the changes of registrations. If the process
// watches the object API, it waits for a change for up to wait. It returns the
// version after which to read next.
func (c *Controller) readChanges(ctx context.Context, seen objects.Version, wait time.Duration) (objects.Version, error) {
	if !c.watchPolicy().Watch {
		wait = 0
	}
	after := max(seen, c.Version())
	wctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Targets, after, wait)
	if err != nil {
		return seen, err
	}
	newest := c.Version()
	c.Merge(newest, changed, newest)
	c.mu.Lock()
	c.listed = true // also if there are no registrations
	c.mu.Unlock()
	return max(after, version), nil
}
