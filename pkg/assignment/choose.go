package assignment

import (
	"time"

	"github.com/borageusher/borageusher/pkg/placement"
)

// Distance is the network distance between a target and the process that chooses.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Network costs, as time.
const (
	// crossZoneCost and crossRegionCost are the round-trip times on the users'
	// deployments, including the price of the bytes of a short answer, which
	// between regions is four times that between zones.
	crossZoneCost   = 10 * time.Millisecond
	crossRegionCost = 100 * time.Millisecond
	// crossZoneCostPerKB and crossRegionCostPerKB are the price of the request's
	// bytes, as time per KiB.
	crossZoneCostPerKB   = 1500 * time.Microsecond
	crossRegionCostPerKB = 6 * time.Millisecond
)

// Thresholds of the choice, as fractions of the objective.
const (
	// slackFraction is the extra wait up to which a home is used although another
	// target that could load the adapter is faster, and up to which a holder is
	// used although a home that first loads the adapter is faster.
	slackFraction = 0.3
	// copyThreshold is the wait at the best holder from which a further copy is
	// loaded. A copy takes an adapter slot and a load, while requests that start
	// well within the objective gain nothing from it.
	copyThreshold = 0.3
	// permitFraction is the extra wait for which another holder is used than one that
	// limits its request rate. Requests for the adapters in most demand then share the
	// slots of the others, and those for rare ones, which need a slot each, get the few
	// that a limited target takes.
	permitFraction = 0.2
	// extraFraction is the part of ExtraTime that counts. The whole of it keeps slow targets
	// idle until the others are full, and the requests that others send meanwhile are known
	// too late: in a trial with the replay of pkg/speed at 0.9 of the capacity, responses took
	// 437 ms in the mean with all of it, 417 ms with a half.
	extraFraction = 0.5
	// extraBand is the ExtraTime up to which targets count as equally fast. Without it, all
	// requests would go to the target with the least estimate while none is busy, although
	// estimates are not that exact and callers don't notice the difference.
	extraBand = 0.03
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Key       uint64        // hash of the adapter or of other content that targets may have cached
	Objective time.Duration // until the answer, or a stream's first event
	Bytes     int           // size of the request
}

// Candidate is one target that may be sent the request.
type Candidate struct {
	Hash             uint64 // of the target's identity
	Distance         Distance
	Slots            int           // requests that the target runs concurrently
	Requests         int           // estimated number of requests that run or wait at the target
	Backlog          time.Duration // time in which the target reads the prompts that it has not read yet
	TimeToFirstEvent time.Duration // mean time until a request's first event at the target
	SojournTime      time.Duration // mean time of a request at the target
	ExtraTime        time.Duration // by which this request itself takes longer there than at a mean target; negative if it takes less
	CacheSaving      time.Duration // time that the target saves because it need not read a cached prefix of the prompt
	Resident         bool          // the target holds the adapter
	LoadDelay        time.Duration // time until a missing adapter is loaded
	CanLoad          bool          // the target can load adapters now
	InHostMemory     bool          // a missing adapter is loaded from the VM's memory, not from the weight store
	RateLimited      bool          // the target limits its request rate
	PermitDelay      time.Duration // time until such a target takes a further request
	Penalty          time.Duration // added to the cost of targets that failed recently
	Usable           bool          // the target may be sent requests
}

// Choice is the result of Choose.
type Choice struct {
	Index      int
	Resident   bool          // the target already holds the adapter
	Wait       time.Duration // expected time until the request's first event
	CopyTarget int           // index of the target that should load a further copy, -1 for none
}

// Choose returns the target for a request, and false if no candidate is usable and
// either holds the adapter or can load it.
func Choose(req Request, candidates []Candidate) (Choice, bool) {
	holder := cheapestHolder(req, candidates)
	home := selectHome(req, candidates)
	switch {
	case holder < 0 && home < 0:
		return Choice{}, false
	case holder < 0:
		return Choice{Index: home, Wait: candidates[home].expectedWait(), CopyTarget: -1}, true
	}
	choice := Choice{Index: holder, Resident: true, Wait: candidates[holder].expectedWait(), CopyTarget: -1}
	switch {
	case home < 0:
	case candidates[holder].cost(req) > candidates[home].cost(req)+req.objectiveFraction(slackFraction):
		choice = Choice{Index: home, Wait: candidates[home].expectedWait(), CopyTarget: -1}
	case needsCopy(req, candidates, holder, home):
		choice.CopyTarget = home
	}
	return choice, true
}

