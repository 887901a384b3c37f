package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
)

// granter redistributes adapter load permits: it collects the permits that targets
// donate and grants them to targets that need them, over the existing links.
type granter struct {
	log event.Log

	mu        sync.Mutex
	allocator *loadbudget.Granter
	links     map[string]*link // by target name
}

// newGranter returns a granter, or nil if limits.Rate, the load rate of the weight
// store, is zero.
func newGranter(limits loadbudget.Limits, log event.Log) *granter {
	if limits.Rate == 0 {
		return nil
	}
	return &granter{log: log, allocator: loadbudget.NewGranter(limits), links: map[string]*link{}}
}

// handleReport applies a target's load report, received at now over l, and sends
// the resulting grants.
func (g *granter) handleReport(now time.Time, l *link, m peer.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[l.target.Name] = l
	g.allocator.Donate(m.Rights)
	g.allocator.Ask(l.target.Name, needsFromMessage(now, m.Needs))
	for _, grant := range g.allocator.Grants(now) {
		g.log.At(event.LoadGranted).Str("target", grant.Target).Str("team", grant.Team).Send()
		g.links[grant.Target].send(peer.LoadGrant{Team: grant.Team})
	}
}

// needsFromMessage converts the needs of a report received at now.
func needsFromMessage(now time.Time, needs []peer.LoadNeed) []dispatch.Need {
	var out []dispatch.Need
	for _, n := range needs {
		out = append(out, dispatch.Need{
			Team:    n.Team,
			Waiting: n.Waiting,
			StartBy: now.Add(n.StartBy),
			Part:    n.Part,
		})
	}
	return out
}
