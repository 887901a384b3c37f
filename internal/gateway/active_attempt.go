package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
)

// Timeouts of attempts at a target whose VM may be paused. A liveness signal of
// the VM is a message of its targetd or a refused connection.
const (
	// stallTimeout is the time without a liveness signal after which a VM counts
	// as stalled: the time after which a peer connection counts as silent, plus
	// one heartbeat interval. Callers wait for at least minCallerTimeout, which may
	// be shorter; their attempts are canceled by callerTimeoutMargin instead.
	stallTimeout = peer.SilenceTimeout + peer.HeartbeatInterval
	// callerTimeoutMargin is how long before the caller's timeout an attempt is
	// canceled once the VM's liveness signal is overdue. If the VM still runs, the
	// cancellation costs only a response that starts within this time.
	callerTimeoutMargin = 500 * time.Millisecond
	// heartbeatOverdue is the time after which a liveness signal is overdue: a
	// heartbeat interval plus the network latency between regions.
	heartbeatOverdue = peer.HeartbeatInterval + 200*time.Millisecond
	// maxScanGap is the longest time between two runs of cancelStalled. A longer
	// one means that this process itself was paused.
	maxScanGap = time.Second
)

// activeAttempt is an attempt at a target that has not ended.
type activeAttempt struct {
	lastActivity  atomic.Int64  // time of the last event or of sending, in nanoseconds since the fleet's epoch
	callStart     time.Time     // when the gateway received the caller's request
	callerTimeout time.Duration // limit of the caller for the first event, and for each next one
	cancel        context.CancelFunc
	hasEvent      bool // an event was received; guarded by the fleet's mu
	late          bool // its stream was reported as late; used by the goroutine that relays it
	offer         *offer
	promptTokens  int
	sent          sentPrompt
	events        int       // of its response; used by the goroutine that relays it
	firstEventAt  time.Time // like events

	eventBegan atomic.Int64 // time of the first byte of an event that is not complete, like lastActivity; zero for none
	unfinished atomic.Bool  // canceled because an event was not complete in time
}

// errEventTooSlow is the reason of an attempt that ended because an event was not
// complete in time.
var errEventTooSlow = errors.Newf("event unfinished %s after its first byte", maxEventTime)

// Bounds of the time for which callers of streams wait, according to the
// platform's documentation.
const (
	minCallerTimeout = 2 * time.Second
	// callerTimeoutObjectives is the timeout in objectives of the route.
	callerTimeoutObjectives = 4
)

// callerTimeout returns how long the caller of a stream waits for its first
// event, or for the next one.
func callerTimeout(objective time.Duration) time.Duration {
	return max(minCallerTimeout, callerTimeoutObjectives*objective)
}

// stalled reports whether to cancel an attempt at a target whose VM gave no
// liveness signal for the time vmSilent. That is the case when neither the VM nor
// the attempt showed activity for stallTimeout, or for heartbeatOverdue with the
// caller's timeout near.
func (a *activeAttempt) stalled(now, epoch time.Time, vmSilent time.Duration) bool {
	lastActivity := epoch.Add(time.Duration(a.lastActivity.Load()))
	if vmSilent > stallTimeout && now.Sub(lastActivity) > stallTimeout {
		return true
	}
	waitStart := a.callStart
	if a.hasEvent {
		waitStart = lastActivity
	}
	return vmSilent > heartbeatOverdue && now.Sub(lastActivity) > heartbeatOverdue && now.Add(callerTimeoutMargin).After(waitStart.Add(a.callerTimeout))
}

// eventOverdue reports whether the attempt received the beginning of an event, but
// not its end within maxEventTime.
func (a *activeAttempt) eventOverdue(now, epoch time.Time) bool {
	began := a.eventBegan.Load()
	return began != 0 && now.Sub(epoch.Add(time.Duration(began))) > maxEventTime
}

// recordEventBegin records the time at which an attempt received the first byte of
// an event.
func (f *Fleet) recordEventBegin(now time.Time, a *activeAttempt) {
	a.eventBegan.Store(int64(now.Sub(f.epoch)))
}

// recordActivity records the time at which an attempt was sent or received an
// event.
func (f *Fleet) recordActivity(now time.Time, a *activeAttempt) {
	a.lastActivity.Store(int64(now.Sub(f.epoch)))
	a.eventBegan.Store(0)
}

// recordGap records an event that is not the first one of an attempt's response. The
// first one after a gap longer than allowed is reported to the targetd that was offered
// the prompt. There is no limit if allowed is zero.
func (f *Fleet) recordGap(now time.Time, a *activeAttempt, allowed time.Duration) {
	gap := now.Sub(f.epoch.Add(time.Duration(a.lastActivity.Load())))
	if a.offer == nil || a.late || allowed <= 0 || gap <= allowed {
		return
	}
	a.late = true
	_, _ = a.offer.conn.Send(peer.LateStream{Allowed: allowed}) // an ended connection needs no report
}

// recordFirstEvent records the first event of an attempt's response, by which the
// target has read the prompt. ahead is the estimated number of tokens of other prompts
// that the target had to read when the attempt was sent, delay the time from then to
// the event.
func (f *Fleet) recordFirstEvent(now time.Time, t *targetState, a *activeAttempt, ahead int, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.hasEvent = true
	t.unreadTokens -= a.promptTokens
	if a.offer != nil {
		ahead = a.offer.ahead
	}
	// The prompts that a targetd states as ahead are partly read already, so that they
	// would bias the trend.
	whole := f.endPrompt(now, t, a, ahead+a.promptTokens, delay)
	if whole && (a.offer == nil || ahead == 0) {
		f.observeReading(now, t, ahead+a.promptTokens, delay)
	}
	f.endOfferLocked(a.offer)
}

// cancelStalled cancels the attempts at targets whose VMs are paused: no liveness
// signal and no data of the attempt arrived. Otherwise the callers would time out
// without a response, and the abandoned requests would run when the VM resumes.
// It also cancels the attempts that received an event's beginning, but not its end
// in time.
func (f *Fleet) cancelStalled(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := now.Sub(f.lastScan) > maxScanGap
	f.lastScan = now
	for _, t := range f.targets {
		if !paused {
			t.cancelUnfinished(now, f.epoch)
		}
		if paused && !t.vmAliveAt.IsZero() {
			t.vmAliveAt = now // no liveness signal could be received during the pause
		}
		if t.vmAliveAt.IsZero() {
			continue // no liveness signal was ever received
		}
		canceled := 0
		for a := range t.attempts {
			if a.stalled(now, f.epoch, now.Sub(t.vmAliveAt)) {
				a.cancel()
				canceled++
			}
		}
		if canceled > 0 {
			f.log.Event(event.TargetStill).Str("target", t.replica.ID).Dur("silent", now.Sub(t.vmAliveAt)).Int("attempts", canceled).Send()
		}
	}
}

// cancelUnfinished cancels the attempts that received an event's beginning, but not
// its end in time.
func (t *targetState) cancelUnfinished(now, epoch time.Time) {
	for a := range t.attempts {
		if a.eventOverdue(now, epoch) && !a.unfinished.Swap(true) {
			a.cancel()
		}
	}
}

// recordVMAlive records a liveness signal of a target's VM.
func (f *Fleet) recordVMAlive(now time.Time, t *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.vmAliveAt = now
}
