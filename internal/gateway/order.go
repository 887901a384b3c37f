package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/pkg/fairshare"
	"github.com/borageusher/borageusher/pkg/overload"
	"github.com/borageusher/borageusher/pkg/routing"
)

const (
	// contendedWait is the wait at the best target from which there is contention, as a
	// share of the objective. It equals assignment.copyThreshold: below it requests start
	// well within the objective.
	contendedWait = 0.3
	// shareLogInterval is the least time between two log lines on one workspace's share.
	shareLogInterval = time.Second
	// minEngineTime is the engine time of a request of which nothing is known yet, so that
	// the requests of a new process count equally.
	minEngineTime = time.Millisecond
	// lengthWeight is the weight of one observation of a response's length.
	lengthWeight = 0.05
)

// requestOrder decides which requests are served first and which are rejected under load.
// It is safe for concurrent use.
type requestOrder struct {
	mu       sync.Mutex
	shares   map[string]*fairshare.Shares // of engine time, by service: its targets serve no other one
	loads    *fairshare.Shares            // of adapter loads
	overload *overload.Controller
	lengths  map[string]float64   // mean of the maximum response tokens, by service
	loggedAt map[string]time.Time // last log line on the share, by workspace
}

func newRequestOrder() *requestOrder {
	return &requestOrder{shares: map[string]*fairshare.Shares{}, loads: fairshare.New(), overload: overload.New(), lengths: map[string]float64{}, loggedAt: map[string]time.Time{}}
}

// sharesOf returns the shares of engine time of a service. The caller holds mu.
func (o *requestOrder) sharesOf(service string) *fairshare.Shares {
	s := o.shares[service]
	if s == nil {
		s = fairshare.New()
		o.shares[service] = s
	}
	return s
}

// setOrder sets the call's workspace and the urgencies that follow from it.
func (c *call) setOrder(cfg *routing.Configuration, w *routing.Workspace) {
	c.workspace = w
	c.needsLoad = c.needsLoad && w != nil // a later configuration may have no workspace for the call
	c.urgency, c.urgencyAboveShare = cfg.Urgency(w, c.route, false), cfg.Urgency(w, c.route, true)
}

