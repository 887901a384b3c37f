package assignment

import (
	"time"

	"github.com/borageusher/borageusher/pkg/placement"
)

// Distance is how far a target is from the process that chooses.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Costs of the ways, as time.
const (
	// zoneCost and regionCost are the round trips on the users' deployments, with
	// the price of a short answer's bytes: between regions it is four times that
	// between zones.
	zoneCost   = 10 * time.Millisecond
	regionCost = 100 * time.Millisecond
	// zoneCostPerKB and regionCostPerKB price the request's own bytes.
	zoneCostPerKB   = 1500 * time.Microsecond
	regionCostPerKB = 6 * time.Millisecond
)

// Weights of a target's load.
const (
	// tolerance is the part of the objective by which a home may be slower than
	// the best target before an adapter is loaded elsewhere.
	tolerance = 0.3
	// copyAt is the part of the objective that requests may wait at all holders
	// before a further copy is loaded. A copy takes a place and a load, and what
	// starts well within the objective loses nothing.
	copyAt = 0.3
)

// Request is what a choice needs to know of a request.
type Request struct {
	Key       uint64 // hash of the adapter, or of what else the target may have cached
	Objective time.Duration
	Bytes     int // of the request
}

// Candidate is one target that may take the request.
type Candidate struct {
	Hash     uint64 // of the target's identity
	Distance Distance
	Slots    int
	Load     int           // requests believed to run or wait there
	Ahead    int           // requests of those that have had no event yet
	Each     time.Duration // what each of them adds to the time until a first event
	First    time.Duration // mean time until a request's first event at the target
	Stay     time.Duration // mean time of a request at the target
	Holds    bool          // the adapter is there
	Loading  time.Duration // until a missing adapter is there
	CanLoad  bool          // adapters can be loaded there now
	Extra    time.Duration // what is added to the cost, for targets that failed lately
	Usable   bool
}

// Choice is the outcome.
type Choice struct {
	Index int
	Holds bool          // the adapter is there already
	Wait  time.Duration // expected until the request starts
	Copy  int           // a target at which a further copy should be loaded, -1 for none
}

// Choose returns the target for a request, and false when none can take it.
func Choose(req Request, candidates []Candidate) (Choice, bool) {
	holder, home, spare := -1, -1, -1
	var holderCost, spareCost time.Duration
	least := leastWait(candidates)
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable {
			continue
		}
		cost := c.cost(req)
		if c.Holds && (holder < 0 || cost < holderCost) {
			holder, holderCost = i, cost
		}
		if c.Holds || !c.CanLoad {
			continue
		}
		if spare < 0 || cost < spareCost {
			spare, spareCost = i, cost
		}
		bound := least + time.Duration(tolerance*float64(req.Objective))
		if cost <= bound+c.way(req) && (home < 0 || c.rank(req) > candidates[home].rank(req)) {
			home = i
		}
	}
	if home < 0 {
		home = spare // all that can load the adapter are busy
	}
	switch {
	case holder < 0 && home < 0:
		return Choice{}, false
	case holder < 0:
		c := &candidates[home]
		return Choice{Index: home, Wait: max(c.wait(), c.Loading), Copy: -1}, true
	}
	choice := Choice{Index: holder, Holds: true, Wait: candidates[holder].wait(), Copy: -1}
	if home >= 0 && needsCopy(req, candidates, holder, home) {
		choice.Copy = home
	}
	return choice, true
}

// needsCopy reports whether the wait at the best holder is worth a load.
func needsCopy(req Request, candidates []Candidate, holder, home int) bool {
	wait := candidates[holder].wait()
	if wait < time.Duration(copyAt*float64(req.Objective)) {
		return false
	}
	return candidates[home].wait() < wait/2
}

func leastWait(candidates []Candidate) time.Duration {
	least := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable {
			continue
		}
		if cost := c.wait(); least < 0 || cost < least {
			least = cost
		}
	}
	return max(0, least)
}

// cost returns the wait and the way.
func (c *Candidate) cost(req Request) time.Duration { return c.wait() + c.way(req) + c.Extra }

// wait returns the time until a request's first event at the target, by its
// load: engines read prompts one after the other, a batch that fills delays the
// first event, and beyond it requests wait until others end.
func (c *Candidate) wait() time.Duration {
	slots := float64(max(1, c.Slots))
	load := float64(c.Load) / slots
	ahead := time.Duration(c.Ahead) * c.Each
	if load < 1 {
		return ahead + time.Duration(load*float64(c.First))
	}
	return ahead + c.First + time.Duration((load-1+1/slots)*float64(c.Stay))
}

func (c *Candidate) way(req Request) time.Duration {
	kb := time.Duration(req.Bytes / 1024)
	switch c.Distance {
	case SameZone:
		return 0
	case SameRegion:
		return zoneCost + kb*zoneCostPerKB
	}
	return regionCost + kb*regionCostPerKB
}

// rank returns the target's place in the order of the rendezvous hash.
func (c *Candidate) rank(req Request) uint64 { return placement.Mix(req.Key ^ c.Hash) }
