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

// lruScheduler is the baseline implementation of scheduler. It starts requests in
// order of arrival, evicts the least recently used adapter and starts loads without
// a load budget.
type lruScheduler struct {
	queue    []*dispatch.Request
	running  map[dispatch.RequestKey]*dispatch.Request
	borrowed int                      // running requests of teams other than the owner
	pins     map[adapter.ID]int       // number of running requests by adapter
	lastUsed map[adapter.ID]time.Time // of the resident adapters
	loading  map[adapter.ID]bool
}

func newLRUScheduler() *lruScheduler {
	return &lruScheduler{
		running:  map[dispatch.RequestKey]*dispatch.Request{},
		pins:     map[adapter.ID]int{},
		lastUsed: map[adapter.ID]time.Time{},
		loading:  map[adapter.ID]bool{},
	}
}

func (s *lruScheduler) Submit(_ time.Time, r *dispatch.Request) outcome.Reason {
	if len(s.queue) >= queueLength {
		return outcome.Overloaded
	}
	s.queue = append(s.queue, r)
	return outcome.NoReason
}

func (s *lruScheduler) Next(now time.Time) []dispatch.Action {
	var actions []dispatch.Action
	var kept []*dispatch.Request
	for _, r := range s.queue {
		a := s.nextAction(now, r)
		if a != nil {
			actions = append(actions, *a)
		}
		if a == nil || a.Kind == dispatch.Load {
			kept = append(kept, r)
		}
	}
	s.queue = kept
	return actions
}

// nextAction returns the action for a queued request, or nil if it must wait.
func (s *lruScheduler) nextAction(now time.Time, r *dispatch.Request) *dispatch.Action {
	_, resident := s.lastUsed[r.Adapter]
	switch {
	case !now.Before(r.StartBy):
		return &dispatch.Action{Kind: dispatch.Refuse, Request: r, Reason: outcome.Expired}
	case len(s.running) >= slots, r.Team != ownerTeam && s.borrowed >= slots*lentShare:
		return nil
	case resident:
		s.lastUsed[r.Adapter] = now
		s.pins[r.Adapter]++
		s.running[r.Key] = r
		if r.Team != ownerTeam {
			s.borrowed++
		}
		return &dispatch.Action{Kind: dispatch.Start, Request: r}
	case s.loading[r.Adapter] || !s.ensureFreeSlot():
		return nil
	}
	s.loading[r.Adapter] = true
	return &dispatch.Action{Kind: dispatch.Load, Adapter: r.Adapter}
}

// ensureFreeSlot evicts the least recently used adapter that is not pinned if no
// adapter slot is free, and reports whether a slot is free then.
func (s *lruScheduler) ensureFreeSlot() bool {
	if len(s.lastUsed)+len(s.loading) < adapterSlots {
		return true
	}
	var victim adapter.ID
	for id, at := range s.lastUsed {
		if s.pins[id] == 0 && (victim.IsZero() || at.Before(s.lastUsed[victim])) {
			victim = id
		}
	}
	if victim.IsZero() {
		return false
	}
	delete(s.lastUsed, victim)
	return true
}

func (s *lruScheduler) Finished(_ time.Time, key dispatch.RequestKey) {
	r := s.running[key]
	delete(s.running, key)
	s.pins[r.Adapter]--
	if r.Team != ownerTeam {
		s.borrowed--
	}
}

func (s *lruScheduler) Loaded(now time.Time, id adapter.ID, _ bool) []dispatch.Action {
	if s.loading[id] {
		delete(s.loading, id)
		s.lastUsed[id] = now
	}
	return nil
}

func (s *lruScheduler) Unloaded(adapter.ID) {}

func (s *lruScheduler) EngineRestarted() {
	clear(s.lastUsed)
	clear(s.loading)
}

func (s *lruScheduler) Resident() []adapter.ID {
	var out []adapter.ID
	for id := range s.lastUsed {
		out = append(out, id)
	}
	return out
}

// router chooses the target of a call for an entryd. It returns false if no target
// is usable.
type router interface {
	route(c call, e *entrydState) (int, bool)
}

// randomRouter chooses a usable target at random.
type randomRouter struct{ rng *rand.Rand }

func (r randomRouter) route(_ call, e *entrydState) (int, bool) {
	for range 100 {
		if i := r.rng.IntN(len(e.ownInFlight)); e.Usable(i) {
			return i, true
		}
	}
	return 0, false
}

// leastLoadedRouter chooses the usable target with the fewest requests in flight.
type leastLoadedRouter struct{ rng *rand.Rand }

func (r leastLoadedRouter) route(_ call, e *entrydState) (int, bool) {
	best, found := 0, false
	first := r.rng.IntN(len(e.ownInFlight))
	for n := range e.ownInFlight {
		i := (first + n) % len(e.ownInFlight)
		if e.Usable(i) && (!found || e.InFlight(i) < e.InFlight(best)) {
			best, found = i, true
		}
	}
	return best, found
}

// rendezvousRouter implements rendezvous hashing with bounded loads.
type rendezvousRouter struct{}

// route returns the first usable target, in rendezvous order, whose load is below
// the bound, or the first usable one if all reach it.
func (rendezvousRouter) route(c call, e *entrydState) (int, bool) {
	const bound = 1.25 * slots
	best, bestOverloaded, bestRank := -1, false, uint64(0)
	for i, h := range e.hashes {
		overloaded := float64(e.InFlight(i)) >= bound
		rank := placement.Hash(strconv.FormatUint(c.hash^h, 16))
		better := overloaded == bestOverloaded && rank > bestRank || !overloaded && bestOverloaded
		if e.Usable(i) && (best < 0 || better) {
			best, bestOverloaded, bestRank = i, overloaded, rank
		}
	}
	return best, best >= 0
}

// viewRouter routes with the project's placement.View and the entryd's residency
// hints.
type viewRouter struct{ view *placement.View }

func (r viewRouter) route(c call, e *entrydState) (int, bool) {
	i, reason, ok := r.view.Choose(placement.Key{Adapter: c.hash, Prefix: c.prefix}, e.hints, e)
	if ok {
		if reason == placement.ReasonResident {
			e.sentSinceResponse[i]++
		}
		e.hints.AddPending(e.hashes[i], c.hash)
	}
	return i, ok
}
