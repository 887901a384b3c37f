package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a Scheduler.
const (
	// burstTime is the time without requests that may be made up for by a burst. Requests
	// that arrive at random would otherwise wait at rates that they don't exceed.
	burstTime = 250 * time.Millisecond
	// maxInterval is the longest time between two permits, also for a target that takes no
	// requests: only the response to a request tells that its limit has ended.
	maxInterval = 2 * time.Second
)

// Request is a request that needs a permit.
type Request struct {
	ID       uint64 // unique in a Scheduler
	Urgency  int    // 0 is the most urgent
	Deadline time.Time
}

// Decision is the answer to a request.
type Decision struct {
	ID      uint64
	Granted bool
	Wait    time.Duration // until a further request of the same urgency would get a permit
}

// Scheduler issues the permits for one target. It is not safe for concurrent use.
type Scheduler struct {
	interval time.Duration // between two permits
	base     time.Time     // when the last permit fell due, at most burstTime before it was issued
	waiting  []Request     // in the order in which they get permits
}

// New returns a Scheduler for a target that takes perSecond requests a second. The first
// permit falls due after the time for one request, because the target has got some
// before its limit was known.
func New(now time.Time, perSecond float64) *Scheduler {
	s := &Scheduler{base: now}
	s.SetRate(perSecond)
	return s
}

// SetRate replaces the rate. It applies to the time since the last permit.
func (s *Scheduler) SetRate(perSecond float64) {
	s.interval = Interval(perSecond)
}

// Interval returns the time between two permits at a rate of perSecond. It is positive,
// and at most maxInterval.
func Interval(perSecond float64) time.Duration {
	if !(perSecond > 1/maxInterval.Seconds()) { // also if it is not a number
		return maxInterval
	}
	return max(1, time.Duration(float64(time.Second)/perSecond))
}

// Add adds a request, which the next Decide may answer.
func (s *Scheduler) Add(r Request) {
	i, _ := slices.BinarySearchFunc(s.waiting, r, func(w, r Request) int {
		if c := cmp.Or(cmp.Compare(w.Urgency, r.Urgency), w.Deadline.Compare(r.Deadline)); c != 0 {
			return c
		}
		return -1 // behind those that came before
	})
	s.waiting = slices.Insert(s.waiting, i, r)
}

// Remove removes a request whose sender has given it up, and reports whether it waited.
func (s *Scheduler) Remove(id uint64) bool {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w Request) bool { return w.ID == id })
	return len(s.waiting) < before
}

// Decide issues the permits that are due and rejects the requests that can't get one by
// their deadlines.
func (s *Scheduler) Decide(now time.Time) []Decision {
	var out []Decision
	granted := 0
	for granted < len(s.waiting) && !now.Before(s.dueAt()) {
		s.base = s.dueAt()
		if earliest := now.Add(-burstTime); s.base.Before(earliest) {
			s.base = earliest
		}
		out = append(out, Decision{ID: s.waiting[granted].ID, Granted: true})
		granted++
	}
	urgencies := make([]int, 0, len(s.waiting))
	for _, w := range s.waiting[:granted] {
		urgencies = append(urgencies, w.Urgency)
	}
	var kept []Request
	for _, w := range s.waiting[granted:] {
		if now.Add(s.waitBehind(now, len(kept))).After(w.Deadline) {
			out = append(out, Decision{ID: w.ID})
			urgencies = append(urgencies, w.Urgency)
			continue
		}
		kept = append(kept, w)
	}
	s.waiting = kept
	for i := range out {
		out[i].Wait = s.wait(now, urgencies[i])
	}
	return out
}

// DecideAll grants all requests. The target has no limit any more.
func (s *Scheduler) DecideAll() []Decision {
	var out []Decision
	for _, w := range s.waiting {
		out = append(out, Decision{ID: w.ID, Granted: true})
	}
	s.waiting = nil
	return out
}

// Next returns the time at which Decide will issue the next permit, and false if no
// request waits.
func (s *Scheduler) Next() (time.Time, bool) { return s.dueAt(), len(s.waiting) > 0 }

// dueAt returns the time at which the next permit falls due.
func (s *Scheduler) dueAt() time.Time { return s.base.Add(s.interval) }

// wait returns the time until a further request of an urgency would get a permit.
func (s *Scheduler) wait(now time.Time, urgency int) time.Duration {
	ahead := 0
	for _, w := range s.waiting {
		if w.Urgency <= urgency {
			ahead++
		}
	}
	return s.waitBehind(now, ahead)
}

// waitBehind returns the time until a request behind n others gets a permit.
func (s *Scheduler) waitBehind(now time.Time, n int) time.Duration {
	return max(0, s.dueAt().Sub(now)) + time.Duration(n)*s.interval
}
