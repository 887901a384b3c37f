package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

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
		if again || (reason == "" && !g.Fleet.stillSuits(now, c, sel.target)) {
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
		next, pause, reason := g.stepAfter(now, c, sel, ok, waitUntil)
		switch {
		case ctx.Err() != nil:
			return selection{}, "timeout"
		case next == stepReject:
			return selection{}, reason
		case next == stepSend:
			return sel, ""
		case next == stepSendWithoutWaiting:
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
	if c.continues() && !g.Fleet.hasVersionOf(c) {
		return 0, reasonVersionGone
	}
	return 0, "no_target"
}

// chooseWithoutWaiting returns the target of a call that no longer waits for its
// adapter to load: a busy target that holds it. If there is none, the caller
// gets a Retry-After of the expected load time.
func (g *Gateway) chooseWithoutWaiting(now time.Time, c *call, expectedWait time.Duration) (selection, string) {
	sel, ok := g.Fleet.chooseResident(now, c)
	if !g.sendsWithoutWaiting(c, sel, ok, expectedWait) {
		return selection{}, reasonAdapterNotLoaded
	}
	return sel, ""
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
	case reason == "timeout" && g.ending.Err() != nil:
		reason = "stopping"
	}
	if callerCtx.Err() != nil || c.headerSent {
		g.recordOutcome(c, 0, reason)
		panic(http.ErrAbortHandler) // closes the connection so that the caller sees an incomplete response
	}
	if c.fallback != nil {
		g.writeResponse(w, c.fallback)
		g.recordOutcome(c, c.fallback.status, "failure_passed_on")
		return
	}
	status, after := c.failureResponse(time.Now(), reason)
	g.setConnection(w.Header())
	g.HeaderCodec.SetRejection(w.Header(), c.meta.ID, after)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
	g.recordOutcome(c, status, reason)
}

// abort ends a call whose connection ended.
func (g *Gateway) abort(callerCtx context.Context, c *call) {
	reason := "caller_left"
	if closedByServer(callerCtx) {
		reason = "connection_closed"
	}
	g.recordOutcome(c, 0, reason)
	panic(http.ErrAbortHandler) // the response has no reader
}

// writeResponse writes a buffered response to the caller.
func (g *Gateway) writeResponse(w http.ResponseWriter, resp *bufferedResponse) {
	g.writeHeader(w, resp.status, resp.header, int64(len(resp.body)))
	_, _ = w.Write(resp.body) // the caller may have disconnected
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
