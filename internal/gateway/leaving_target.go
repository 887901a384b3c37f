package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// drainMargin is the part of the drain time of a target in which it is not sent requests any
// more: the age of the evidence that it had not announced yet that it leaves, and the time
// of a request with a new connection, each between regions and on VMs with little processor
// time.
const drainMargin = 500 * time.Millisecond

// setDrainTime sets the time for which a target serves after it has announced in the store
// that it leaves.
func (f *Fleet) setDrainTime(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainTime = d
}

// servesUntil returns the time until which a target serves that is known to leave since now,
// zero if it is not known. The target may have announced it at any time since it was last
// known not to. The caller holds mu.
func (f *Fleet) servesUntil(now time.Time, t *targetState) time.Time {
	if t.added.Before(f.entriesAsOf) {
		t.recordServing(f.entriesAsOf)
	}
	if t.servingAt.IsZero() {
		return time.Time{}
	}
	until := t.servingAt.Add(max(0, f.drainTime-drainMargin))
	if t.replica.State == target.Leaving && t.replica.Remaining > 0 { // it is removed at short notice
		if removed := now.Add(t.replica.Remaining - drainMargin); removed.Before(until) {
			return removed
		}
	}
	return until
}

// servesWhileLeaving reports whether the target leaves and still serves.
func (t *targetState) servesWhileLeaving(now time.Time) bool {
	return t.notice.leaving && t.replica.State != target.Gone && now.Before(t.notice.servesUntil)
}

// recordServing records that the target had not announced at a time that it leaves. The
// caller holds the fleet's mu.
func (t *targetState) recordServing(at time.Time) {
	if at.After(t.servingAt) {
		t.servingAt = at
	}
}

// recordReport records that a report of the engine has arrived. It is evidence that the
// engine had not announced that it leaves unless it says otherwise. The caller holds the
// fleet's mu.
func (t *targetState) recordReport(now time.Time) {
	if t.state.Reachable && !t.state.Departing && t.state.Started == t.replica.Incarnation().Started {
		t.recordServing(now)
	}
}
