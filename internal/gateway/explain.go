package gateway

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/borageusher/borageusher/pkg/quarantine"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/streams"
)

// Explain returns what the process would do with a request at now. It follows ServeHTTP
// and runAttempts up to the first attempt, calls the functions that decide there, and none
// that acts.
func (g *Gateway) Explain(now time.Time, r ExplanationOf) Explanation {
	m, rejected := g.match(r.Meta, r.Host, pathOf(r.URI))
	x := Explanation{Model: r.Meta.Model, Adapter: r.Meta.Adapter, HasKey: r.Meta.HasKey}
	if m.cfg != nil {
		x.Revision = m.cfg.Version
	}
	if m.route != nil {
		x.Route, x.Kind, x.Objective, x.Urgency, x.Shares = m.route.Name, m.route.Kind, m.route.Objective, m.cfg.Urgency(m.workspace, m.route, false), m.route.Shares
		x.NeedsKey = m.cfg.HasWorkspaces() && !m.route.Public
	}
	if m.workspace != nil {
		x.Workspace = m.workspace.Name
	}
	if rejected.status == 0 {
		rejected = g.explainRoom(now, m, r)
	}
	if rejected.status != 0 {
		x.reject(rejected.status, rejected.reason, rejected.after)
		return x
	}
	x.Service = r.Service
	if !slices.ContainsFunc(m.route.Shares, func(s routing.Share) bool { return s.Service == r.Service }) {
		x.Service = largestShare(m.route.Shares)
		if r.Service != "" {
			x.Unchecked = append(x.Unchecked, "service "+r.Service+", to which the route does not lead")
		}
	}
	c, known := g.explainCall(now, &x, m, r)
	if !known {
		return x
	}
	x.Timeout = c.remaining(now)
	convicted := g.explainQuarantine(now, &x, c)
	if !convicted {
		g.explainQuota(now, &x, c)
	}
	if g.CrashTracker.segments.classify(now, c) == quarantine.Suspect {
		x.setNext(nextAwaitSuspects, "another request with a suspect segment has no answer yet")
	}
	waitUntil := c.adapterWaitDeadline(now)
	sel, ok := g.Fleet.explainChoice(now, &x, c, true)
	if ok && sel.sampled && g.fails(now, c, sel, waitUntil) {
		sel, ok = g.Fleet.explainChoice(now, &x, c, false)
	}
	if ok {
		g.explainOrder(now, &x, c, sel)
	}
	if x.Next != nextReject {
		g.explainNext(now, &x, c, sel, ok, waitUntil)
	}
	return x
}

// reject records a rejection unless there is an earlier one. After a wait whose result is
// not known, it is only noted.
func (x *Explanation) reject(status int, reason string, after time.Duration) {
	switch x.Next {
	case "":
		x.Next, x.Status, x.Reason, x.RetryAfter = nextReject, status, reason, after
	case nextReject:
	default:
		x.Unchecked = append(x.Unchecked, fmt.Sprintf("after the wait, as of now: status %d, reason %s", status, reason))
	}
}

// fail records the rejection of a call.
func (x *Explanation) fail(now time.Time, c *call, reason string) {
	status, after := c.failureResponse(now, reason)
	x.reject(status, reason, after)
}

// explainRoom returns the rejection of a request for which the process has no room.
func (g *Gateway) explainRoom(now time.Time, m match, r ExplanationOf) rejection {
	limit := bodyLimit(m.cfg.Limits.BodyBytes)
	use, n := bodyUse(r.Bytes)
	memory := lease{admission: g.admission}
	g.admission.mu.Lock()
	admitted, fits := g.admission.admits(g.admission.newPlace(now, m.cfg, m.workspace)), memory.fits(use, n)
	var untilRoom time.Duration
	if !admitted {
		untilRoom, _ = g.admission.roomForecast()
	}
	g.admission.mu.Unlock()
	switch {
	case !admitted:
		return rejection{status: 503, reason: reasonNoRoom, after: r.Meta.honoured(untilRoom)}
	case r.Bytes > limit:
		return bodyRejection(r.Meta, errBodyTooLong)
	case !fits:
		return bodyRejection(r.Meta, errNoMemory)
	case g.closing.Load():
		return rejection{status: 503, reason: "stopping", after: spread(shortRetryAfter)}
	}
	return rejection{}
}

// largestShare returns the service to which most requests of a route go, empty for none.
func largestShare(shares []routing.Share) string {
	if len(shares) == 0 {
		return ""
	}
	return slices.MaxFunc(shares, func(a, b routing.Share) int { return cmp.Compare(a.Weight, b.Weight) }).Service
}

// explainCall returns the call for a request. It is not known if other processes would have
// to be asked where its stream began.
func (g *Gateway) explainCall(now time.Time, x *Explanation, m match, r ExplanationOf) (c *call, known bool) {
	version, reason := "", ""
	if takesUp(m.route, r.Meta) {
		o, ok := g.Fleet.knownOrigin(now, streams.KeyOf(r.Meta.StreamID))
		if !ok && r.Meta.StreamID != "" {
			x.Next, x.Reason = nextAskOrigin, "the origin of the stream is not known here; targetds would be asked"
			return nil, false
		}
		if reason = originReason(m.route, o, false); reason == "" {
			x.Service, version = o.Service, o.Version
		}
	}
	request := &http.Request{Method: r.Method, Host: r.Host, RequestURI: r.URI, Header: http.Header{}, ContentLength: r.Bytes}
	c = newCall(now, r.Meta, m.route, x.Service, request, nil)
	c.bodyBytes = int(max(0, r.Bytes))
	c.revision, c.softwareVersion = m.cfg.Version, version
	c.setOrder(m.cfg, m.workspace)
	c.identified = m.cfg.HasWorkspaces()
	if reason != "" {
		x.fail(now, c, reason)
		return nil, false
	}
	return c, true
}

