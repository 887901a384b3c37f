package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/internal/event"
)

// Bounds of a call.
const (
	// mostUnsent is the number of targets that a call tries to reach in vain.
	mostUnsent = 4
	// waitPoll is how often a waiting call looks again although nothing changed:
	// the interval at which its want is repeated.
	waitPoll = 200 * time.Millisecond
	// leastLeft is the least time in which an attempt is worth sending.
	leastLeft = 10 * time.Millisecond
	// comeBackPart is the part of the time left within which callers come back.
	comeBackPart = 3
)

// reasonDelivered is the reason of a call that a target answered.
const reasonDelivered = "delivered"

// outcome says what became of an attempt.
type outcome uint8

const (
	delivered  outcome = iota // the caller has the whole answer
	callerLeft                // the caller left, or stopped reading
	notSent                   // the target never saw the request
	refused                   // the target proved that it did not run the request
	failed                    // the target answered with a failure
	broken                    // the request may have run, without a whole answer
)

var outcomeNames = map[outcome]string{
	delivered:  "delivered",
	callerLeft: "caller_left",
	notSent:    "not_sent",
	refused:    "refused",
	failed:     "failed",
	broken:     "broken",
}

// serve makes attempts until the caller has a final answer. caller ends when
// the caller leaves, ctx also at the call's deadline.
func (g *Gateway) serve(ctx, caller context.Context, w http.ResponseWriter, c *call) {
	for {
		p, reason := g.place(ctx, c)
		if reason != "" {
			g.giveUp(caller, w, c, reason)
			return
		}
		now := time.Now()
		if c.left(now) < leastLeft {
			g.giveUp(caller, w, c, "deadline")
			return
		}
		if c.sent > 0 && !g.Allowance.take(now, c.service, g.Fleet.entries()) {
			g.giveUp(caller, w, c, "retry_allowance")
			return
		}
		out := g.attempt(ctx, w, c, p)
		switch {
		case out == delivered:
			g.Crashes.answered(c)
			g.end(c, http.StatusOK, reasonDelivered)
			return
		case out == callerLeft || caller.Err() != nil:
			g.abandon(c)
		case ctx.Err() != nil:
			g.giveUp(caller, w, c, "timeout")
			return
		case out == notSent && c.unsent >= mostUnsent:
			g.giveUp(caller, w, c, "unreachable")
			return
		case (out == broken || out == failed) && !c.mayRepeat():
			g.giveUp(caller, w, c, outcomeNames[out])
			return
		}
	}
}

// place returns the target of the next attempt, after waiting until it holds
// the adapter. The reason is empty unless there is none.
func (g *Gateway) place(ctx context.Context, c *call) (proposal, string) {
	begun := time.Now()
	patience := c.patience(begun)
	done := func() {}
	defer func() {
		done()
		if c.waitsAt != nil {
			g.Scope.Histogram("adapter_wait_seconds", latencies).RecordDuration(time.Since(begun))
		}
		c.waited += time.Since(begun)
		c.waitsAt = nil
	}()
	for {
		now := time.Now()
		p, ok := g.Fleet.choose(now, c)
		switch {
		case ctx.Err() != nil:
			return proposal{}, "timeout"
		case !ok && (now.After(patience) || !g.Fleet.expects(now, c)):
			return proposal{}, "no_target"
		case ok && p.holds && g.Fleet.overloaded(c, p):
			return proposal{}, "overloaded"
		case ok && p.holds:
			return p, ""
		case ok && (now.After(patience) || (c.waitsAt == nil && now.Add(p.wait).After(patience))):
			return g.placeImpatient(now, c, p.wait)
		}
		switch {
		case !ok:
			// A target is about to become known.
		case p.node != c.waitsAt:
			done()
			g.Scope.Counter("waits_for_adapters").Inc(1)
			done, c.waitsAt = g.Fleet.want(now, p.node, c.adapter), p.node
			c.note("waits", p)
			g.Log.At(event.RequestWaiting).
				Str("request", c.meta.ID).
				Str("adapter", c.adapter.Name).
				Str("target", p.replica.ID).
				Dur("wait", p.wait).
				Dur("state_age", p.age).
				Send()
		default:
			g.Fleet.remind(now, p.node, c.adapter)
		}
		select {
		case <-p.news:
		case <-time.After(waitPoll):
		case <-ctx.Done():
		}
	}
}

// placeImpatient returns the target of a call that waits no longer for a copy of
// its adapter: a busy target that holds it. Without one, the caller is told to
// come back when the adapter is expected.
func (g *Gateway) placeImpatient(now time.Time, c *call, expected time.Duration) (proposal, string) {
	if p, ok := g.Fleet.chooseHolder(now, c); ok && !g.Fleet.overloaded(c, p) {
		return p, ""
	}
	c.comeBack = expected
	return proposal{}, "adapter_not_loaded"
}

// giveUp gives the caller the final answer of a call that has none from a
// target.
func (g *Gateway) giveUp(caller context.Context, w http.ResponseWriter, c *call, reason string) {
	if caller.Err() == nil && c.started {
		g.Scope.Counter("streams_broken").Inc(1)
	}
	if caller.Err() != nil || c.started {
		g.end(c, 0, reason)
		panic(http.ErrAbortHandler) // ends the connection without a clean end
	}
	if c.fallback != nil {
		g.deliver(w, c.fallback)
		g.end(c, c.fallback.status, "failure_passed_on")
		return
	}
	status, after := http.StatusServiceUnavailable, soon
	if c.ran > 0 {
		status, after = http.StatusBadGateway, 0
		if reason == "timeout" || reason == "deadline" {
			status = http.StatusGatewayTimeout
		}
	}
	if reason == "no_target" || reason == "quarantined" || reason == "overloaded" {
		after = later
	}
	after = min(max(after, c.comeBack), c.left(time.Now())/comeBackPart)
	g.Dialect.Refusal(w.Header(), c.meta.ID, after)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
	g.end(c, status, reason)
}

// abandon ends a call whose caller left.
func (g *Gateway) abandon(c *call) {
	g.end(c, 0, "caller_left")
	panic(http.ErrAbortHandler) // nobody reads the answer
}

// deliver writes a whole answer to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, a *whole) {
	h := w.Header()
	for name, values := range g.Dialect.Back(a.header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the caller may be gone
}
