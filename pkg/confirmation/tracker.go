package confirmation

import "time"

// Shown is what a response shows of the configuration.
type Shown uint8

// What a response may show.
const (
	Unchanged Shown = iota // a watch has no change of it
	InForce                // the one that is in force once the response is applied
	Other                  // another one than that in force: older, unreadable or none
)

// Response is a valid response of the store that has been applied.
type Response struct {
	SentAt  time.Duration // when its request was sent
	List    bool          // it holds all objects, not the changes after a position
	History uint64        // sequence of changes that the store states, zero if it states none
	Shown   Shown
}

// Confirmation is the time at which a configuration is known to have been the newest. The
// zero value is that of a process which never had a confirmation.
type Confirmation struct {
	sentAt time.Duration
	valid  bool
}

// Age returns the time since the request was sent whose response confirmed the
// configuration, and false if there was none.
func (c Confirmation) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-c.sentAt), c.valid // now may have been read before the request was sent
}

// Within reports whether the configuration was confirmed and the age is below bound.
func (c Confirmation) Within(now, bound time.Duration) bool {
	age, ok := c.Age(now)
	return ok && age < bound
}

// Tracker follows the responses to one process. Its zero value is ready to use.
type Tracker struct {
	latest  Confirmation
	seen    bool          // whether there was any response
	newest  time.Duration // SentAt of the response that was sent last
	history uint64        // of the last list
	current bool          // the store's newest configuration is that in force, as of newest
}

// Observe records a response. One whose request was sent before that of an earlier
// response arrives out of order and is ignored. A watch tells only what changed after the
// position from which it was made, so it confirms nothing if it is of another history than
// the last list, or if the store's configuration was not the one in force before.
func (t *Tracker) Observe(r Response) {
	if t.seen && r.SentAt <= t.newest {
		return
	}
	switch {
	case r.List:
		t.history, t.current = r.History, r.Shown == InForce
	case !t.seen || r.History != t.history:
		t.current = false // until the next list
	case r.Shown != Unchanged:
		t.current = r.Shown == InForce
	}
	t.seen, t.newest = true, r.SentAt
	if t.current {
		t.latest = Confirmation{sentAt: r.SentAt, valid: true}
	}
}

// Latest returns the latest confirmation.
func (t *Tracker) Latest() Confirmation { return t.latest }