// explainQuarantine decides whether the call is rejected because it, or a segment of its
// prompt, crashes targets. Without the body, only the segments tell.
func (g *Gateway) explainQuarantine(now time.Time, x *Explanation, c *call) (convicted bool) {
	if c.bodyBytes > 0 {
		x.Unchecked = append(x.Unchecked, "quarantine of the request itself, which depends on its body")
		convicted = g.CrashTracker.segments.classify(now, c) == quarantine.Convicted
	} else {
		convicted = g.CrashTracker.quarantined(now, c)
	}
	if convicted {
		x.fail(now, c, reasonQuarantined)
	}
	return convicted
}

// explainQuota decides whether the quota of the caller's workspace admits the call.
func (g *Gateway) explainQuota(now time.Time, x *Explanation, c *call) {
	if !g.hasQuota(c) {
		return
	}
	cost := c.creditCost(now)
	x.Quota = QuotaExplanation{Limited: true, PerSecond: c.workspace.Quota.PerSecond, Cost: cost.Units}
	p, ok := g.Credit.Preview(c.workspace, cost)
	if !ok {
		x.Unchecked = append(x.Unchecked, "quota: this process has no account of the workspace yet")
		return
	}
	q := &x.Quota
	q.Known, q.Balance = true, p.Balance
	switch {
	case !p.Decided:
		q.Waits = cost.Wait
		x.setNext(nextAwaitCredit, "the issuer of the quota's credit decides; the target is that of a request with credit")
	case p.Decision.Admitted:
		q.Admitted = true
	default:
		c.retryAfter = p.Decision.Wait
		x.fail(now, c, quotaReason(p.Decision.Unanswered))
		c.retryAfter = 0
	}
}

// explainOrder explains the order of the call among others at the selected target.
func (g *Gateway) explainOrder(now time.Time, x *Explanation, c *call, sel selection) {
	x.Urgency, x.Contended = g.urgencyAt(now, c, sel), c.contended(sel)
	if c.workspace != nil {
		x.Standing = g.standing(now, c).String()
	}
}

// explainRejection decides whether the call is rejected at the selected holder of its
// adapter. It sets the call's Retry-After.
func (g *Gateway) explainRejection(now time.Time, x *Explanation, c *call, sel selection) (reason string) {
	d := g.previewRejection(now, c, sel)
	x.WaitLimit = d.Limit
	if d.Admitted() {
		return ""
	}
	c.retryAfter = d.RetryAfter
	return d.Reason.String()
}

// explainHolder explains the choice of a holder for a call that does not wait for its
// adapter, as chooseHolder and chooseWithoutWaiting do. It returns the reason to reject it.
func (g *Gateway) explainHolder(now time.Time, x *Explanation, c *call, expectedWait time.Duration) (reason string) {
	holder, ok := g.Fleet.explainResident(now, x, c, true)
	if ok && holder.sampled && g.busy(now, c, holder) {
		holder, ok = g.Fleet.explainResident(now, x, c, false)
	}
	if ok {
		g.explainOrder(now, x, c, holder)
		if g.explainRejection(now, x, c, holder) == "" {
			return ""
		}
	}
	c.retryAfterLoad(expectedWait)
	return reasonAdapterNotLoaded
}

// explainNext decides what follows the choice of a target, as awaitTarget and admit do.
func (g *Gateway) explainNext(now time.Time, x *Explanation, c *call, sel selection, ok bool, waitUntil time.Time) {
	if c.workspace != nil {
		x.Unchecked = append(x.Unchecked, "what the request itself adds to the demand of its workspace, on which its share depends")
	}
	c.needsLoad = c.causesLoad(sel) // the call is not a request's; nothing is recorded
	next, pause, reason := g.stepAfter(now, c, sel, ok, waitUntil)
	switch next {
	case stepSend:
		if reason := g.explainRejection(now, x, c, sel); reason != "" {
			x.fail(now, c, reason)
			return
		}
	case stepReject:
		x.fail(now, c, reason)
		return
	case stepWaitForTarget:
		x.setNext(nextAwaitTarget, "no target is usable now")
		x.Wait = pause
		return
	case stepSendWithoutWaiting:
		if reason := g.explainHolder(now, x, c, sel.wait); reason != "" {
			x.fail(now, c, reason)
			return
		}
	case stepWaitForAdapter:
		x.Unchecked = append(x.Unchecked, "the forecast of the wait once the adapter is loaded")
		x.setNext(nextLoad, "the adapter is not loaded")
		x.LoadAt = sel.replica.ID
		return
	}
	if reason := g.tooLate(now, c); reason != "" {
		x.fail(now, c, reason)
		return
	}
	if x.OffersPrompt {
		x.Unchecked = append(x.Unchecked, "the forecast of the wait once the targetd has answered")
	}
	x.setNext(nextSend, "")
}

// setNext records what follows unless something else comes first.
func (x *Explanation) setNext(next, reason string) {
	if x.Next == "" {
		x.Next, x.Reason = next, reason
	}
}
