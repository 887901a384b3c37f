package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/target"
)

// noticeRetention is how long a notice is kept after its target is no longer listed.
// An entry that lapsed returns within seconds, and a target that drains exits within
// minutes.
const noticeRetention = time.Hour

// goneRetention is how long a former target is remembered as gone. The copy from which a
// store comes back is some seconds old.
const goneRetention = 10 * time.Minute

// targetNotice is what is known of further requests to one incarnation of a target. It
// outlives the target's entry in the store, which lags behind and may lapse and
// return.
type targetNotice struct {
	leaving      bool      // the target accepts no more requests
	at           time.Time // when that was learned
	servesUntil  time.Time // until when it still continues streams and takes further attempts, zero if that is not known
	goneAt       time.Time // when its entry had gone, zero while it is listed
	backoffUntil time.Time // the target wants no requests of this gateway before
	refuted      bool      // another target answered last at its address
}

// noticeOf returns the notice of an incarnation. The caller holds mu.
func (f *Fleet) noticeOf(i target.Incarnation) *targetNotice {
	n := f.notices[i]
	if n == nil {
		n = &targetNotice{}
		f.notices[i] = n
	}
	return n
}

// observeNotice records what a target said about further requests in the header of the
// response to a request that was sent at sentAt.
func (f *Fleet) observeNotice(now, sentAt time.Time, t *targetState, m ResponseMeta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case m.Leaving:
		f.recordLeaving(now, t, "response")
	case m.Instance == t.replica.ID: // a target that leaves says so in all its responses
		t.recordServing(sentAt)
	}
	if m.Backoff > 0 {
		f.recordBackoff(now, t, m.Backoff)
	}
}

// recordLeaving records that a target leaves, according to source. The caller holds
// mu.
func (f *Fleet) recordLeaving(now time.Time, t *targetState, source string) {
	n := f.noticeOf(t.replica.Incarnation())
	if n.leaving {
		return
	}
	n.leaving, n.at = true, now
	n.servesUntil = f.servesUntil(now, t)
	f.membership.Change()
	f.indexOf(t.replica.Service).forget()
	f.log.Event(event.TargetDeparting).
		Str("target", t.replica.ID).
		Str("service", t.replica.Service).
		Str("source", source).
		Dur("serves_for", max(0, n.servesUntil.Sub(now))).
		Int("in_flight", t.inFlight).
		Send()
	f.turnAway(t)
}

// recordBackoff records that a target wants no requests for d. A shorter time than
// that of an earlier response does not end that one sooner. The caller holds mu.
func (f *Fleet) recordBackoff(now time.Time, t *targetState, d time.Duration) {
	n := f.noticeOf(t.replica.Incarnation())
	begins := !now.Before(n.backoffUntil)
	if until := now.Add(d); until.After(n.backoffUntil) {
		n.backoffUntil = until
	}
	if !begins {
		return
	}
	f.log.Event(event.TargetBackoff).
		Str("target", t.replica.ID).
		Str("service", t.replica.Service).
		Dur("for", d).
		Int("in_flight", t.inFlight).
		Send()
	f.turnAway(t)
}

// backoffEnd returns the earliest end of the backoffs of the targets that could be
// sent the call otherwise, and false if there is none.
func (f *Fleet) backoffEnd(now time.Time, c *call) (end time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		until := t.notice.backoffUntil
		if !f.suits(now, c, t) || !now.Before(until) || t.obstacleOf(until, c.mayUseLeaving()) != "" {
			continue
		}
		if c.model != "" && !t.hasVersion(c.adapter, f.version(c.adapter)) && (c.adapter.Name == "" || !t.canLoad(now, c.adapter)) {
			continue
		}
		if !ok || until.Before(end) {
			end, ok = until, true
		}
	}
	return end, ok
}

// turnAway has the calls that wait for a target choose again. The caller holds mu.
func (f *Fleet) turnAway(t *targetState) {
	close(t.turnedAway)
	t.turnedAway = make(chan struct{})
	f.notifyAll()
}

// expireNotices drops the notices that are no longer needed. The caller holds mu.
func (f *Fleet) expireNotices(now time.Time) {
	for i, n := range f.notices {
		t := f.targets[i.ID]
		listed := t != nil && t.replica.Incarnation() == i
		leaving := n.leaving && now.Sub(n.at) <= noticeRetention
		gone := !n.goneAt.IsZero() && now.Sub(n.goneAt) <= goneRetention
		if !listed && !leaving && !gone && !now.Before(n.backoffUntil) {
			delete(f.notices, i)
		}
	}
}
