// Package members keeps the targets that an entryd knows: their registrations
// in the object API, and the platform's list of leaving VMs.
//
// # Usage
//
//	c := members.New(store, log)
//	go c.Run(ctx)
//	for _, t := range c.Targets() { ... }
package members

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of the controller.
const (
	watchWait   = 20 * time.Second // for one waiting watch
	callTimeout = 3 * time.Second  // for one read
	vmInterval  = 2 * time.Second  // between two readings of the VM list
	retryPause  = 500 * time.Millisecond
)

// Store is the part of the platform's API that the controller reads.
type Store interface {
	Watch(ctx context.Context, kind objects.ObjectKind, after objects.Version, wait time.Duration) ([]objects.Object, objects.Version, error)
	VMs(ctx context.Context) ([]objects.VM, error)
}

// Controller keeps the known targets.
type Controller struct {
	store Store
	log   event.Log

	mu      sync.RWMutex
	targets map[string]target.Target
	leaving map[netip.Addr]bool
	list    []target.Target // what Targets returns
}

// New returns a controller that knows no target.
func New(store Store, log event.Log) *Controller {
	return &Controller{store: store, log: log, targets: map[string]target.Target{}, leaving: map[netip.Addr]bool{}}
}

// Targets returns the targets that are not gone, in order of name. A target on
// a leaving VM is leaving. The caller must not change the result.
func (c *Controller) Targets() []target.Target {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.list
}

// Run follows the platform until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	go c.followVMs(ctx)
	var seen objects.Version
	for ctx.Err() == nil {
		version, err := c.follow(ctx, seen)
		if err != nil {
			c.log.At(event.StoreUnavailable).Str("purpose", "members").Err(err).Send()
			pause(ctx, retryPause)
			continue
		}
		seen = version
	}
}

func (c *Controller) follow(ctx context.Context, seen objects.Version) (objects.Version, error) {
	wctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	changed, version, err := c.store.Watch(wctx, objects.Targets, seen, watchWait)
	if err != nil {
		return seen, err
	}
	if len(changed) > 0 {
		c.apply(changed)
	}
	return max(seen, version), nil
}

func (c *Controller) apply(changed []objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range changed {
		if o.Deleted {
			delete(c.targets, o.Name)
			continue
		}
		t, err := registration.Decode(o.Value)
		if err != nil || t.Epoch < c.targets[o.Name].Epoch {
			continue
		}
		c.targets[o.Name] = t
	}
	c.rebuild()
}

func (c *Controller) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		c.readVMs(ctx)
		pause(ctx, vmInterval)
	}
}

func (c *Controller) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := c.store.VMs(ctx)
	if err != nil {
		return // the list is a hint; registrations go on without it
	}
	leaving := map[netip.Addr]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[vm.Addr] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
	c.rebuild()
}

// rebuild makes the list anew. The caller holds c.mu.
func (c *Controller) rebuild() {
	list := make([]target.Target, 0, len(c.targets))
	for _, t := range c.targets {
		if t.State == target.Gone {
			continue
		}
		if c.leaving[t.Addr.Addr()] {
			t.State = target.Leaving
		}
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if len(list) != len(c.list) {
		c.log.At(event.MembersChanged).Int("targets", len(list)).Send()
	}
	c.list = list
}

// pause waits for about d, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + time.Duration(rand.Int64N(int64(d))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