// relativeLength returns the longest response of a call relative to the mean of its
// service, one if it is not known.
func (o *requestOrder) relativeLength(c *call) float64 {
	n := float64(c.meta.MaxResponseTokens)
	if n == 0 {
		return 1
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	mean := o.lengths[c.service]
	if mean == 0 {
		mean = n
	}
	o.lengths[c.service] = mean + lengthWeight*(n-mean)
	return n / mean
}

// recordOffer records the engine time for which a call asks.
func (g *Gateway) recordOffer(now time.Time, c *call) {
	if c.workspace == nil {
		return
	}
	c.engineTime = max(minEngineTime, g.Fleet.engineTime(c, g.order.relativeLength(c)))
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	g.order.sharesOf(c.service).Offer(now, c.workspace.Name, c.engineTime)
}

// recordUse records that a call is sent to a target.
func (g *Gateway) recordUse(now time.Time, c *call) {
	if c.workspace == nil {
		return
	}
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	g.order.sharesOf(c.service).Use(now, c.workspace.Name, c.engineTime)
}

// withdrawUse takes back what recordUse recorded at a time, for an attempt that did not run.
func (g *Gateway) withdrawUse(now time.Time, c *call, usedAt time.Time) {
	if c.workspace == nil {
		return
	}
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	g.order.sharesOf(c.service).Withdraw(now, c.workspace.Name, c.engineTime, usedAt)
}

// standing returns the standing of the call's workspace.
func (g *Gateway) standing(now time.Time, c *call) fairshare.Standing {
	if c.workspace == nil {
		return fairshare.Within
	}
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	return g.order.sharesOf(c.service).Standing(now, c.workspace.Name)
}

// contended reports whether requests contend for the selected target: it has no free slot,
// or the call waits there for a part of its objective.
func (c *call) contended(sel selection) bool {
	return (sel.replica.Slots > 0 && sel.load >= sel.replica.Slots) || float64(sel.wait) >= contendedWait*float64(c.route.Objective)
}

// urgencyAt returns the urgency with which a call is sent to the selected target.
func (g *Gateway) urgencyAt(now time.Time, c *call, sel selection) int {
	if c.urgency != c.urgencyAboveShare && c.contended(sel) && g.standing(now, c) == fairshare.Above {
		return c.urgencyAboveShare
	}
	return c.urgency
}

// patience returns the time for which the caller still waits for a response to begin.
func (c *call) patience(now time.Time) time.Duration {
	left := c.remaining(now)
	if c.model != "" {
		left = min(left, callerTimeout(c.route.Objective)-now.Sub(c.start))
	}
	return left
}

// rejects returns the reason to reject a call for which the selected target is the best
// one, empty if it is to be sent there. It sets the call's Retry-After. A call that was
// admitted before, continues a stream or was sent to a target is rejected only if its caller
// would leave. Started streams are never rejected, nor are requests without a model unless
// the deployment has workspaces.
func (g *Gateway) rejects(now time.Time, c *call, sel selection, admitted bool) string {
	if c.alwaysAdmitted() {
		return ""
	}
	standing := g.standing(now, c)
	r := c.overloadRequest(now, standing, admitted)
	f := g.Fleet.forecast(now, c, sel)
	g.order.mu.Lock()
	d := g.order.overload.Decide(now, c.service, r, f, rand.Float64())
	g.order.mu.Unlock()
	if d.Admitted() {
		return ""
	}
	c.retryAfter = d.RetryAfter
	g.logShed(now, c, sel, d, standing)
	return d.Reason.String()
}

// wouldReject reports whether rejects would return a reason, without recording anything.
func (g *Gateway) wouldReject(now time.Time, c *call, sel selection) bool {
	if c.alwaysAdmitted() {
		return false
	}
	r, f := c.overloadRequest(now, g.standing(now, c), false), g.Fleet.forecast(now, c, sel)
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	return g.order.overload.Rejects(now, c.service, r, f)
}

// previewRejection returns what rejects would decide on a call that was not admitted before,
// without recording anything. The decision's reason is overload.Admitted if the call is always
// admitted.
func (g *Gateway) previewRejection(now time.Time, c *call, sel selection) overload.Decision {
	if c.alwaysAdmitted() {
		return overload.Decision{}
	}
	r, f := c.overloadRequest(now, g.standing(now, c), false), g.Fleet.forecast(now, c, sel)
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	return g.order.overload.Preview(now, c.service, r, f, rand.Float64())
}

// alwaysAdmitted reports whether the call is sent however long it waits.
func (c *call) alwaysAdmitted() bool {
	return c.headerSent || (c.model == "" && c.workspace == nil)
}

// overloadRequest returns the properties of a call on which its admission depends.
func (c *call) overloadRequest(now time.Time, standing fairshare.Standing, admitted bool) overload.Request {
	r := overload.Request{
		Class:         c.route.Name,
		Urgency:       c.urgency,
		Objective:     c.route.Objective,
		ClassPatience: callerTimeout(c.route.Objective), // whatever deadline the caller states
		Patience:      c.patience(now),
		AboveShare:    standing == fairshare.Above,
		Starved:       standing == fairshare.Starved,
		Queued:        admitted || c.takesUp() || c.possibleRuns > 0,
	}
	if c.workspace != nil {
		r.Class += "/" + c.workspace.Name
	}
	return r
}

// reasonLoadShare is the reason of a call whose adapter is not loaded because its workspace
// uses more than its share of the loads.
const reasonLoadShare = "load_share"

// loadWork is what each load counts as in the shares of loads, which have no other unit.
const loadWork = time.Second

// offerLoad records that a call needs a load at the selected target, unless that was asked
// to load the adapter before.
func (g *Gateway) offerLoad(now time.Time, c *call, sel selection) {
	if c.needsLoad || !c.causesLoad(sel) {
		return
	}
	c.needsLoad = true
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	g.order.loads.Offer(now, c.workspace.Name, loadWork)
}

// causesLoad reports whether a call of a workspace needs a load at the selected target that
// was not requested yet.
func (c *call) causesLoad(sel selection) bool { return c.workspace != nil && sel.newLoad }

// lacksLoadShare reports whether a call needs a load that is to be left to others: loads
// wait for each other at the selected target, and the call's workspace uses more than its
// share of them. A call that continues a stream or was sent to a target is not ended for that.
func (g *Gateway) lacksLoadShare(now time.Time, c *call, sel selection) bool {
	if !c.needsLoad || c.usesLoad || !sel.loadsWait || c.continues() || c.possibleRuns > 0 {
		return false
	}
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	return g.order.loads.Standing(now, c.workspace.Name) == fairshare.Above
}

// recordLoad records that a call waits for a load.
func (g *Gateway) recordLoad(now time.Time, c *call) {
	if !c.needsLoad || c.usesLoad {
		return
	}
	c.usesLoad = true
	g.order.mu.Lock()
	defer g.order.mu.Unlock()
	g.order.loads.Use(now, c.workspace.Name, loadWork)
}

// forecast returns the forecast of a call at the selected target. A target has capacity if
// a slot is free and no prompt is ahead, however long requests took there before.
func (f *Fleet) forecast(now time.Time, c *call, sel selection) overload.Forecast {
	out := overload.Forecast{At: now, Wait: sel.wait, Free: sel.resident && sel.load < sel.replica.Slots && sel.backlog == 0}
	if c.model == "" {
		return out
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	latency := f.latencyOf(c.service)
	out.Work = sel.extra + latency.readTime.Intercept() + time.Duration(c.promptTokens())*latency.readTime.Slope()
	return out
}

// engineTime returns the time of an engine that a call takes: that to read its prompt, and
// its slot's part of the time in which its response is generated.
func (f *Fleet) engineTime(c *call, relativeLength float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	latency := f.latencyOf(c.service)
	generate := latency.duration.Value()
	if c.model != "" {
		generate = max(0, generate-latency.firstEvent.Value())
	}
	slots := 1
	if x := f.services[c.service]; x != nil && len(x.all.targets) > 0 {
		slots = max(1, x.all.targets[0].replica.Slots)
	}
	read := time.Duration(c.promptTokens()) * f.tokenTime(c.service)
	return read + time.Duration(relativeLength*float64(generate)/float64(slots))
}

// logShed logs the decision to reject a call, and the share of a workspace above it.
func (g *Gateway) logShed(now time.Time, c *call, sel selection, d overload.Decision, standing fairshare.Standing) {
	name := c.workspaceName()
	g.Log.Event(event.RequestShed).
		Str("request", c.meta.ID).
		Str("workspace", name).
		Str("reason", d.Reason.String()).
		Str("target", sel.replica.ID).
		Int("urgency", c.urgency).
		Str("standing", standing.String()).
		Dur("wait", d.Wait).
		Dur("limit", d.Limit).
		Dur("retry_after", d.RetryAfter).
		Send()
	if d.Reason != overload.AboveShare {
		return
	}
	g.order.mu.Lock()
	used, fair := g.order.sharesOf(c.service).Share(now, name)
	due := now.Sub(g.order.loggedAt[name]) >= shareLogInterval
	if due {
		g.order.loggedAt[name] = now
	}
	g.order.mu.Unlock()
	if due {
		g.Log.Event(event.ShareExceeded).Str("workspace", name).Str("service", c.service).Float64("used", used).Float64("fair", fair).Send()
	}
}

// countRejection counts a rejected request of a workspace.
func (g *Gateway) countRejection(w *routing.Workspace, reason string) {
	if w != nil {
		g.Scope.Tagged(map[string]string{"workspace": w.Name, "reason": reason}).Counter("rejections").Inc(1)
	}
}

// updateGauges updates the gauges of the workspaces' shares.
func (o *requestOrder) updateGauges(now time.Time, scope tally.Scope) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, shares := range o.shares {
		shares.Each(now, func(workspace string, used, fair float64) {
			s := scope.Tagged(map[string]string{"workspace": workspace, "service": service})
			s.Gauge("share_used").Update(used)
			s.Gauge("share_fair").Update(fair)
		})
	}
}
