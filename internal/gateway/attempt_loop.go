package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/quarantine"
)

// Limits of a call.
const (
	// maxConnectFailures is the number of unreachable targets after which a call
	// fails.
	maxConnectFailures = 4
	// waitPollInterval is how often a waiting call repeats the selection without
	// a change signal. Load requests are repeated at this interval.
	waitPollInterval = 200 * time.Millisecond
	// holdPollInterval is how often a held call checks whether it may be sent.
	holdPollInterval = 20 * time.Millisecond
	// maxHeldTime is how long a call with a suspect segment waits for another one to
	// be answered: the time for which callers wait at least.
	maxHeldTime = minCallerTimeout
	// minAttemptTime is the least remaining time in which an attempt is worth
	// sending.
	minAttemptTime = 10 * time.Millisecond
	// retryAfterDivisor limits Retry-After to this fraction of the remaining
	// time.
	retryAfterDivisor = 3
	// backoffSpreadDivisor and maxBackoffSpread limit the random delay with which
	// calls return after the end of a target's backoff, so that they don't return
	// together: to a fraction of the time until the end, and to the most by which a
	// caller is delayed for it.
	backoffSpreadDivisor = 4
	maxBackoffSpread     = 250 * time.Millisecond
)

// reasonDelivered is the reason of a call whose caller received a target's response.
const reasonDelivered = "delivered"

// Reasons for which a call that may crash targets is not sent.
const (
	reasonQuarantined = "quarantined"
	reasonHeld        = "held" // for now: another request with a suspect segment has no answer yet
)

// outcome is the result of an attempt.
type outcome uint8

const (
	delivered  outcome = iota // the caller has the whole response
	callerLeft                // the caller disconnected or stopped reading
	notSent                   // the target never received the request
	refused                   // the target proved that it did not run the request
	failed                    // the target responded to an idempotent call with a 5xx status
	broken                    // the request may have run, but there is no whole response
)

var outcomeNames = map[outcome]string{
	delivered:  "delivered",
	callerLeft: "caller_left",
	notSent:    "not_sent",
	refused:    "refused",
	failed:     "failed",
	broken:     "broken",
}

// runAttempts makes attempts until the caller has a final response. callerCtx is
// done when the caller disconnects, ctx also at the call's deadline.
func (g *Gateway) runAttempts(ctx, callerCtx context.Context, w http.ResponseWriter, c *call) {
	for {
		reason := g.awaitSuspects(ctx, c)
		var sel selection
		if reason == "" {
			sel, reason = g.awaitTarget(ctx, c)
		}
		if reason != "" {
			g.respondFailure(callerCtx, w, c, reason)
			return
		}
		o, again, reason := g.pace(ctx, c, sel)
		if again {
			continue
		}
		if reason == "" {
			again, reason = g.awaitPermit(ctx, c, sel)
		}
		now := time.Now()
		if again || (reason == "" && !g.Fleet.stillSuits(now, c, sel)) {
			g.Fleet.endOffer(o)
			continue
		}
		var run *segmentRun
		if reason == "" {
			run, reason = g.admit(now, c)
		}
		switch {
		case reason == reasonHeld:
			g.Fleet.endOffer(o)
			continue
		case reason != "":
			g.Fleet.endOffer(o)
			g.respondFailure(callerCtx, w, c, reason)
			return
		}
		out := g.attempt(ctx, w, c, sel, o, run)
		switch {
		case out == delivered:
			g.CrashTracker.clearSuspect(c)
			g.Fleet.endStream(c)
			g.recordOutcome(c, http.StatusOK, reasonDelivered)
			return
		case out == callerLeft || callerCtx.Err() != nil:
			g.abort(callerCtx, c)
		case ctx.Err() != nil:
			g.respondFailure(callerCtx, w, c, "timeout")
			return
		case out == notSent && c.connectFailures >= maxConnectFailures:
			g.respondFailure(callerCtx, w, c, "unreachable")
			return
		case (out == broken || out == failed) && !c.mayRetry():
			g.respondFailure(callerCtx, w, c, outcomeNames[out])
			return
		}
	}
}

// admit registers an attempt that is about to be sent. It returns the reason if the
// call may not be sent now.
func (g *Gateway) admit(now time.Time, c *call) (*segmentRun, string) {
	if reason := g.identifyAgain(c); reason != "" {
		return nil, reason
	}
	run, verdict := g.CrashTracker.segments.begin(now, c, c.heldFor >= maxHeldTime)
	reason := ""
	switch {
	case verdict == quarantine.Suspect:
		reason = reasonHeld
	case verdict == quarantine.Convicted || (!c.headerSent && g.CrashTracker.quarantined(now, c)): // a started stream did not crash its target when it began
		reason = reasonQuarantined
	case g.tooLate(now, c) != "":
		reason = g.tooLate(now, c)
	case c.attemptsSent > 0 && !g.RetryBudget.tryAcquire(now, c.service, g.Fleet.entrydCount()):
		reason = "retry_allowance"
	}
	if reason != "" {
		g.CrashTracker.segments.end(run)
		return nil, reason
	}
	return run, ""
}

