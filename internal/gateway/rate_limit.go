package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/ratelimit"
)

// maxEnforcedRate is the highest limit, in requests a second, for which permits are
// needed: more than all entryds of the users' largest deployment send together.
const maxEnforcedRate = 20000

// rateLimit is the rate of requests that one incarnation of a target takes from all
// entryds together.
type rateLimit struct {
	limited   bool
	perSecond float64
	since     time.Time // beginning of the limit
	learnedAt time.Time // when the target last said whether there is a limit, zero if it never did
	nextAt    time.Time // when a further request would get a permit, according to the last answer
	requested int       // permits that were requested and have no answer yet
	askedAt   time.Time // when a permit was last requested, zero if none was
}

// probeInterval is the time without requests after which a limited target is chosen like
// any other, because only its responses tell that the limit has ended.
const probeInterval = time.Second

// avoided reports whether targets without a limit are preferred to the target.
func (l *rateLimit) avoided(now time.Time) bool {
	return l.enforced() && now.Sub(l.askedAt) < probeInterval
}

// enforced reports whether requests to the target need permits.
func (l *rateLimit) enforced() bool { return l.limited && l.perSecond <= maxEnforcedRate }

// permitDelay returns the estimated time until a further request gets a permit.
func (l *rateLimit) permitDelay(now time.Time) time.Duration {
	if !l.enforced() {
		return 0
	}
	return max(0, l.nextAt.Sub(now)) + time.Duration(l.requested)*ratelimit.Interval(l.perSecond)
}

// limitOf returns the limit of an incarnation. The caller holds mu.
func (f *Fleet) limitOf(incarnation string) *rateLimit {
	l := f.limits[incarnation]
	if l == nil {
		l = &rateLimit{}
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
		f.stateLimit(now, t)
	case m.None && l.limited && sentAt.After(l.learnedAt):
		f.endLimit(now, t.incarnation, "response")
		f.stateLimit(now, t)
	}
}

// applyRateLimit applies what a targetd heard of a target's limit from another entryd.
func (f *Fleet) applyRateLimit(now time.Time, m peer.RateLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, at := f.limitOf(m.Target), now.Add(-m.Age)
	switch {
	case !at.After(l.learnedAt):
		return // the target has said something since
	case m.Limited && (!l.limited || l.perSecond != m.PerSecond):
		f.setLimit(at, m.Target, m.PerSecond, "targetd")
	case !m.Limited && l.limited:
		f.endLimit(at, m.Target, "targetd")
	}
	l.learnedAt = at
}

// setLimit records the limit of an incarnation, according to source. The caller holds
// mu.
func (f *Fleet) setLimit(now time.Time, incarnation string, perSecond float64, source string) {
	l := f.limitOf(incarnation)
	if !l.limited {
		l.since = now
	}
	l.limited, l.perSecond, l.learnedAt = true, perSecond, now
	f.log.Event(event.TargetLimited).Str("target", incarnation).Float64("rate", perSecond).Str("source", source).Send()
	f.notifyAll()
}

// endLimit records that an incarnation has no limit any more, according to source. The
// caller holds mu.
func (f *Fleet) endLimit(now time.Time, incarnation, source string) {
	l := f.limitOf(incarnation)
	l.limited, l.learnedAt = false, now
	f.log.Event(event.TargetUnlimited).Str("target", incarnation).Str("source", source).Dur("for", now.Sub(l.since)).Send()
	f.notifyAll()
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
