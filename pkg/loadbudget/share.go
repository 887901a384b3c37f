package loadbudget

import (
	"time"

	"github.com/borageusher/borageusher/pkg/dispatch"
)

// Limits are what the weight store of a deployment allows.
type Limits struct {
	Rate     float64 // loads that start in a second
	Burst    int     // loads that start at once
	InFlight int     // loads in flight before they slow down
}

// Adaptation to a slow weight store.
const (
	slowLoad   = 3   // times the shortest load beyond which a load is slow
	slowDown   = 0.7 // of the speed after a slow load
	speedUp    = 0.1 // added to the speed after another load
	leastSpeed = 0.1
)

// Share is one target's part of the weight store's rate. It implements
// dispatch.Budget and is not safe for concurrent use.
type Share struct {
	rate     float64 // rights that accrue in a second
	pace     float64 // least time between two starts, in times of a load's duration
	most     int     // loads in flight at once
	rights   float64
	accrued  time.Time // when rights was last brought up to date
	inFlight int
	started  time.Time
	next     time.Time       // earliest next start after a slow load
	asked    []dispatch.Need // one for each team, of the last round of tries
	askedAt  time.Time
	granted  map[string]int // rights that came for a team's need
	shortest time.Duration  // of the loads so far
	speed    float64        // part of the rate in use, below 1 while loads are slow
	turns    *Turns         // nil unless there are fewer loads in flight than targets
	told     time.Time      // last report to a granter
	took     time.Duration  // of the last load
}

// NewShare returns the part of limits that the target in the given position has,
// split evenly over so many targets. A negative position is an unknown one: then
// only the mean of the loads in flight keeps to the limit while nobody grants. It
// panics unless the rate and the number of targets are positive and the position
// lies below that number.
func NewShare(limits Limits, targets, position int, now time.Time) *Share {
	if limits.Rate <= 0 || targets <= 0 || position >= targets {
		panic("loadbudget: rate and targets must be positive, and the position below the targets")
	}
	part := float64(limits.InFlight) / float64(targets)
	s := &Share{rate: limits.Rate / float64(targets), most: max(1, int(part)), accrued: now, speed: 1, granted: map[string]int{}}
	if part > 0 && part < 1 {
		s.pace = 1 / part
	}
	if part > 0 && part < 1 && position >= 0 {
		s.turns = &Turns{Position: position, Targets: targets, AtOnce: limits.InFlight}
	}
	return s
}

// Take implements dispatch.Budget. When there is no right, it notes the need
// for Asked.
func (s *Share) Take(now time.Time, need dispatch.Need) bool {
	s.accrue(now)
	if s.inFlight >= s.most || now.Before(s.next) {
		s.asked = s.asked[:0] // a right could not be used
		return false
	}
	if s.granted[need.Team] == 0 && s.rights < 1 || !s.inTurn(now) {
		s.ask(now, need)
		return false
	}
	if s.granted[need.Team] > 0 {
		s.granted[need.Team]--
	} else {
		s.rights--
	}
	s.inFlight++
	s.started = now
	return true
}

// inTurn reports whether a load may start: always while a granter paces the
// loads of all targets.
func (s *Share) inTurn(now time.Time) bool {
	if s.turns == nil || now.Sub(s.told) < silenceAfter {
		return true
	}
	takes := s.took
	if takes == 0 {
		takes = turnLength / 4 // none was seen yet
	}
	return s.turns.Allows(now, endMargin*takes)
}

// ask notes a need, the first of its team in a round of tries at one time.
func (s *Share) ask(now time.Time, need dispatch.Need) {
	if !s.askedAt.Equal(now) {
		s.asked, s.askedAt = s.asked[:0], now
	}
	for _, n := range s.asked {
		if n.Team == need.Team {
			return
		}
	}
	s.asked = append(s.asked, need)
}

// NextTake implements dispatch.Budget: it returns when the target's own rate
// brings the next right.
func (s *Share) NextTake(now time.Time) time.Time {
	s.accrue(now)
	if s.inFlight >= s.most {
		return time.Time{}
	}
	missing := max(0, 1-s.rights)
	next := now.Add(time.Duration(missing/(s.rate*s.speed)*float64(time.Second)) + time.Millisecond)
	if next.Before(s.next) {
		next = s.next
	}
	if missing == 0 && !s.inTurn(now) {
		next = s.turns.Next(now)
	}
	return next
}

// Done implements dispatch.Budget. If the target's part is less than one load
// in flight, the next start waits in proportion to the load's duration, so that
// the mean number in flight stays within the part (J. D. C. Little, 1961).
func (s *Share) Done(now time.Time) {
	s.inFlight = max(0, s.inFlight-1)
	s.took = now.Sub(s.started)
	s.adapt(s.took)
	if s.pace > 0 {
		s.next = s.started.Add(time.Duration(s.pace * float64(now.Sub(s.started))))
	}
}

// adapt lowers the rate when a load took much longer than the shortest one, as
// when the weight store has become slower than its limits say, and raises it
// step by step otherwise (additive increase, multiplicative decrease; D.-M. Chiu
// and R. Jain, 1989).
func (s *Share) adapt(took time.Duration) {
	if s.shortest == 0 || took < s.shortest {
		s.shortest = took
	}
	if took > slowLoad*s.shortest {
		s.speed = max(leastSpeed, s.speed*slowDown)
		return
	}
	s.speed = min(1, s.speed+speedUp)
}

// Asked returns the needs that found no right in the last round of tries, one
// for each team. They stand until rights come. The caller must not change them.
func (s *Share) Asked() []dispatch.Need { return s.asked }

// Donate takes all rights out of the share, for a granter, and returns them.
func (s *Share) Donate(now time.Time) float64 {
	s.accrue(now)
	s.told = now
	rights := s.rights
	s.rights = 0
	for team, n := range s.granted {
		rights += float64(n)
		delete(s.granted, team)
	}
	return rights
}

// Receive adds one right that a granter gave for a team's need.
func (s *Share) Receive(now time.Time, team string) {
	s.accrue(now)
	s.granted[team]++
	for i, n := range s.asked {
		if n.Team == team {
			s.asked = append(s.asked[:i], s.asked[i+1:]...)
			return
		}
	}
}

// accrue adds the rights of the time since the last call. Beyond one, only those
// are saved up that come while the target waits for its turn.
func (s *Share) accrue(now time.Time) {
	passed := now.Sub(s.accrued)
	if passed <= 0 {
		return
	}
	s.accrued = now
	most := 1.0
	if s.turns != nil {
		most += turnLength.Seconds() * s.rate
	}
	if s.rights < most {
		s.rights = min(most, s.rights+passed.Seconds()*s.rate*s.speed)
	}
}
