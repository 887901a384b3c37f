package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which the weight of past use halves. At 40 requests a second
	// of 16 workspaces it leaves some 15 requests of each to compare, and a share that was
	// lent is back within a few seconds.
	halfLife = 4 * time.Second
	// levelValidity is how long a computed level is used, so that its cost does not depend
	// on the number of requests.
	levelValidity = 20 * time.Millisecond
	// starvedRatio is the ratio of how often a workspace and all are served below which
	// the workspace counts as starved. The goal is a quarter; the rest is for the delay
	// until a decision has an effect.
	starvedRatio = 0.35
	// starvedShares is the multiple of an equal share of all use up to which a workspace
	// can be starved. It suffices for 16 times the usual load beside 15 others, and bounds
	// what a workspace gets by repeating rejected requests, which all count as not served.
	starvedShares = 2
	// earlyCapacity and earlyShares tell who is above its share before anything was rejected:
	// a workspace that has got the level of this part of what all got, and this multiple of
	// an equal share. Otherwise the backlog would first grow until all are rejected, and
	// take seconds to fall.
	earlyCapacity = 0.9
	earlyShares   = 1.5
	// forgottenBelow is the number of requests below which a workspace is forgotten: some
	// 40 s after the last of ten requests.
	forgottenBelow = 0.01
)

// Standing is the standing of a workspace relative to its fair share.
type Standing uint8

// The standings.
const (
	Within  Standing = iota // uses less than its share
	Above                   // uses its share or more
	Starved                 // above its share, but served far less often than all
)

// String returns the standing's name in logs.
func (s Standing) String() string {
	switch s {
	case Within:
		return "within"
	case Above:
		return "above"
	case Starved:
		return "starved"
	}
	return "unrecognised"
}

// sums are decayed sums of one workspace.
type sums struct {
	at       time.Time // to which they are decayed
	asked    float64   // seconds of engine time
	used     float64
	requests float64
	served   float64 // requests
}

// weight returns the weight of what was recorded a time ago.
func weight(ago time.Duration) float64 { return math.Exp2(-float64(ago) / float64(halfLife)) }

// decay decays the sums to now.
func (u *sums) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	f := weight(elapsed)
	u.asked *= f
	u.used *= f
	u.requests *= f
	u.served *= f
	u.at = now
}

// demand returns the engine time that the workspace asked for, which is at least what it
// got: a request may take several attempts.
func (u *sums) demand() float64 { return max(u.asked, u.used) }

// Shares holds what workspaces asked for and got. It is not safe for concurrent use.
type Shares struct {
	workspaces map[string]*sums

	levelAt  time.Time // when the following were computed
	level    float64   // seconds of engine time, infinite while all get what they ask for
	early    float64   // use from which a workspace is above its share although all get what they ask for
	total    float64   // used by all
	fraction float64   // of the requests of all that were served
	demands  []float64 // reused
}

// New returns shares without use.
func New() *Shares {
	return &Shares{workspaces: map[string]*sums{}, level: math.Inf(1), early: math.Inf(1)}
}

func (s *Shares) sumsOf(now time.Time, workspace string) *sums {
	u := s.workspaces[workspace]
	if u == nil {
		u = &sums{at: now}
		s.workspaces[workspace] = u
	}
	u.decay(now)
	return u
}

// Offer records a request that takes an engine time.
func (s *Shares) Offer(now time.Time, workspace string, engineTime time.Duration) {
	u := s.sumsOf(now, workspace)
	u.asked += engineTime.Seconds()
	u.requests++
}

// Use records that a request was sent to an engine.
func (s *Shares) Use(now time.Time, workspace string, engineTime time.Duration) {
	u := s.sumsOf(now, workspace)
	u.used += engineTime.Seconds()
	u.served++
}

// Withdraw takes back a Use at an earlier time, of a request that the engine did not run.
func (s *Shares) Withdraw(now time.Time, workspace string, engineTime time.Duration, usedAt time.Time) {
	u := s.sumsOf(now, workspace)
	f := weight(max(0, now.Sub(usedAt)))
	u.used = max(0, u.used-f*engineTime.Seconds())
	u.served = max(0, u.served-f)
}

// Standing returns the standing of a workspace.
func (s *Shares) Standing(now time.Time, workspace string) Standing {
	s.update(now)
	u := s.workspaces[workspace]
	if u == nil {
		return Within
	}
	u.decay(now)
	since := weight(now.Sub(s.levelAt))
	switch {
	case u.used < since*min(s.level, s.early):
		return Within
	case u.served < starvedRatio*s.fraction*u.requests && u.used < starvedShares*since*s.total/float64(len(s.demands)):
		return Starved
	}
	return Above
}

// Share returns the fraction of the engine time that a workspace got, and its fair
// fraction, which is one while all get what they ask for.
func (s *Shares) Share(now time.Time, workspace string) (used, fair float64) {
	s.update(now)
	u := s.workspaces[workspace]
	if u == nil || s.total == 0 {
		return 0, 1
	}
	u.decay(now)
	return u.used / (weight(now.Sub(s.levelAt)) * s.total), min(1, s.level/s.total)
}

// Each calls f with the result of Share for each workspace with recent requests.
func (s *Shares) Each(now time.Time, f func(workspace string, used, fair float64)) {
	for name := range s.workspaces {
		used, fair := s.Share(now, name)
		f(name, used, fair)
	}
}

// update computes the level if it is outdated.
func (s *Shares) update(now time.Time) {
	if !s.levelAt.IsZero() && now.Sub(s.levelAt) < levelValidity {
		return
	}
	s.levelAt = now
	s.demands, s.total = s.demands[:0], 0
	requests, served := 0.0, 0.0
	for name, u := range s.workspaces {
		u.decay(now)
		if u.requests+u.served < forgottenBelow {
			delete(s.workspaces, name)
			continue
		}
		s.demands = append(s.demands, u.demand())
		s.total += u.used
		requests += u.requests
		served += u.served
	}
	s.fraction = 1
	if requests > 0 {
		s.fraction = min(1, served/requests)
	}
	slices.Sort(s.demands)
	s.level = divide(s.total, s.demands)
	s.early = max(divide(earlyCapacity*s.total, s.demands), earlyShares*s.total/float64(max(1, len(s.demands))))
}

// roundingError is the relative difference up to which sums of the same amounts count as
// equal.
const roundingError = 1e-9

// divide returns the level of the max-min fair division of a capacity among ascending
// demands: the largest part that any of them gets, infinite if all are met.
func divide(capacity float64, demands []float64) float64 {
	left := capacity * (1 + roundingError)
	for i, d := range demands {
		part := left / float64(len(demands)-i)
		if d > part {
			return part / (1 + roundingError) / (1 + roundingError)
		}
		left -= d
	}
	return math.Inf(1)
}
