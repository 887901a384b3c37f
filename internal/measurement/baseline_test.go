package measurement

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
)

// lruNode is a simple target: requests start in order of arrival, the adapter
// used longest ago is replaced, and loads start at once.
type lruNode struct {
	queue    []*dispatch.Request
	running  map[dispatch.RequestKey]*dispatch.Request
	borrowed int
	pins     map[adapter.ID]int
	used     map[adapter.ID]time.Time // resident
	loading  map[adapter.ID]bool
}

func newLRUNode() *lruNode {
	return &lruNode{
		running: map[dispatch.RequestKey]*dispatch.Request{},
		pins:    map[adapter.ID]int{},
		used:    map[adapter.ID]time.Time{},
		loading: map[adapter.ID]bool{},
	}
}

func (n *lruNode) Submit(_ time.Time, r *dispatch.Request) outcome.Reason {
	if len(n.queue) >= queueLength {
		return outcome.Overloaded
	}
	n.queue = append(n.queue, r)
	return outcome.NoReason
}

func (n *lruNode) Next(now time.Time) []dispatch.Action {
	var actions []dispatch.Action
	var kept []*dispatch.Request
	for _, r := range n.queue {
		a := n.consider(now, r)
		if a != nil {
			actions = append(actions, *a)
		}
		if a == nil || a.Kind == dispatch.Load {
			kept = append(kept, r)
		}
	}
	n.queue = kept
	return actions
}

func (n *lruNode) consider(now time.Time, r *dispatch.Request) *dispatch.Action {
	_, resident := n.used[r.Adapter]
	switch {
	case !now.Before(r.StartBy):
		return &dispatch.Action{Kind: dispatch.Refuse, Request: r, Reason: outcome.Expired}
	case len(n.running) >= slots, r.Team != ownerTeam && n.borrowed >= slots*lentShare:
		return nil
	case resident:
		n.used[r.Adapter] = now
		n.pins[r.Adapter]++
		n.running[r.Key] = r
		if r.Team != ownerTeam {
			n.borrowed++
		}
		return &dispatch.Action{Kind: dispatch.Start, Request: r}
	case n.loading[r.Adapter] || !n.makeRoom():
		return nil
	}
	n.loading[r.Adapter] = true
	return &dispatch.Action{Kind: dispatch.Load, Adapter: r.Adapter}
}

func (n *lruNode) makeRoom() bool {
	if len(n.used)+len(n.loading) < places {
		return true
	}
	var victim adapter.ID
	for id, at := range n.used {
		if n.pins[id] == 0 && (victim.IsZero() || at.Before(n.used[victim])) {
			victim = id
		}
	}
	if victim.IsZero() {
		return false
	}
	delete(n.used, victim)
	return true
}

func (n *lruNode) Finished(_ time.Time, key dispatch.RequestKey) {
	r := n.running[key]
	delete(n.running, key)
	n.pins[r.Adapter]--
	if r.Team != ownerTeam {
		n.borrowed--
	}
}

func (n *lruNode) Loaded(now time.Time, id adapter.ID, _ bool) []dispatch.Action {
	if n.loading[id] {
		delete(n.loading, id)
		n.used[id] = now
	}
	return nil
}

func (n *lruNode) Unloaded(adapter.ID) {}

func (n *lruNode) EngineRestarted() {
	clear(n.used)
	clear(n.loading)
}

func (n *lruNode) Resident() []adapter.ID {
	var out []adapter.ID
	for id := range n.used {
		out = append(out, id)
	}
	return out
}

// router chooses the target of a call as an entry does.
type router interface {
	route(c call, e *entry) (int, bool)
}

type randomRouter struct{ rng *rand.Rand }

func (r randomRouter) route(_ call, e *entry) (int, bool) {
	for range 100 {
		if i := r.rng.IntN(len(e.own)); e.Usable(i) {
			return i, true
		}
	}
	return 0, false
}

type leastLoadedRouter struct{ rng *rand.Rand }

func (r leastLoadedRouter) route(_ call, e *entry) (int, bool) {
	best, found := 0, false
	first := r.rng.IntN(len(e.own))
	for n := range e.own {
		i := (first + n) % len(e.own)
		if e.Usable(i) && (!found || e.InFlight(i) < e.InFlight(best)) {
			best, found = i, true
		}
	}
	return best, found
}

type rendezvousRouter struct{}

// route takes the first target, in the order of the rendezvous hash, whose load
// is within the bound, and else the first one.
func (rendezvousRouter) route(c call, e *entry) (int, bool) {
	const bound = 1.25 * slots
	best, bestBusy, bestRank := -1, false, uint64(0)
	for i, h := range e.hashes {
		busy := float64(e.InFlight(i)) >= bound
		rank := placement.Hash(strconv.FormatUint(c.hash^h, 16))
		better := busy == bestBusy && rank > bestRank || !busy && bestBusy
		if e.Usable(i) && (best < 0 || better) {
			best, bestBusy, bestRank = i, busy, rank
		}
	}
	return best, best >= 0
}

type viewRouter struct{ view *placement.View }

func (r viewRouter) route(c call, e *entry) (int, bool) {
	i, reason, ok := r.view.Choose(placement.Key{Adapter: c.hash, Prefix: c.prefix}, e.hints, e)
	if ok {
		if reason == placement.ReasonResident {
			e.sent[i]++
		}
		e.hints.Expect(e.hashes[i], c.hash)
	}
	return i, ok
}
