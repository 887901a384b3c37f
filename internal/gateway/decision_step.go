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
	stepSend               nextStep = iota // to the chosen target, which holds the adapter
	stepSendWithoutWaiting                 // to a busy target that holds the adapter, if there is one
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
	case sel.resident && g.Fleet.overloaded(c, sel):
		return stepReject, 0, "overloaded"
	case sel.resident:
		return stepSend, 0, ""
	case now.After(waitUntil) || (c.waitTarget == nil && now.Add(sel.wait).After(waitUntil)):
		return stepSendWithoutWaiting, 0, ""
	}
	return stepWaitForAdapter, waitPollInterval, ""
}

// sendsWithoutWaiting reports whether a call that no longer waits for its adapter is sent
// to the busy target that was chosen among the holders. If not, it sets retryAfter to the
// expected time until the adapter is loaded.
func (g *Gateway) sendsWithoutWaiting(c *call, sel selection, ok bool, expectedWait time.Duration) bool {
	if ok && !g.Fleet.overloaded(c, sel) {
		return true
	}
	c.retryAfter = expectedWait
	return false
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
	status, after = http.StatusServiceUnavailable, shortRetryAfter
	if c.possibleRuns > 0 {
		status, after = http.StatusBadGateway, 0
		if reason == "timeout" || reason == "deadline" {
			status = http.StatusGatewayTimeout
		}
	}
	limit := c.remaining(now) / retryAfterDivisor
	switch reason {
	case reasonOverQuota:
		status = http.StatusTooManyRequests
		limit = c.retryAfter // earlier there is no credit
	case "no_target", reasonQuarantined, "overloaded", reasonUnconfirmed:
		after = longRetryAfter
	case reasonOriginUnknown, reasonVersionGone:
		after = 0 // waiting does not help
	}
	return status, min(max(after, c.retryAfter), limit)
}
