package agent

import (
	"sync"
	"time"
)

// probePause is the time from a failed claim to the next try while the object
// API is out.
const probePause = 2 * time.Second

// gate keeps waiting claims from holding the target's slots while the object
// API is out: after a failed claim, one attempt at a time tries again, with a
// pause between them.
type gate struct {
	mu      sync.Mutex
	out     bool      // the last claim failed
	next    time.Time // of the next try, while out
	probing bool      // an attempt tries whether the object API is back
}

// enter reports whether an attempt may claim now; leave must follow.
func (g *gate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.out && (g.probing || now.Before(g.next)) {
		return false
	}
	g.probing = g.out
	return true
}

// leave records how a claim ended.
func (g *gate) leave(now time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.out = !ok
	g.next = now.Add(probePause)
	g.probing = false
}
