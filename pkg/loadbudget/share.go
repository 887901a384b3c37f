package loadbudget

import (
	"time"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

// Limits are the limits of the weight store of a deployment.
type Limits struct {
	Rate     float64 // loads started per second
	Burst    int     // loads that may start at the same time
	InFlight int     // loads in flight beyond which all of them slow down
}

// Parameters of the adaptation to a slow weight store.
const (
	slowLoadFactor = 3   // a load is slow if it takes more than this multiple of the shortest one
	rateDecrease   = 0.7 // multiplies the rate factor after a slow load
	rateIncrease   = 0.1 // added to the rate factor after any other load
	minRateFactor  = 0.1
)

// Share is one target's part of the weight store's rate, a token bucket of permits.
// It implements dispatch.Budget and is not safe for concurrent use.
type Share struct {
	rate         float64 // permits accrued per second
	spacing      float64 // minimum time between two starts, as a multiple of a load's duration
	maxInFlight  int     // maximum of inFlight
	permits      float64
	accruedAt    time.Time // when permits was last updated
	inFlight     int
	startedAt    time.Time
	nextStart    time.Time           // earliest start of the next load, see spacing
	unmet        []dispatch.LoadNeed // needs without a permit in the last round of TakePermit calls, one for each team
	unmetAt      time.Time           // of that round
	granted      map[string]int      // permits received from an allocator, by team
	shortestLoad time.Duration       // duration of the shortest load
	rateFactor   float64             // fraction of the rate in use, below 1 while loads are slow
	turns        *TurnSchedule       // nil unless the position is known and the limit of loads in flight is below the number of targets
	reportedAt   time.Time           // last report to an allocator, by ReleasePermits
	lastLoad     time.Duration       // duration of the last load
}

// NewShare returns one target's share of limits, which are divided evenly among
// the given number of targets. The position is the target's index in the
// round-robin order of TurnSchedule. A negative position means that it is
// unknown: without an allocator, the limit of loads in flight then holds on
// average only. NewShare panics unless the rate and targets are positive and
// position is below targets.
func NewShare(limits Limits, targets, position int, now time.Time) *Share {
	if limits.Rate <= 0 || targets <= 0 || position >= targets {
		panic("loadbudget: rate and targets must be positive, and position below targets")
	}
	loadsPerTarget := float64(limits.InFlight) / float64(targets)
	s := &Share{rate: limits.Rate / float64(targets), maxInFlight: max(1, int(loadsPerTarget)), accruedAt: now, rateFactor: 1, granted: map[string]int{}}
	if loadsPerTarget > 0 && loadsPerTarget < 1 {
		s.spacing = 1 / loadsPerTarget
	}
	if loadsPerTarget > 0 && loadsPerTarget < 1 && position >= 0 {
		s.turns = &TurnSchedule{Position: position, Targets: targets, Concurrent: limits.InFlight}
	}
	return s
}

// TakePermit implements dispatch.Budget. If the target may start a load now but
// has no permit, or it is not the target's turn, it records the need for
// UnmetNeeds.
func (s *Share) TakePermit(now time.Time, need dispatch.LoadNeed) bool {
	s.accrue(now)
	if s.inFlight >= s.maxInFlight || now.Before(s.nextStart) {
		s.unmet = s.unmet[:0] // a further permit could not be used now
		return false
	}
	if s.granted[need.Team] == 0 && s.permits < 1 || !s.inTurn(now) {
		s.recordUnmet(now, need)
		return false
	}
	if s.granted[need.Team] > 0 {
		s.granted[need.Team]--
	} else {
		s.permits--
	}
	s.inFlight++
	s.startedAt = now
	return true
}

// inTurn reports whether the target's turns allow a load to start now. The turns do
// not apply while an allocator limits the loads of all targets.
func (s *Share) inTurn(now time.Time) bool {
	if s.turns == nil || now.Sub(s.reportedAt) < reportTimeout {
		return true
	}
	duration := s.lastLoad
	if duration == 0 {
		duration = turnLength / 4 // assumed until a load was observed
	}
	return s.turns.Allows(now, durationMargin*duration)
}

// recordUnmet records a need without a permit. Calls of TakePermit at the same
// time form a round, of which the first need of each team counts.
func (s *Share) recordUnmet(now time.Time, need dispatch.LoadNeed) {
	if !s.unmetAt.Equal(now) {
		s.unmet, s.unmetAt = s.unmet[:0], now
	}
	for _, n := range s.unmet {
		if n.Team == need.Team {
			return
		}
	}
	s.unmet = append(s.unmet, need)
}

// NextPermit implements dispatch.Budget. It returns the time at which the next load
// may start by the target's own rate, or the zero time if the maximum number of
// loads is in flight.
func (s *Share) NextPermit(now time.Time) time.Time {
	s.accrue(now)
	if s.inFlight >= s.maxInFlight {
		return time.Time{}
	}
	deficit := max(0, 1-s.permits)
	// One millisecond more, so that the permit has accrued despite rounding.
	next := now.Add(time.Duration(deficit/(s.rate*s.rateFactor)*float64(time.Second)) + time.Millisecond)
	if next.Before(s.nextStart) {
		next = s.nextStart
	}
	if deficit == 0 && !s.inTurn(now) {
		next = s.turns.Next(now)
	}
	return next
}

// Done implements dispatch.Budget. If the target's part is less than one load in
// flight, the next start is delayed in proportion to the load's duration, so that
// the mean number of loads in flight stays within the part by Little's law (J. D.
// C. Little, 1961).
func (s *Share) Done(now time.Time) {
	s.inFlight = max(0, s.inFlight-1)
	s.lastLoad = now.Sub(s.startedAt)
	s.adaptRate(s.lastLoad)
	if s.spacing > 0 {
		s.nextStart = s.startedAt.Add(time.Duration(s.spacing * float64(now.Sub(s.startedAt))))
	}
}

// adaptRate lowers the rate factor after a load that took much longer than the
// shortest one, which indicates that the weight store has become slower than its
// limits say. After any other load it raises the factor (additive increase,
// multiplicative decrease; D.-M. Chiu and R. Jain, 1989).
func (s *Share) adaptRate(duration time.Duration) {
	if s.shortestLoad == 0 || duration < s.shortestLoad {
		s.shortestLoad = duration
	}
	if duration > slowLoadFactor*s.shortestLoad {
		s.rateFactor = max(minRateFactor, s.rateFactor*rateDecrease)
		return
	}
	s.rateFactor = min(1, s.rateFactor+rateIncrease)
}

// UnmetNeeds returns the needs without a permit in the last round of TakePermit
// calls, one for each team. A need is removed when a permit for its team is
// received. The caller must not modify the result.
func (s *Share) UnmetNeeds() []dispatch.LoadNeed { return s.unmet }

// ReleasePermits removes all permits from the share and returns their number,
// for transfer to an allocator.
func (s *Share) ReleasePermits(now time.Time) float64 {
	s.accrue(now)
	s.reportedAt = now
	permits := s.permits
	s.permits = 0
	for team, n := range s.granted {
		permits += float64(n)
		delete(s.granted, team)
	}
	return permits
}

// AddPermit adds one permit that an allocator assigned to a team's need.
func (s *Share) AddPermit(now time.Time, team string) {
	s.accrue(now)
	s.granted[team]++
	for i, n := range s.unmet {
		if n.Team == team {
			s.unmet = append(s.unmet[:i], s.unmet[i+1:]...)
			return
		}
	}
}

// accrue adds the permits for the time since the last call. The bucket holds one
// permit. With turns it also holds the permits of one turn, which accrue while the
// target waits for its own.
func (s *Share) accrue(now time.Time) {
	elapsed := now.Sub(s.accruedAt)
	if elapsed <= 0 {
		return
	}
	s.accruedAt = now
	maxPermits := 1.0
	if s.turns != nil {
		maxPermits += turnLength.Seconds() * s.rate
	}
	if s.permits < maxPermits {
		s.permits = min(maxPermits, s.permits+elapsed.Seconds()*s.rate*s.rateFactor)
	}
}