// cheapestHolder returns the holder of the adapter with the least cost, -1 if
// there is none.
func cheapestHolder(req Request, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Usable && c.Resident && (best < 0 || c.cost(req) < candidates[best].cost(req)) {
			best = i
		}
	}
	return best
}

// selectHome returns the target at which a missing adapter is loaded, -1 if none can
// load it. Of the targets within slackFraction of the fastest one it takes the first
// in the order of the rendezvous hash, and prefers those that have the adapter in
// the VM's memory.
func selectHome(req Request, candidates []Candidate) int {
	var least time.Duration
	found := false
	for i := range candidates {
		c := &candidates[i]
		if c.canBeHome() && (!found || c.homeCost(req) < least) {
			least, found = c.homeCost(req), true
		}
	}
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if !c.canBeHome() || c.homeCost(req) > least+req.objectiveFraction(slackFraction) {
			continue
		}
		if best < 0 || c.betterHome(&candidates[best], req) {
			best = i
		}
	}
	return best
}

// weightedExtra returns the part of ExtraTime that counts.
func (c *Candidate) weightedExtra(req Request) time.Duration {
	band := req.objectiveFraction(extraBand)
	switch {
	case c.ExtraTime > band:
		return time.Duration(extraFraction * float64(c.ExtraTime-band))
	case c.ExtraTime < -band:
		return time.Duration(extraFraction * float64(c.ExtraTime+band))
	}
	return 0
}

// homeCost returns the time by which homes are compared.
func (c *Candidate) homeCost(req Request) time.Duration { return c.Terms(req).HomeCost() }

// betterHome reports whether c is a better home than o; both are fast enough.
func (c *Candidate) betterHome(o *Candidate, req Request) bool {
	if c.InHostMemory != o.InHostMemory {
		return c.InHostMemory
	}
	return c.rank(req) > o.rank(req)
}

// canBeHome reports whether a missing adapter can be loaded at the target.
func (c *Candidate) canBeHome() bool { return c.Usable && !c.Resident && c.CanLoad }

// objectiveFraction returns the fraction x of the objective.
func (r Request) objectiveFraction(x float64) time.Duration {
	return time.Duration(x * float64(r.Objective))
}

// needsCopy reports whether the wait at the best holder justifies the load of a
// further copy.
func needsCopy(req Request, candidates []Candidate, holder, home int) bool {
	wait := candidates[holder].expectedWait()
	return wait >= req.objectiveFraction(copyThreshold) && candidates[home].startDelay() < wait/2
}

// cost returns the time by which holders are compared.
func (c *Candidate) cost(req Request) time.Duration { return c.Terms(req).Cost() }

// expectedWait returns the expected time until a request's first event at the target.
// A missing adapter is loaded while the requests ahead are served.
func (c *Candidate) expectedWait() time.Duration {
	if c.Resident {
		return c.startDelay()
	}
	return max(c.startDelay(), c.PermitDelay+c.LoadDelay)
}

// startDelay returns the expected time until a request's first event at a target that
// holds the adapter.
func (c *Candidate) startDelay() time.Duration { return c.PermitDelay + c.queueDelay() }

// queueDelay returns the expected time until a first event due to the target's load.
// Engines process prompts sequentially, a fuller batch delays the first event, and
// beyond a full batch requests wait until others end.
func (c *Candidate) queueDelay() time.Duration {
	slots := float64(max(1, c.Slots))
	load := float64(c.Requests) / slots
	ahead := c.Backlog
	if load < 1 {
		return ahead + time.Duration(load*float64(c.TimeToFirstEvent))
	}
	return ahead + c.TimeToFirstEvent + time.Duration((load-1+1/slots)*float64(c.SojournTime))
}

// networkCost returns the network delay and the price of the request's bytes.
func (c *Candidate) networkCost(req Request) time.Duration {
	kb := time.Duration(req.Bytes / 1024)
	switch c.Distance {
	case SameZone:
		return 0
	case SameRegion:
		return crossZoneCost + kb*crossZoneCostPerKB
	}
	return crossRegionCost + kb*crossRegionCostPerKB
}

// rank returns the target's score in the rendezvous hash; the highest is first.
func (c *Candidate) rank(req Request) uint64 { return placement.Mix(req.Key ^ c.Hash) }
