package follow

import "github.com/borageusher/borageusher/internal/objects"

// Position is a state of the store.
type Position struct {
	// History identifies the sequence of changes to which Version belongs, zero if the
	// store does not state it. It changes when the store returns to an earlier state, from
	// which it gives out versions again.
	History uint64
	Version objects.Version // newest change
	// Incomplete is set if the response may lack a change: an object in it could not be
	// read, or its version is below the position from which the store was asked.
	Incomplete bool
}

// Follows reports whether p may be a later state than q in the same history. A history
// that is not stated counts as the same.
func (p Position) Follows(q Position) bool {
	return p.History == q.History || p.History == 0 || q.History == 0
}
