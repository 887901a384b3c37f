package assignment

import "time"

// Terms are the parts of the cost of a candidate.
type Terms struct {
	Wait        time.Duration // expected time until the request's first event
	Extra       time.Duration // the part of ExtraTime that counts
	Network     time.Duration // network delay and the price of the request's bytes
	Penalty     time.Duration
	Permit      time.Duration // value of one of the requests that a limited target takes
	CacheSaving time.Duration // subtracted
}

// Terms returns the parts of the candidate's cost.
func (c *Candidate) Terms(req Request) Terms {
	t := Terms{
		Wait:        c.expectedWait(),
		Extra:       c.weightedExtra(req),
		Network:     c.networkCost(req),
		Penalty:     c.Penalty,
		CacheSaving: c.CacheSaving,
	}
	if c.RateLimited {
		t.Permit = req.objectiveFraction(permitFraction)
	}
	return t
}

// Cost returns the time by which targets that hold the adapter are compared.
func (t Terms) Cost() time.Duration {
	return t.Wait + t.Extra + t.Network + t.Penalty + t.Permit - t.CacheSaving
}

// HomeCost returns the time by which targets that would load the adapter are compared.
func (t Terms) HomeCost() time.Duration { return t.Wait + t.Extra + t.Penalty }

// CanBeHome reports whether a missing adapter can be loaded at the candidate.
func (c *Candidate) CanBeHome() bool { return c.canBeHome() }
