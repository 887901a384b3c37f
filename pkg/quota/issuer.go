package quota

import (
	"math"
	"time"

	"github.com/borageusher/borageusher/pkg/holder"
)

// Times of an issuer.
const (
	// leaseTime is how long credit is valid at an account, counted from the time at which
	// the account sent the last request that was answered.
	leaseTime = time.Second
	// holdTime is how long an issuer counts the credit of an account that is silent. It is
	// leaseTime and the time in which a request arrives.
	holdTime = leaseTime + 500*time.Millisecond
	// expiryInterval is the interval at which silent accounts are looked for.
	expiryInterval = 200 * time.Millisecond
	// reserveTime is the time of which the rate is left to the other accounts when one asks
	// for more than its share: the longest interval between the requests of an account
	// whose demand is not met.
	reserveTime = 100 * time.Millisecond
	// maxEntitledTime bounds the share of the rate that an account may claim later: the
	// longest interval between its requests, with some margin.
	maxEntitledTime = 600 * time.Millisecond
	// minBurstTime is the time of which a bucket holds the rate at least. Accounts ask at
	// intervals, between which credit would be lost otherwise.
	minBurstTime = 100 * time.Millisecond
	// deputyTime is how long the request of an account counts that has another issuer but
	// can't reach it; such accounts send one at least twice a second.
	deputyTime = 1200 * time.Millisecond
	// versionTime is how long a limit counts that no sender states any more, against others
	// of the same or a lower version: longer than a new configuration takes to reach all
	// processes.
	versionTime = 5 * time.Second
)

// Request is what an account asks its issuer for.
type Request struct {
	Held     float64 // balance, negative if overdrawn
	Ask      float64 // credit wanted
	Need     float64 // least credit with which a waiting request can go on, zero if none waits
	Demand   float64 // units a second that callers ask for
	Returned float64 // credit that is not needed any more; not part of Held
}

// Sender is what an issuer knows of the process that asks.
type Sender struct {
	Name  string
	First bool          // this process is the first choice among those listed, whether connected or not
	Age   time.Duration // time for which the sender has regarded this process as the issuer
}

// Membership is the number of processes that spend the quota.
type Membership struct {
	Connected int // to the issuer
	Known     int // highest number of the last minutes
}

// Answer is the answer to a Request.
type Answer struct {
	Granted float64
	Short   bool          // credit does not suffice for what all accounts ask for
	Wait    time.Duration // until the account gets credit again, if nothing was granted
}

// Issuer grants the credit of one workspace. It is not safe for concurrent use.
type Issuer struct {
	bounds     Bounds
	limit      Limit
	limitAt    time.Time // last time at which a sender stated it
	level      float64   // units that may be granted, negative after a grant in advance
	at         time.Time // time for which level holds
	startUntil time.Time
	servedAt   time.Time // last request, zero before the first
	share      float64   // of the rate that this issuer grants

	accounts    map[string]*holding
	outstanding float64 // sum of held
	demand      float64 // sum
	expiredAt   time.Time
}

// holding is what an issuer knows of an account.
type holding struct {
	held     float64
	demand   float64
	entitled float64 // units of its share of the rate that it did not get, negative if it got some in advance
	at       time.Time
	deputy   bool // it has another issuer
}

// NewIssuer returns the issuer of a workspace. It may have been asked since the given time.
func NewIssuer(since time.Time, b Bounds, l Limit) *Issuer {
	return &Issuer{bounds: b, limit: l, limitAt: since, at: since, startUntil: since.Add(startTime), share: 1, accounts: map[string]*holding{}}
}

// ServedAt returns the time of the last request, zero before the first.
func (i *Issuer) ServedAt() time.Time { return i.servedAt }

// Outstanding returns the credit that accounts hold.
func (i *Issuer) Outstanding() float64 { return i.outstanding }

// Level returns the units that may be granted now.
func (i *Issuer) Level() float64 { return i.level }

// Starting reports whether the issuer has just begun.
func (i *Issuer) Starting(now time.Time) bool { return now.Before(i.startUntil) }

// Request answers a request. l is the limit that the sender knows. It reports whether the
// issuer begins again, because another process was the issuer in between.
func (i *Issuer) Request(now time.Time, s Sender, l Limit, r Request, m Membership) (a Answer, began bool) {
	i.accrue(now)
	i.applyLimit(now, l)
	if holder.Replaced(now, i.servedAt, s.Age) {
		i.level, i.startUntil, began = min(i.level, 0), now.Add(startTime-min(s.Age, startTime)), true
	}
	i.servedAt = now
	i.expire(now)
	h := i.update(now, s, r)
	i.share = i.shareOf(now, s, m)
	i.level = min(i.level+r.Returned, i.capacity())
	return i.grant(now, h, r), began
}

// applyLimit applies what a sender states of the limit. Versions may be given out again
// after the store was restored, so that a limit counts that nobody states any more only
// for versionTime.
func (i *Issuer) applyLimit(now time.Time, l Limit) {
	switch {
	case l == i.limit:
		i.limitAt = now
	case l.Version > i.limit.Version || now.Sub(i.limitAt) > versionTime:
		i.setLimit(l)
		i.limitAt = now
	}
}

