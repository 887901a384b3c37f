package holder

import "time"

// Membership counts the changes of the processes that can hold state.
type Membership struct{ changes uint64 }

// Change records that a process was connected or lost, or leaves.
func (m *Membership) Change() { m.changes++ }

// View is the state of a Membership that a user has acted on. The zero value is that of a
// user that has not acted yet.
type View struct {
	changes uint64
	acted   bool
}

// Outdated reports whether the membership changed since the last call, so that the user has
// to choose the holders again.
func (v *View) Outdated(m *Membership) bool {
	outdated := !v.acted || v.changes != m.changes
	v.changes, v.acted = m.changes, true
	return outdated
}

// Term is the time for which a user has regarded a process as the holder. The zero value
// is that of a user without one.
type Term struct {
	session any // connection to the holder
	since   time.Time
}

// Choose records the choice of a holder that is reached over a connection, and reports
// whether it differs from the last one. What was asked over another connection may be lost.
func (t *Term) Choose(now time.Time, session any) (changed bool) {
	if t.session == session {
		return false
	}
	t.session, t.since = session, now
	return true
}

// Age returns the length of the term.
func (t *Term) Age(now time.Time) time.Duration { return now.Sub(t.since) }

// maxServiceGap is the time without requests after which another process may have been the
// holder.
const maxServiceGap = time.Second

// Replaced reports whether another process may have been the holder since the last request
// was served, according to a user whose term has the given age: the term began later.
func Replaced(now, servedAt time.Time, age time.Duration) bool {
	return !servedAt.IsZero() && now.Sub(servedAt) > max(maxServiceGap, age)
}
