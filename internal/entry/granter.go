package entry

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
)

// granter hands the rights to load that targets give away to the targets that
// need them, over the links that exist anyway.
type granter struct {
	log event.Log

	mu      sync.Mutex
	granter *loadbudget.Granter
	links   map[string]*link // by name of the target
}

// newGranter returns a granter, or nil if the weight store's rate is zero.
func newGranter(limits loadbudget.Limits, log event.Log) *granter {
	if limits.Rate == 0 {
		return nil
	}
	return &granter{log: log, granter: loadbudget.NewGranter(limits), links: map[string]*link{}}
}

// report takes a target's report and sends the grants that follow from it.
func (g *granter) report(now time.Time, l *link, m peer.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.links[l.target.Name] = l
	g.granter.Donate(m.Rights)
	g.granter.Ask(l.target.Name, needsOf(now, m.Needs))
	for _, grant := range g.granter.Grants(now) {
		g.log.At(event.LoadGranted).Str("target", grant.Target).Str("team", grant.Team).Send()
		g.links[grant.Target].send(peer.LoadGrant{Team: grant.Team})
	}
}

func needsOf(now time.Time, needs []peer.LoadNeed) []dispatch.Need {
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
