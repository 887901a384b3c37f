package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/placement"
)

// Intervals of the exchange of load permits with the allocator.
const (
	rebalanceInterval = 50 * time.Millisecond // between checks for needs to report
	transferInterval  = time.Second           // between transfers of permits while no load waits
)

// allocators holds the connections to the entryds that allocate load permits.
type allocators struct {
	names      map[sender]string // peer names by connection
	lastReport time.Time         // time of the last report to an allocator
	hadNeeds   bool              // the last report contained needs
}

// chosen returns the connection whose peer has the highest rendezvous hash, or
// nil. Targets with the same connections thus choose the same allocator.
func (al *allocators) chosen() sender {
	var best sender
	var bestRank uint64
	for conn, name := range al.names {
		if rank := placement.Hash(name); best == nil || rank > bestRank {
			best, bestRank = conn, rank
		}
	}
	return best
}

// rebalance transfers the target's stored load permits to the allocator and
// reports the needs for which the target has no permit.
func (a *Agent) rebalance(now time.Time) {
	conn := a.allocators.chosen()
	if a.opts.LoadShare == nil || conn == nil {
		return
	}
	needs := a.opts.LoadShare.UnmetNeeds()
	if len(needs) == 0 && !a.allocators.hadNeeds && now.Sub(a.allocators.lastReport) < transferInterval {
		return
	}
	a.allocators.lastReport = now
	a.allocators.hadNeeds = len(needs) > 0
	report := peer.LoadReport{Permits: a.opts.LoadShare.ReleasePermits(now)}
	for _, n := range needs {
		report.Needs = append(report.Needs, peerNeed(now, n))
	}
	_, _ = conn.Send(report) // permits in a lost message are lost, never duplicated
}

func peerNeed(now time.Time, n dispatch.LoadNeed) peer.LoadNeed {
	return peer.LoadNeed{Team: n.Team, Waiting: n.Waiting, StartWithin: n.StartBy.Sub(now), LentShare: n.LentShare}
}

// allocatorAnnounced is the event of an entryd that announces that it allocates
// load permits.
type allocatorAnnounced struct {
	conn sender
	name string
}

func (e allocatorAnnounced) apply(_ context.Context, a *Agent, _ time.Time) {
	a.allocators.names[e.conn] = e.name
}

// loadGranted is the event of a load permit received from the allocator.
type loadGranted struct{ team string }

func (e loadGranted) apply(_ context.Context, a *Agent, now time.Time) {
	if a.opts.LoadShare != nil {
		a.opts.LoadShare.AddPermit(now, e.team)
	}
}