// setLimit replaces the limit. Grants in advance are scaled, as they would take long to
// repay at a lower rate.
func (i *Issuer) setLimit(l Limit) {
	if l.PerSecond < i.limit.PerSecond {
		f := l.PerSecond / i.limit.PerSecond
		i.level *= f
		for _, h := range i.accounts {
			h.entitled *= f
		}
	}
	i.limit = l
	i.level = min(i.level, i.capacity())
}

// rate returns the units a second that are granted now.
func (i *Issuer) rate(now time.Time) float64 {
	r := i.limit.PerSecond * i.share
	if i.Starting(now) {
		r *= i.bounds.startShare()
	}
	return r
}

// capacity returns the highest level. An issuer that grants a part of the rate has the same
// part of the burst, because another one may grant the rest.
func (i *Issuer) capacity() float64 {
	return i.share * max(i.limit.Burst, i.limit.over(minBurstTime))
}

// accrue adds the units for the time since the last call.
func (i *Issuer) accrue(now time.Time) {
	if !now.After(i.at) {
		return
	}
	full := now.Sub(i.at)
	if i.at.Before(i.startUntil) {
		starting := min(full, i.startUntil.Sub(i.at))
		i.level += i.limit.over(starting) * i.share * i.bounds.startShare()
		full -= starting
	}
	i.level = min(i.level+i.limit.over(full)*i.share, i.capacity())
	i.at = now
}

// update records what an account states.
func (i *Issuer) update(now time.Time, s Sender, r Request) *holding {
	h := i.accounts[s.Name]
	if h == nil {
		h = &holding{at: now}
		i.accounts[s.Name] = h
	}
	i.outstanding += max(0, r.Held) - h.held
	i.demand += r.Demand - h.demand
	h.held, h.demand, h.deputy = max(0, r.Held), r.Demand, !s.First
	h.entitled = min(h.entitled+i.rate(now)*now.Sub(h.at).Seconds()*i.fraction(h), i.limit.over(maxEntitledTime)*i.fraction(h))
	h.at = now
	return h
}

// fraction returns an account's part of the demand.
func (i *Issuer) fraction(h *holding) float64 {
	if i.demand <= 0 || h.demand >= i.demand {
		return 1
	}
	return h.demand / i.demand
}

// shareOf returns the share of the rate that this issuer grants. Processes that are not
// connected spend their parts without it. If the sender has another issuer, so may have
// all but those that say that they can't reach it either.
func (i *Issuer) shareOf(now time.Time, s Sender, m Membership) float64 {
	present := m.Connected
	if !s.First {
		present = 0
		for _, h := range i.accounts {
			if h.deputy && now.Sub(h.at) <= deputyTime {
				present++
			}
		}
	}
	known := float64(max(1, m.Known))
	share := float64(present) / known
	if share > 0.5 {
		// The loss of few processes does not reduce the quota. Only one side of a partition
		// of the network has the majority, so that what is tolerated does not add up.
		share += i.bounds.Over / 2
	}
	return min(1, share)
}

// expire drops the accounts that were not heard for holdTime. What they held is spent or
// void.
func (i *Issuer) expire(now time.Time) {
	if now.Sub(i.expiredAt) < expiryInterval {
		return
	}
	i.expiredAt = now
	i.outstanding, i.demand = 0, 0 // summed up again, which also removes rounding errors
	for name, h := range i.accounts {
		if now.Sub(h.at) > holdTime {
			delete(i.accounts, name)
			continue
		}
		i.outstanding += h.held
		i.demand += h.demand
	}
}

// grant decides on a request of h.
func (i *Issuer) grant(now time.Time, h *holding, r Request) Answer {
	reserve := min(i.limit.over(reserveTime), i.capacity()/2)
	share := min(h.entitled, i.level)
	available := max(0, share, i.level-reserve)
	room := max(0, i.bounds.held(i.limit)-i.outstanding)
	g := math.Floor(max(0, min(r.Ask, available, room)))
	if need := math.Ceil(r.Need); need > g && i.mayAdvance(h, need, reserve) {
		g = need
	}
	i.level -= g
	switch {
	case r.Need > 0 && g > h.entitled: // repaid from the later shares
		h.entitled = max(h.entitled-g, -max(r.Need, i.limit.over(maxEntitledTime)*i.fraction(h)))
	default:
		h.entitled = max(min(h.entitled, 0), h.entitled-g)
	}
	h.held += g
	i.outstanding += g
	a := Answer{Granted: g, Short: available < r.Ask}
	if g < r.Need {
		a.Wait = i.wait(now, h, reserve)
	}
	return a
}

// wait returns the time until an account gets credit again.
func (i *Issuer) wait(now time.Time, h *holding, reserve float64) time.Duration {
	perSecond := max(1e-9, i.rate(now))
	own := -h.entitled / (perSecond * max(1e-3, i.fraction(h)))
	wait := max(0, -i.level/perSecond, min(own, (reserve-i.level)/perSecond))
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// mayAdvance reports whether an account may get more than its share for a request that
// waits.
func (i *Issuer) mayAdvance(h *holding, need, reserve float64) bool {
	switch {
	case h.entitled <= 0 && i.level <= reserve:
		return false
	case i.level <= 0:
		return false
	}
	// A request that is larger than the bucket gets credit when the bucket is full.
	return i.level-need >= -i.bounds.maxDebt() || i.level >= min(need, i.capacity())
}
