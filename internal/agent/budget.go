package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/placement"
)

// Intervals of the exchange of load permits with the granter.
const (
	rebalanceInterval = 50 * time.Millisecond // between checks for needs to report
	donateInterval    = time.Second           // between donations of permits while no load waits
)

// granters holds the connections to the entryds that grant load permits.
type granters struct {
	names      map[sender]string // peer names by connection
	lastReport time.Time         // time of the last report to a granter
	hadNeeds   bool              // the last report contained needs
}

// chosen returns the connection whose peer has the highest rendezvous hash, or
// nil. Targets with the same connections thus choose the same granter.
func (g *granters) chosen() sender {
	var best sender
	var bestRank uint64
	for conn, name := range g.names {
		if rank := placement.Hash(name); best == nil || rank > bestRank {
			best, bestRank = conn, rank
		}
	}
	return best
}

// rebalance donates the load permits that the target does not need to the
// granter and requests those that it needs.
func (a *Agent) rebalance(now time.Time) {
	conn := a.granters.chosen()
	if a.opts.Share == nil || conn == nil {
		return
	}
	needs := a.opts.Share.Asked()
	if len(needs) == 0 && !a.granters.hadNeeds && now.Sub(a.granters.lastReport) < donateInterval {
		return
	}
	a.granters.lastReport = now
	a.granters.hadNeeds = len(needs) > 0
	report := peer.LoadReport{Rights: a.opts.Share.Donate(now)}
	for _, n := range needs {
		report.Needs = append(report.Needs, peerNeed(now, n))
	}
	_, _ = conn.Send(report) // permits in a lost message are lost, never duplicated
}

func peerNeed(now time.Time, n dispatch.Need) peer.LoadNeed {
	return peer.LoadNeed{Team: n.Team, Waiting: n.Waiting, StartBy: n.StartBy.Sub(now), Part: n.Part}
}

// granterOffered is the event of an entryd that offers to grant load permits.
type granterOffered struct {
	conn sender
	name string
}

func (e granterOffered) apply(_ context.Context, a *Agent, _ time.Time) {
	a.granters.names[e.conn] = e.name
}

// loadGranted is the event of a load permit received from the granter.
type loadGranted struct{ team string }

func (e loadGranted) apply(_ context.Context, a *Agent, now time.Time) {
	if a.opts.Share != nil {
		a.opts.Share.Receive(now, e.team)
	}
}
