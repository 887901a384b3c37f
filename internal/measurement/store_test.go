package measurement

import (
	"time"

	"github.com/borageusher/borageusher/pkg/loadbudget"
)

// store is the weight store: loads start at its rate and take longer while too
// many are in flight. It counts the orders beyond what it allows.
type store struct {
	limits   loadbudget.Limits
	inFlight int
	peak     int
	orders   int
	beyond   int // orders that came faster than rate and burst allow
	credit   float64
	credited time.Time
}

// order returns how long a load that is ordered now takes.
func (s *store) order(now time.Time) time.Duration {
	s.orders++
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.count(now)
	start := now
	if s.credit < 0 {
		start = now.Add(time.Duration(-s.credit / s.limits.Rate * float64(time.Second)))
	}
	took := loadTime
	if s.inFlight > s.limits.InFlight {
		took = loadTime * time.Duration(s.inFlight) / time.Duration(s.limits.InFlight)
	}
	return start.Sub(now) + took
}

// count keeps the credit of a token bucket; an order without credit is a
// violation of the load budget.
func (s *store) count(now time.Time) {
	s.credit = min(float64(s.limits.Burst), s.credit+now.Sub(s.credited).Seconds()*s.limits.Rate)
	s.credited = now
	if s.credit < 1-1e-6 {
		s.beyond++
	}
	s.credit--
}
