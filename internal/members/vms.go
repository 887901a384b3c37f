package members

import (
	"context"
	"net/netip"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/jitter"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/pkg/target"
)

// pollVMs reads the platform's list of VMs periodically while the process
// watches the object API.
func (c *Controller) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if c.watchPolicy().Watch {
			c.markLeavingVMs(ctx)
		}
		jitter.Pause(ctx, vmListInterval)
	}
}

func (c *Controller) markLeavingVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := c.store.VMs(ctx)
	if err != nil {
		return // the list is only a hint; registrations are followed without it
	}
	leaving := map[netip.Addr]bool{}
	for _, vm := range vms {
		if vm.Leaving {
			leaving[vm.Addr] = true
		}
	}
	for _, r := range c.recordsToMark(leaving) {
		c.markLeaving(ctx, r)
	}
}

// recordsToMark returns the live registrations on leaving VMs. Because the list
// of VMs lags, a new process at the address of a VM that was leaving before is
// not returned until the list has shown the address as not leaving.
func (c *Controller) recordsToMark(leaving map[netip.Addr]bool) []record {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.markedIncarnations {
		if !leaving[addr] {
			delete(c.markedIncarnations, addr)
		}
	}
	var out []record
	for _, r := range c.records {
		addr := r.target.Addr.Addr()
		if !r.valid || r.target.State != target.Live || !leaving[addr] {
			continue
		}
		if incarnation, ok := c.markedIncarnations[addr]; ok && incarnation != r.target.Incarnation {
			continue
		}
		c.markedIncarnations[addr] = r.target.Incarnation
		out = append(out, r)
	}
	return out
}

// markLeaving sets the state of a registration to leaving. Other watchers may
// try the same; only one of the writes succeeds.
func (c *Controller) markLeaving(ctx context.Context, r record) {
	rec := registration.Record{Target: r.target, Version: r.object.Version}
	if _, err := registration.SetState(ctx, c.store, rec, target.Leaving); err != nil {
		c.log.Event(event.StoreUnavailable).Str("purpose", "members").Err(err).Send()
		return
	}
	c.log.Event(event.MemberLeaving).Str("target", r.target.Name).Str("reason", "vm_leaving").Send()
}

var _ Store = (*objects.Client)(nil)
