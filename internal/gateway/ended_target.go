package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/target"
)

// removedTarget is a target whose entry was removed although it had not announced that it
// leaves.
type removedTarget struct {
	replica target.Replica
	at      time.Time
}

// endedWithoutNotice reports whether a target that ends now has crashed, as far as it is
// known: it was live and had not announced that it leaves.
func (t *targetState) endedWithoutNotice() bool {
	return t.replica.State == target.Live && !t.notice.leaving
}

// recordRemoved records that the entry of a target is missing. Either the target has
// crashed, or it leaves without a word, or it has lost its connection to the store. The
// caller holds mu.
func (f *Fleet) recordRemoved(now time.Time, t *targetState) {
	if !t.endedWithoutNotice() {
		return
	}
	f.removed[t.replica.ID] = removedTarget{t.replica, now}
	f.reportEnded(now, t.replica, sourceEntry, false)
}

// recordStart records the ends that the entry r shows: of the targets of which r is a later
// start, at their address or with their id. The caller holds mu.
func (f *Fleet) recordStart(now time.Time, r target.Replica) {
	for id, old := range f.removed {
		if supersedes(r, old.replica) || restarts(r, old.replica) {
			delete(f.removed, id)
			f.reportEnded(now, old.replica, sourceEntry, true)
		}
	}
	for _, t := range f.targets {
		if t.endedWithoutNotice() && (supersedes(r, t.replica) && f.maySupersede(r) || restarts(r, t.replica)) {
			f.reportEnded(now, t.replica, sourceEntry, true)
		}
	}
}

// restarts reports whether the entry a is that of a later start with the id of b.
func restarts(a, b target.Replica) bool { return a.ID == b.ID && a.Started.After(b.Started) }

// reportEnded passes the end of a target on, in the background, as its report to the other
// entryds needs mu. The caller holds mu.
func (f *Fleet) reportEnded(now time.Time, r target.Replica, source string, certain bool) {
	if f.onEnded != nil {
		go f.onEnded(now, endedTarget{r.Incarnation().String(), r.Addr, source, certain})
	}
}

// expireRemoved drops the removed targets whose end shows no crash any more. The caller
// holds mu.
func (f *Fleet) expireRemoved(now time.Time) {
	for id, old := range f.removed {
		if now.Sub(old.at) > breakRetention {
			delete(f.removed, id)
		}
	}
}
