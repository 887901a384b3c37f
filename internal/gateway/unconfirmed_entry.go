package gateway

import (
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/target"
)

// confirmTime is the time after which an entry that a restored store lists is known to be
// that of a live target: twice the time after which the platform removes the entry of a
// silent target, three of its heartbeats of 1.2 s.
const confirmTime = 8 * time.Second

// unconfirmedEntry is the entry of an incarnation that was gone before the store returned
// to an earlier state. A target that is alive after all, because it had only lost its
// connection to the store, writes the entry again or keeps it from being removed.
type unconfirmedEntry struct {
	replica target.Replica
	until   time.Time // when it is confirmed unless it is removed
}

// holdUnconfirmed reports whether a listed entry is not to be applied yet: it names an
// incarnation that was gone, and the store has returned to an earlier state. The caller
// holds mu.
func (f *Fleet) holdUnconfirmed(now time.Time, r target.Replica, restored bool) bool {
	u, held := f.unconfirmed[r.ID]
	if held && u.replica.Incarnation() == r.Incarnation() {
		return true
	}
	n := f.notices[r.Incarnation()]
	if !restored || n == nil || n.goneAt.IsZero() {
		return false
	}
	f.unconfirmed[r.ID] = unconfirmedEntry{replica: r, until: now.Add(confirmTime)}
	f.log.Event(event.EntryUnconfirmed).Str("target", r.ID).Str("service", r.Service).Dur("gone", now.Sub(n.goneAt)).Send()
	return true
}

// keepUnconfirmed drops the unconfirmed entries that are not listed. The caller holds mu.
func (f *Fleet) keepUnconfirmed(all []objects.Object) {
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		listed[o.Name] = true
	}
	for id := range f.unconfirmed {
		if !listed[id] {
			delete(f.unconfirmed, id)
		}
	}
}

// addConfirmed adds the targets whose entries have stayed for confirmTime. The caller
// holds mu.
func (f *Fleet) addConfirmed(now time.Time) {
	for id, u := range f.unconfirmed {
		if !now.Before(u.until) {
			delete(f.unconfirmed, id)
			f.upsert(now, u.replica)
		}
	}
}
