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

// targetNotice is what one incarnation of a target said about further requests. It
// outlives the target's entry in the store, which lags behind and may lapse and
// return.
type targetNotice struct {
	leaving bool      // the target accepts no more requests
	at      time.Time // when that was learned
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

// observeNotice records what a target said about further requests in the header of a
// response.
func (f *Fleet) observeNotice(now time.Time, t *targetState, m ResponseMeta) {
	if !m.Leaving {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLeaving(now, t, "response")
}

// recordLeaving records that a target leaves, according to source. The caller holds
// mu.
func (f *Fleet) recordLeaving(now time.Time, t *targetState, source string) {
	n := f.noticeOf(t.replica.Incarnation())
	if n.leaving {
		return
	}
	n.leaving, n.at = true, now
	f.log.Event(event.TargetDeparting).
		Str("target", t.replica.ID).
		Str("service", t.replica.Service).
		Str("source", source).
		Int("in_flight", t.inFlight).
		Send()
	f.turnAway(t)
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
		if !listed && (!n.leaving || now.Sub(n.at) > noticeRetention) {
			delete(f.notices, i)
		}
	}
}
