package agent

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/placement"
)

// Times of the exchange with the granter.
const (
	askInterval    = 50 * time.Millisecond // between two looks for needs to report
	donateInterval = time.Second           // between two gifts of rights while nothing waits
)

// granters are the connections whose other ends grant rights to load.
type granters struct {
	names    map[sender]string
	donated  time.Time // last report
	hadNeeds bool      // the last report named needs
}

// chosen returns the connection with the highest rendezvous rank, so that
// targets with the same connections choose the same granter, or nil.
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

// balance gives rights that the target does not need to the granter, and asks
// for those that it needs.
func (a *Agent) balance(now time.Time) {
	conn := a.granters.chosen()
	if a.opts.Share == nil || conn == nil {
		return
	}
	needs := a.opts.Share.Asked()
	if len(needs) == 0 && !a.granters.hadNeeds && now.Sub(a.granters.donated) < donateInterval {
		return
	}
	a.granters.donated = now
	a.granters.hadNeeds = len(needs) > 0
	report := peer.LoadReport{Rights: a.opts.Share.Donate(now)}
	for _, n := range needs {
		report.Needs = append(report.Needs, needToPeer(now, n))
	}
	_, _ = conn.Send(report) // rights that do not arrive are lost, never doubled
}

func needToPeer(now time.Time, n dispatch.Need) peer.LoadNeed {
	return peer.LoadNeed{Team: n.Team, Waiting: n.Waiting, StartBy: n.StartBy.Sub(now), Part: n.Part}
}

// offered: an entryd grants rights to load.
type offered struct {
	conn sender
	name string
}

func (e offered) apply(_ context.Context, a *Agent, _ time.Time) { a.granters.names[e.conn] = e.name }

// granted: the granter gave a right to load.
type granted struct{ team string }

func (e granted) apply(_ context.Context, a *Agent, now time.Time) {
	if a.opts.Share != nil {
		a.opts.Share.Receive(now, e.team)
	}
}
