package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// Times of attempts at a target whose VM may stand still.
const (
	// stillAfter is the time without any sign of a VM after which it counts as
	// standing still: the time after which a peer connection counts as silent, and
	// one heartbeat more. Callers wait for at least twice the first of the two.
	stillAfter = peer.SilenceTimeout + peer.HeartbeatInterval
	// leavingWithin is the time before the end of a caller's patience in which its
	// attempt is ended sooner, when the VM gave no sign for a heartbeat's interval
	// and the way between regions: little is lost if the VM lives.
	leavingWithin = 500 * time.Millisecond
	signOverdue   = peer.HeartbeatInterval + 200*time.Millisecond
	// watchGap is the longest pause between two looks at the attempts: a longer one
	// means that this process itself stood still.
	watchGap = time.Second
)

// flight is an attempt at a target, from its sending to its end.
type flight struct {
	heard    atomic.Int64 // last event of the answer, or the sending: nanoseconds since the fleet's epoch
	begun    time.Time    // when the caller sent its request
	patience time.Duration
	cancel   context.CancelFunc
	answered bool // an event came; guarded by the fleet's lock
}

// Bounds of the patience of callers with streams, from the platform's page.
const (
	leastPatience   = 2 * time.Second
	patienceInTimes = 4 // objectives
)

// callerPatience returns how long the caller of a stream waits for its first
// event, or for the next one.
func callerPatience(objective time.Duration) time.Duration {
	return max(leastPatience, patienceInTimes*objective)
}

// lost reports whether a flight to a VM that gave no sign for some time is to be
// ended: it got nothing for long, or its caller is about to leave.
func (a *flight) lost(now, epoch time.Time, silent time.Duration) bool {
	heard := epoch.Add(time.Duration(a.heard.Load()))
	if silent > stillAfter && now.Sub(heard) > stillAfter {
		return true
	}
	waits := a.begun
	if a.answered {
		waits = heard
	}
	return silent > signOverdue && now.Sub(heard) > signOverdue && now.Add(leavingWithin).After(waits.Add(a.patience))
}

// heardFrom notes that the target sent something.
func (f *Fleet) heardFrom(now time.Time, a *flight) { a.heard.Store(int64(now.Sub(f.epoch))) }

// answered notes the first event of an attempt's answer, with the requests that
// were ahead when it was sent.
func (f *Fleet) answered(n *node, a *flight, ahead int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.answered = true
	n.unanswered--
	f.paceOf(n.replica.Service).queue.Observe(ahead, took)
}

// leaveStill ends the attempts at targets whose VMs stand still: their targetds
// are silent, nothing refuses a connection there, and the attempts themselves
// got nothing. The callers would leave without an answer, and what they left
// would run when the VM goes on.
func (f *Fleet) leaveStill(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := now.Sub(f.watchedAt) > watchGap
	f.watchedAt = now
	for _, n := range f.nodes {
		if paused && !n.aliveAt.IsZero() {
			n.aliveAt = now // nothing could be heard meanwhile
		}
		if n.aliveAt.IsZero() {
			continue // nothing is known of its VM
		}
		ended := 0
		for a := range n.flights {
			if a.lost(now, f.epoch, now.Sub(n.aliveAt)) {
				a.cancel()
				ended++
			}
		}
		if ended > 0 {
			f.log.At(event.TargetStill).Str("target", n.replica.ID).Dur("silent", now.Sub(n.aliveAt)).Int("attempts", ended).Send()
		}
	}
}

// alive notes a sign of a target's VM.
func (f *Fleet) alive(now time.Time, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.aliveAt = now
}
