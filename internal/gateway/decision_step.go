package gateway

import (
	"net/http"
	"time"
)

// reasonAdapterNotLoaded is the reason of a call whose adapter is not loaded in time.
const reasonAdapterNotLoaded = "adapter_not_loaded"

// nextStep is what follows the choice of a target for a call.
type nextStep uint8

const (
	stepSend               nextStep = iota // to the chosen target, which holds the adapter, unless its load forbids it
	stepSendWithoutWaiting                 // to a busy target that holds the adapter, if there is one, unless its load forbids it
	stepWaitForAdapter                     // until the chosen target holds the adapter
	stepWaitForTarget                      // until a target is usable
	stepReject
)

// stepAfter returns what follows a choice of a call that waits for a target until
// waitUntil at most: the time after which to choose again, or the reason to reject it. Of
// the call, it may set retryAfter.
func (g *Gateway) stepAfter(now time.Time, c *call, sel selection, ok bool, waitUntil time.Time) (next nextStep, pause time.Duration, reason string) {
	switch {
	case !ok:
		if pause, reason = g.awaitUsable(now, c, waitUntil); reason != "" {
			return stepReject, 0, reason
		}
		return stepWaitForTarget, pause, ""
	case sel.resident:
		return stepSend, 0, ""
	case now.After(waitUntil) || (c.waitTarget == nil && now.Add(sel.wait).After(waitUntil)) || c.leavesBefore(now, sel):
		return stepSendWithoutWaiting, 0, ""
	case g.lacksLoadShare(now, c, sel):
		c.retryAfter = spread(sel.wait)
		return stepReject, 0, reasonLoadShare
	}
	return stepWaitForAdapter, waitPollInterval, ""
}

// retryAfterLoad sets the Retry-After of a call that does not wait for its adapter to the
// expected time until that is loaded, unless a holder has capacity sooner.
func (c *call) retryAfterLoad(expectedWait time.Duration) {
	if after := spread(expectedWait); c.retryAfter == 0 || after < c.retryAfter {
		c.retryAfter = after
	}
}

// tooLate returns the reason for which a call is not worth sending any more, empty for
// none.
func (g *Gateway) tooLate(now time.Time, c *call) string {
	switch {
	case c.remaining(now) < minAttemptTime:
		return "deadline"
	case !g.mayEnd(now, c):
		return "stopping"
	}
	return ""
}

// failureResponse returns the status of the response to a call that has failed, and after
// which time its caller may retry, zero for none.
func (c *call) failureResponse(now time.Time, reason string) (status int, after time.Duration) {
	status = http.StatusServiceUnavailable
	if c.possibleRuns > 0 {
		status = http.StatusBadGateway
		if reason == "timeout" || reason == "deadline" {
			status = http.StatusGatewayTimeout
		}
	}
	if reason == reasonOverQuota {
		return http.StatusTooManyRequests, c.retryAfter // earlier there is no credit
	}
	return status, bounded(c.retryAfterOf(reason), c.remaining(now)/retryAfterDivisor)
}
