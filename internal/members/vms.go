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

// followVMs reads the platform's list of VMs while it is the process's duty.
func (c *Controller) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if c.duty().Watch {
			c.readVMs(ctx)
		}
		jitter.Pause(ctx, vmInterval)
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
	for _, r := range c.toMark(leaving) {
		c.mark(ctx, r)
	}
}

// toMark returns the live registrations on leaving VMs. The list lags: a
// process that registers at an address which was leaving before is not marked
// until the list has shown the address as not leaving.
func (c *Controller) toMark(leaving map[netip.Addr]bool) []record {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.marked {
		if !leaving[addr] {
			delete(c.marked, addr)
		}
	}
	var out []record
	for _, r := range c.known {
		addr := r.target.Addr.Addr()
		if !r.valid || r.target.State != target.Live || !leaving[addr] {
			continue
		}
		if first, ok := c.marked[addr]; ok && first != r.target.Incarnation {
			continue
		}
		c.marked[addr] = r.target.Incarnation
		out = append(out, r)
	}
	return out
}

// mark writes into a registration that its target is leaving. Other watchers
// may do the same; one of them succeeds.
func (c *Controller) mark(ctx context.Context, r record) {
	rec := registration.Record{Target: r.target, Version: r.object.Version}
	if _, err := registration.SetState(ctx, c.store, rec, target.Leaving); err != nil {
		c.log.At(event.StoreUnavailable).Str("purpose", "members").Err(err).Send()
		return
	}
	c.log.At(event.MemberLeaving).Str("target", r.target.Name).Str("reason", "vm_leaving").Send()
}

var _ Store = (*objects.Client)(nil)
