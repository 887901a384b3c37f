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
	// the best target before an adapter is loaded elsewhere, and a holder slower
	// than a home before requests wait for the adapter there.
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
	Warm     bool          // a missing adapter comes from the VM's memory, not from the weight store
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
	holder := nearestHolder(req, candidates)
	home := homeOf(req, candidates)
	switch {
	case holder < 0 && home < 0:
		return Choice{}, false
	case holder < 0:
		return Choice{Index: home, Wait: candidates[home].wait(), Copy: -1}, true
	}
	choice := Choice{Index: holder, Holds: true, Wait: candidates[holder].wait(), Copy: -1}
	switch {
	case home < 0:
	case candidates[holder].cost(req) > candidates[home].cost(req)+req.part(tolerance):
		choice = Choice{Index: home, Wait: candidates[home].wait(), Copy: -1}
	case needsCopy(req, candidates, holder, home):
		choice.Copy = home
	}
	return choice, true
}

// nearestHolder returns the holder of the adapter with the least cost, -1 if
// there is none.
func nearestHolder(req Request, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Usable && c.Holds && (best < 0 || c.cost(req) < candidates[best].cost(req)) {
			best = i
		}
	}
	return best
}

// homeOf returns the first in the order of the rendezvous hash of the targets
// that can load the adapter and are not much slower than the best of them, -1 if
// none can. Those that need not fetch it from the weight store go first.
func homeOf(req Request, candidates []Candidate) int {
	least := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		if c.canBeHome() && (least < 0 || c.wait()+c.Extra < least) {
			least = c.wait() + c.Extra
		}
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.canBeHome() || c.wait()+c.Extra > least+req.part(tolerance) {
			continue
		}
		if best < 0 || c.before(&candidates[best], req) {
			best = i
		}
	}
	return best
}

// before reports whether c is the better home of two that are fast enough.
func (c *Candidate) before(o *Candidate, req Request) bool {
	if c.Warm != o.Warm {
		return c.Warm
	}
	return c.rank(req) > o.rank(req)
}

func (c *Candidate) canBeHome() bool { return c.Usable && !c.Holds && c.CanLoad }

// part returns a part of the objective.
func (r Request) part(x float64) time.Duration { return time.Duration(x * float64(r.Objective)) }

// needsCopy reports whether the wait at the best holder is worth a load.
func needsCopy(req Request, candidates []Candidate, holder, home int) bool {
	wait := candidates[holder].wait()
	return wait >= req.part(copyAt) && candidates[home].queue() < wait/2
}

// cost returns the wait and the way.
func (c *Candidate) cost(req Request) time.Duration { return c.wait() + c.way(req) + c.Extra }

// wait returns the time until a request's first event at the target. A missing
// adapter is loaded while the requests before it are served.
func (c *Candidate) wait() time.Duration {
	if c.Holds {
		return c.queue()
	}
	return max(c.queue(), c.Loading)
}

// queue returns the time until a first event by the target's load: engines read
// prompts one after the other, a batch that fills delays the first event, and
// beyond it requests wait until others end.
func (c *Candidate) queue() time.Duration {
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
