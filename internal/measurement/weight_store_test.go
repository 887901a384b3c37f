package measurement

import (
	"time"

	"github.com/borageusher/borageusher/pkg/loadbudget"
)

// weightStore models the store that the targets load adapters from. A token bucket
// delays the start of loads that exceed its rate, and loads take longer while
// more than its limit are in flight. It counts the loads that exceed the rate.
type weightStore struct {
	limits         loadbudget.Limits
	inFlight       int
	peakInFlight   int
	loads          int
	rateViolations int // loads beyond the rate and burst
	tokens         float64
	refilledAt     time.Time
}

// startLoad records the start of a load and returns its duration.
func (s *weightStore) startLoad(now time.Time) time.Duration {
	s.loads++
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	s.takeToken(now)
	start := now
	if s.tokens < 0 {
		start = now.Add(time.Duration(-s.tokens / s.limits.Rate * float64(time.Second)))
	}
	took := loadTime
	if s.inFlight > s.limits.InFlight {
		took = loadTime * time.Duration(s.inFlight) / time.Duration(s.limits.InFlight)
	}
	return start.Sub(now) + took
}

// takeToken refills the token bucket and takes a token. A load that finds less
// than one token violates the load budget.
func (s *weightStore) takeToken(now time.Time) {
	s.tokens = min(float64(s.limits.Burst), s.tokens+now.Sub(s.refilledAt).Seconds()*s.limits.Rate)
	s.refilledAt = now
	if s.tokens < 1-1e-6 {
		s.rateViolations++
	}
	s.tokens--
}
