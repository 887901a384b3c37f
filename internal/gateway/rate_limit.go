package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
)

// rateLimit is the rate of requests that one incarnation of a target takes from all
// entryds together.
type rateLimit struct {
	limited   bool
	perSecond float64
	since     time.Time // beginning of the limit
	learnedAt time.Time // when the target or a targetd last said whether there is a limit
}

// limitOf returns the limit of an incarnation. The caller holds mu.
func (f *Fleet) limitOf(now time.Time, incarnation string) *rateLimit {
	l := f.limits[incarnation]
	if l == nil {
		l = &rateLimit{learnedAt: now}
		f.limits[incarnation] = l
	}
	return l
}

// observeRateLimit records what the response to a request that was sent at sentAt says
// of the target's limit. A limit ends with a response to a request that was sent after
// the target last stated the limit, because responses may overtake each other.
func (f *Fleet) observeRateLimit(now time.Time, t *targetState, sentAt time.Time, m RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := t.limit
	switch {
	case m.Limited && l.limited && l.perSecond == m.PerSecond:
		l.learnedAt = now
	case m.Limited:
		f.setLimit(now, t.incarnation, m.PerSecond, "response")
	case m.None && l.limited && sentAt.After(l.learnedAt):
		f.endLimit(now, t.incarnation, "response")
	}
}

// setLimit records the limit of an incarnation, according to source. The caller holds
// mu.
func (f *Fleet) setLimit(now time.Time, incarnation string, perSecond float64, source string) {
	l := f.limitOf(now, incarnation)
	if !l.limited {
		l.since = now
	}
	l.limited, l.perSecond, l.learnedAt = true, perSecond, now
	f.log.Event(event.TargetLimited).Str("target", incarnation).Float64("rate", perSecond).Str("source", source).Send()
}

// endLimit records that an incarnation has no limit any more, according to source. The
// caller holds mu.
func (f *Fleet) endLimit(now time.Time, incarnation, source string) {
	l := f.limitOf(now, incarnation)
	l.limited, l.learnedAt = false, now
	f.log.Event(event.TargetUnlimited).Str("target", incarnation).Str("source", source).Dur("for", now.Sub(l.since)).Send()
}

// expireLimits drops the limits of former targets. The caller holds mu.
func (f *Fleet) expireLimits(now time.Time) {
	listed := make(map[string]bool, len(f.targets))
	for _, t := range f.targets {
		listed[t.incarnation] = true
	}
	for i, l := range f.limits {
		if !listed[i] && now.Sub(l.learnedAt) > noticeRetention {
			delete(f.limits, i)
		}
	}
}