// awaitSuspects waits while another request with a suspect segment of the call's prompt
// is in flight without an answer, so that a segment that crashes targets crashes few of
// them before it is convicted. It returns the reason if the call has failed.
func (g *Gateway) awaitSuspects(ctx context.Context, c *call) string {
	for c.heldFor < maxHeldTime {
		start := time.Now()
		switch g.CrashTracker.segments.classify(start, c) {
		case quarantine.Convicted:
			return reasonQuarantined
		case quarantine.Innocent:
			return ""
		}
		select {
		case <-time.After(holdPollInterval):
		case <-ctx.Done():
			return "timeout"
		}
		c.heldFor += time.Since(start)
	}
	return ""
}

// awaitTarget returns the target of the next attempt, after waiting until it
// holds the adapter. If none is available, it returns the reason; otherwise the
// reason is empty.
func (g *Gateway) awaitTarget(ctx context.Context, c *call) (selection, string) {
	start := time.Now()
	waitUntil := c.adapterWaitDeadline(start)
	removeWaiter := func() {}
	defer func() {
		removeWaiter()
		if c.waitTarget != nil {
			g.Scope.Histogram("adapter_wait_seconds", latencyBuckets).RecordDuration(time.Since(start))
		}
		c.adapterWait += time.Since(start)
		c.waitTarget = nil
	}()
	for {
		now := time.Now()
		sel, ok := g.Fleet.choose(now, c)
		if ok && sel.sampled && g.fails(now, c, sel, waitUntil) {
			sel, ok = g.Fleet.chooseFromAll(now, c, false)
		}
		g.offerLoad(now, c, sel)
		if ctx.Err() != nil {
			return selection{}, "timeout"
		}
		next, pause, reason := g.stepAfter(now, c, sel, ok, waitUntil)
		switch next {
		case stepReject:
			return selection{}, reason
		case stepSend:
			return sel, g.rejects(now, c, sel, false)
		case stepSendWithoutWaiting:
			return g.chooseWithoutWaiting(now, c, sel.wait)
		}
		if ok && g.Fleet.needsPermit(now, c, sel.target) { // before the adapter takes a slot
			if _, reason := g.awaitPermit(ctx, c, sel); reason != "" {
				return selection{}, reason
			}
			continue
		}
		switch {
		case !ok:
			// A target may become usable soon.
		case sel.target != c.waitTarget:
			removeWaiter()
			g.Scope.Counter("waits_for_adapters").Inc(1)
			g.recordLoad(now, c)
			removeWaiter, c.waitTarget = g.Fleet.addWaiter(now, sel.target, c), sel.target
			c.recordDecision("waits", sel)
			g.Log.Event(event.RequestWaiting).
				Str("request", c.meta.ID).
				Str("adapter", c.adapter.Name).
				Str("target", sel.replica.ID).
				Dur("wait", sel.wait).
				Dur("state_age", sel.stateAge).
				Send()
		default:
			g.Fleet.repeatLoadRequest(now, sel.target, c.adapter)
		}
		select {
		case <-sel.changed:
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// awaitUsable returns the time after which a call for which no target is usable
// chooses again, or the reason to reject it: a backoff that ends after waitUntil, or
// no target that may become usable by then.
func (g *Gateway) awaitUsable(now time.Time, c *call, waitUntil time.Time) (pause time.Duration, reason string) {
	end, backoff := g.Fleet.backoffEnd(now, c)
	left := end.Sub(now)
	if backoff {
		left += rand.N(min(maxBackoffSpread, left/backoffSpreadDivisor) + 1)
	}
	switch {
	case backoff && end.Before(waitUntil):
		return left, ""
	case !now.After(waitUntil) && g.Fleet.awaitsTargets(now, c):
		return waitPollInterval, ""
	case backoff:
		c.retryAfter = left
		return 0, "backoff"
	}
	if c.continues() && !g.Fleet.hasVersionOf(now, c) {
		return 0, reasonVersionGone
	}
	return 0, "no_target"
}

// chooseWithoutWaiting returns the target of a call that no longer waits for its
// adapter to load: a busy target that holds it. If there is none, the caller
// gets a Retry-After of the expected load time.
func (g *Gateway) chooseWithoutWaiting(now time.Time, c *call, expectedWait time.Duration) (selection, string) {
	if sel, ok := g.chooseHolder(now, c); ok && g.rejects(now, c, sel, false) == "" {
		return sel, ""
	}
	c.retryAfterLoad(expectedWait)
	return selection{}, reasonAdapterNotLoaded
}

// chooseHolder returns the holder of the call's adapter for the next attempt, and false if
// there is none. It looks at all holders if the call would be rejected at one of a sample.
func (g *Gateway) chooseHolder(now time.Time, c *call) (selection, bool) {
	sel, ok := g.Fleet.chooseResident(now, c)
	if ok && sel.sampled && g.busy(now, c, sel) {
		sel, ok = g.Fleet.chooseFromAll(now, c, true)
	}
	return sel, ok
}

// fails reports whether the call would be rejected at the selected target, or gets no
// permit for it.
func (g *Gateway) fails(now time.Time, c *call, sel selection, waitUntil time.Time) bool {
	tooLong := !sel.resident && c.waitTarget == nil && now.Add(sel.wait).After(waitUntil)
	return tooLong || g.busy(now, c, sel) || (c.permitRefusals > 0 && g.Fleet.needsPermit(now, c, sel.target))
}

// busy reports whether the call would be rejected at a selected holder of its adapter.
func (g *Gateway) busy(now time.Time, c *call, sel selection) bool {
	return sel.resident && g.wouldReject(now, c, sel)
}

// leavesBefore reports whether a call that waits for its adapter is expected to wait at the
// selected target for longer than its caller.
func (c *call) leavesBefore(now time.Time, sel selection) bool {
	return c.waitTarget != nil && c.model != "" && !c.headerSent && sel.wait > c.patience(now)
}

// respondFailure ends a call for which no attempt succeeded. If the response has
// been started or the caller has disconnected, it closes the connection. Otherwise
// it sends the fallback if there is one, or an empty response: with status 503 if no
// attempt may have run, else with 504 after a timeout and 502 for other reasons.
func (g *Gateway) respondFailure(callerCtx context.Context, w http.ResponseWriter, c *call, reason string) {
	if callerCtx.Err() == nil && c.headerSent {
		g.Scope.Counter("streams_broken").Inc(1)
	}
	switch {
	case closedByServer(callerCtx):
		reason = "connection_closed"
	case droppedBecause(callerCtx) != "":
		reason = string(droppedBecause(callerCtx))
	case reason == "timeout" && g.ending.Err() != nil:
		reason = "stopping"
	}
	if callerCtx.Err() != nil || c.headerSent {
		g.recordOutcome(c, 0, reason)
		panic(http.ErrAbortHandler) // closes the connection so that the caller sees an incomplete response
	}
	if c.fallback != nil {
		if err := g.writeResponse(w, c.fallback); err != nil {
			g.abort(callerCtx, c)
		}
		g.recordOutcome(c, c.fallback.status, "failure_passed_on")
		return
	}
	status, after := c.failureResponse(time.Now(), reason)
	g.setConnection(w.Header())
	g.HeaderCodec.SetRejection(w.Header(), c.meta.ID, after)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
	g.countRejection(c.workspace, reason)
	g.recordOutcome(c, status, reason)
}

// retryAfterOf returns the time after which the caller of a failed call may retry: the
// forecast time until there is capacity if there is one.
func (c *call) retryAfterOf(reason string) time.Duration {
	switch {
	case reason == reasonOriginUnknown || reason == reasonVersionGone:
		return 0 // waiting does not help
	case c.retryAfter > 0:
		return max(c.retryAfter, shortRetryAfter)
	case reason == "no_target" || reason == reasonQuarantined || reason == reasonUnconfirmed:
		return spread(longRetryAfter)
	case c.possibleRuns > 0:
		return 0
	}
	return spread(shortRetryAfter)
}

// abort ends a call whose connection ended.
func (g *Gateway) abort(callerCtx context.Context, c *call) {
	reason := "caller_left"
	if closedByServer(callerCtx) {
		reason = "connection_closed"
	} else if dropped := droppedBecause(callerCtx); dropped != "" {
		reason = string(dropped)
	}
	g.recordOutcome(c, 0, reason)
	panic(http.ErrAbortHandler) // the response has no reader
}

// writeResponse writes a buffered response to the caller. It returns an error if the
// caller has disconnected or does not read and part of a long body can't be written.
func (g *Gateway) writeResponse(w http.ResponseWriter, resp *bufferedResponse) error {
	g.writeHeader(w, resp.status, resp.header, int64(len(resp.body)))
	// The end of the body is written after the call has returned what it holds, so that the
	// caller's next request finds it released.
	if _, err := w.Write(resp.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) && !errors.Is(err, http.ErrContentLength) {
		return err
	}
	return nil
}

// writeHeader writes the header of a target's response to the caller. length is
// that of the body, negative if it is unknown.
func (g *Gateway) writeHeader(w http.ResponseWriter, status int, header http.Header, length int64) {
	h := w.Header()
	for name, values := range g.HeaderCodec.CallerHeader(header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	g.setConnection(h)
	w.WriteHeader(status)
}
