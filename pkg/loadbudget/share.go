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
	next     time.Time // earliest next start after a slow load
	asked    *dispatch.Need
}

// NewShare returns one target's part of limits, split evenly over so many
// targets. It panics unless the rate and the number of targets are positive.
func NewShare(limits Limits, targets int, now time.Time) *Share {
	if limits.Rate <= 0 || targets <= 0 {
		panic("loadbudget: rate and targets must be positive")
	}
	part := float64(limits.InFlight) / float64(targets)
	s := &Share{rate: limits.Rate / float64(targets), most: max(1, int(part)), accrued: now}
	if part > 0 && part < 1 {
		s.pace = 1 / part
	}
	return s
}

// Take implements dispatch.Budget. When there is no right, it notes the need
// for Asked.
func (s *Share) Take(now time.Time, need dispatch.Need) bool {
	s.accrue(now)
	if s.inFlight >= s.most || now.Before(s.next) {
		return false
	}
	if s.rights < 1 {
		s.asked = &need
		return false
	}
	s.rights--
	s.inFlight++
	s.started = now
	s.asked = nil
	return true
}

// NextTake implements dispatch.Budget: it returns when the target's own rate
// brings the next right.
func (s *Share) NextTake(now time.Time) time.Time {
	s.accrue(now)
	if s.inFlight >= s.most {
		return time.Time{}
	}
	missing := max(0, 1-s.rights)
	next := now.Add(time.Duration(missing/s.rate*float64(time.Second)) + time.Millisecond)
	if next.Before(s.next) {
		return s.next
	}
	return next
}

// Done implements dispatch.Budget. If the target's part is less than one load
// in flight, the next start waits in proportion to the load's duration, so that
// the mean number in flight stays within the part (J. D. C. Little, 1961).
func (s *Share) Done(now time.Time) {
	s.inFlight = max(0, s.inFlight-1)
	if s.pace > 0 {
		s.next = s.started.Add(time.Duration(s.pace * float64(now.Sub(s.started))))
	}
}

// Asked returns the need that found no right, and false if there is none. It
// stands until the right comes.
func (s *Share) Asked() (dispatch.Need, bool) {
	if s.asked == nil {
		return dispatch.Need{}, false
	}
	return *s.asked, true
}

// Donate takes all rights out of the share, for a granter, and returns them.
func (s *Share) Donate(now time.Time) float64 {
	s.accrue(now)
	rights := s.rights
	s.rights = 0
	return rights
}

// Receive adds one right that a granter gave.
func (s *Share) Receive(now time.Time) {
	s.accrue(now)
	s.rights++
	s.asked = nil
}

// accrue adds the rights of the time since the last call. Beyond one, rights are
// not saved up.
func (s *Share) accrue(now time.Time) {
	passed := now.Sub(s.accrued)
	if passed <= 0 {
		return
	}
	s.accrued = now
	if s.rights < 1 {
		s.rights = min(1, s.rights+passed.Seconds()*s.rate)
	}
}
