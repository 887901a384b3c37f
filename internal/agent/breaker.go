package agent

import (
	"sync"
	"time"
)

// probeInterval is the time from a failed claim to the next attempt to claim
// while the breaker is open.
const probeInterval = 2 * time.Second

// claimBreaker is a circuit breaker for claims. While the object API is
// unavailable, it keeps attempts that wait for their claims from occupying the
// target's slots: after a failed claim, only one attempt at a time may probe the
// object API, and only after probeInterval.
type claimBreaker struct {
	mu        sync.Mutex
	open      bool      // the last claim failed
	nextProbe time.Time // earliest time of the next probe, while open
	probing   bool      // a probe is in progress
}

// allow reports whether an attempt may claim now. If so, the caller must call
// record when the claim ends.
func (b *claimBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open && (b.probing || now.Before(b.nextProbe)) {
		return false
	}
	b.probing = b.open
	return true
}

// record records the end of a claim: it closes the breaker if ok is set and
// opens it otherwise.
func (b *claimBreaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = !ok
	b.nextProbe = now.Add(probeInterval)
	b.probing = false
}
