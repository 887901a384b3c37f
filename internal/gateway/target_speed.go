package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/speed"
)

// targetSpeed is by which factors work takes longer at a target than at the mean target
// of its service. A target that is not observed counts as a mean one again.
type targetSpeed struct {
	reported speed.Estimate // stated by the target
	read     speed.Estimate // learned from the times to first events
	work     speed.Estimate // learned from plain responses and the gaps between events
	slow     bool           // logged as slow
}

func newTargetSpeed() targetSpeed {
	return targetSpeed{reported: speed.New(speed.Reported), read: speed.New(speed.Learned), work: speed.New(speed.Learned)}
}

// factors returns the factors for reading prompts and for all other work. The learned ones
// are those that the reported one does not explain.
func (s *targetSpeed) factors(now time.Time) (read, work float64) {
	reported := s.reported.Factor(now)
	return limitFactor(reported * s.read.Factor(now)), limitFactor(reported * s.work.Factor(now))
}

// limitFactor limits the product of two factors like a single one.
func limitFactor(f float64) float64 { return min(speed.MaxFactor, max(1.0/speed.MaxFactor, f)) }

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// atNormalSpeed returns the time that work would have taken at a target that reports
// normal speed.
func (s *targetSpeed) atNormalSpeed(now time.Time, took time.Duration) time.Duration {
	return scale(took, 1/s.reported.Factor(now))
}

// observeReading records the time to the first event of a stream for which the target
// read as many tokens. The caller holds mu.
func (f *Fleet) observeReading(now time.Time, t *targetState, tokens int, took time.Duration) {
	trend := &f.latencyOf(t.replica.Service).readTime
	took = t.speed.atNormalSpeed(now, took)
	if trend.Slope() > 0 {
		t.speed.read.ObserveTimes(now, took, trend.At(tokens))
	}
	trend.Observe(tokens, took)
}

// observePlain records the response time of a request without a model. load is the
// number of requests at the target when it was sent; with all slots in use the time is
// mostly that of a wait, which says little of the target's speed.
func (f *Fleet) observePlain(now time.Time, t *targetState, load int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.replica.Slots > 0 && load >= t.replica.Slots {
		return
	}
	f.observeWork(now, t, &f.latencyOf(t.replica.Service).plainTime, took)
}

// minTimedEvents is the number of events after the first of which the gaps are a
// measure of a target's speed. The events of shorter streams often arrive together.
const minTimedEvents = 8

// observeEvents records the events of a stream that has ended: their number and the
// time from the first to the last.
func (f *Fleet) observeEvents(now time.Time, t *targetState, events int, took time.Duration) {
	if events <= minTimedEvents {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeWork(now, t, &f.latencyOf(t.replica.Service).eventGap, took/time.Duration(events-1))
}

// observeWork records the time of a piece of work of which mean holds the times at all
// targets. The caller holds mu.
func (f *Fleet) observeWork(now time.Time, t *targetState, mean durationMean, took time.Duration) {
	took = t.speed.atNormalSpeed(now, took)
	t.speed.work.ObserveTimes(now, took, mean.Value())
	mean.Observe(took)
}

// durationMean is a mean of observed times.
type durationMean interface {
	Observe(d time.Duration)
	Value() time.Duration
}

// ownTime returns the time that a call itself takes at a mean target: until a stream's
// first event, or until the end of a plain response. It is zero while it is not known.
// The caller holds mu.
func (f *Fleet) ownTime(c *call) time.Duration {
	latency := f.latencyOf(c.service)
	if c.model == "" {
		return latency.plainTime.Value()
	}
	if latency.readTime.Slope() == 0 {
		return 0
	}
	return latency.readTime.At(c.promptTokens())
}

// tokenTimeAt returns the time in which a target reads a token of a prompt, zero if it is
// not known yet. The caller holds mu.
func (f *Fleet) tokenTimeAt(now time.Time, t *targetState) time.Duration {
	read, _ := t.speed.factors(now)
	return scale(f.tokenTime(t.replica.Service), read)
}

// Factors at which a target is logged as slow and as not slow any more.
const (
	slowFactor    = 2
	notSlowFactor = 1.5
)

// logSpeeds logs the targets that have become slow or are not slow any more. The caller
// holds mu.
func (f *Fleet) logSpeeds(now time.Time) {
	f.slowTargets = 0
	for _, t := range f.targets {
		s := &t.speed
		read, work := s.factors(now)
		factor := max(read, work)
		switch {
		case !s.slow && factor >= slowFactor:
			s.slow = true
			f.log.Event(event.TargetSlow).
				Str("target", t.replica.ID).
				Str("service", t.replica.Service).
				Float64("reported", s.reported.Factor(now)).
				Float64("read", s.read.Factor(now)).
				Float64("work", s.work.Factor(now)).
				Send()
		case s.slow && factor < notSlowFactor:
			s.slow = false
			f.log.Event(event.TargetNotSlow).Str("target", t.replica.ID).Str("service", t.replica.Service).Send()
		}
		if s.slow {
			f.slowTargets++
		}
	}
}

// choiceStats returns the number of targets that are slow, and of choices since the last
// call that looked at all targets because no target of the sample could be chosen.
func (f *Fleet) choiceStats() (slowTargets int, fullChoices int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fullChoices, f.fullChoices = f.fullChoices, 0
	return f.slowTargets, fullChoices
}
