package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
)

// permitAllocator redistributes adapter load permits: it collects the permits
// that targets do not need and grants them to targets that need them, over the
// existing links.
type permitAllocator struct {
	log event.Log

	mu        sync.Mutex
	allocator *loadbudget.Allocator
	links     map[string]*link // by target name
}

// newPermitAllocator returns an allocator, or nil if limits.Rate, the load rate
// of the weight store, is zero.
func newPermitAllocator(limits loadbudget.Limits, log event.Log) *permitAllocator {
	if limits.Rate == 0 {
		return nil
	}
	return &permitAllocator{log: log, allocator: loadbudget.NewAllocator(limits), links: map[string]*link{}}
}

// handleReport applies a target's load report, received at now over l, and sends
// the resulting grants.
func (pa *permitAllocator) handleReport(now time.Time, l *link, m peer.LoadReport) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.links[l.target.Name] = l
	pa.allocator.AddPermits(m.Permits)
	pa.allocator.SetNeeds(l.target.Name, needsFromMessage(now, m.Needs))
	for _, grant := range pa.allocator.Grants(now) {
		pa.log.Event(event.LoadGranted).Str("target", grant.Target).Str("team", grant.Team).Send()
		pa.links[grant.Target].send(peer.LoadGrant{Team: grant.Team})
	}
}

// needsFromMessage converts the needs of a report received at now.
func needsFromMessage(now time.Time, needs []peer.LoadNeed) []dispatch.LoadNeed {
	var out []dispatch.LoadNeed
	for _, n := range needs {
		out = append(out, dispatch.LoadNeed{
			Team:      n.Team,
			Waiting:   n.Waiting,
			StartBy:   now.Add(n.StartWithin),
			LentShare: n.LentShare,
		})
	}
	return out
}
