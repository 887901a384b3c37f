package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/placement"
)

// Options configure an Entry.
type Options struct {
	Self           peer.Identity
	Configurations Configurations
	Revision       func() uint64 // configuration revision sent in heartbeats if Gossip is nil
	Targets        Targets
	Suspects       Suspects // crash records of requests
	Dialer         Dialer
	Gossip         Gossip            // gossip over the peer connections, nil for none
	Claims         Claims            // claim records of idempotency keys
	MaxInProgress  int               // maximum concurrent calls
	StartWithin    time.Duration     // default time within which a call must start
	LoadLimits     loadbudget.Limits // adapter load limits; with a rate of zero this entryd grants no load permits
	Costs          placement.Costs   // cost weights for choosing a target
	Log            event.Log
	Scope          tally.Scope
}

// Entry serves the callers' HTTP API.
type Entry struct {
	opts    Options
	chain   Handler
	limit   *limitFilter
	stop    stopFilter
	links   *linkTable
	counter atomic.Uint64
}

// New returns an Entry. Register adds its routes to a server.
func New(opts Options) *Entry {
	e := &Entry{
		opts:  opts,
		limit: newLimitFilter(opts.MaxInProgress),
		links: newLinkTable(opts.Dialer, opts.Log, opts.Revision),
	}
	e.links.gossip = opts.Gossip
	e.links.allocator = newPermitAllocator(opts.LoadLimits, opts.Log)
	last := &router{
		targets:  opts.Targets,
		views:    newViewCache(opts.Self.Region, opts.Costs, e.links),
		suspects: opts.Suspects,
		links:    e.links,
		stats:    newStatsTable(),
		claims:   opts.Claims,
		log:      opts.Log,
		scope:    opts.Scope,
	}
	e.chain = chain(last, &e.stop, identifyFilter{configurations: opts.Configurations}, resolveFilter{}, quarantineFilter{suspects: opts.Suspects}, e.limit)
	return e
}

// Register adds the routes of the callers' API to h.
func (e *Entry) Register(h *server.Hertz) {
	h.POST("/v1/completions", e.serveCompletion)
	h.POST("/v1/chat/completions", e.serveCompletion)
	h.GET("/v1/models", e.serveModels)
	h.Any("/services/:service/*path", e.servePlain)
	h.Any("/services/:service", e.servePlain)
}

// RejectCalls rejects all further calls.
func (e *Entry) RejectCalls() { e.stop.closing.Store(true) }

// InProgress returns the number of calls in progress.
func (e *Entry) InProgress() int { return e.limit.InProgress() }

// serveCompletion handles the completion routes of the OpenAI API.
func (e *Entry) serveCompletion(ctx context.Context, rc *app.RequestContext) {
	c, ok := e.newCall(rc)
	if !ok {
		return
	}
	e.serve(ctx, rc, c)
}

// servePlain handles requests to plain services, those without adapters.
func (e *Entry) servePlain(ctx context.Context, rc *app.RequestContext) {
	c, ok := e.newCall(rc)
	if !ok {
		return
	}
	c.Service = rc.Param("service")
	c.TargetPath = plainPath(c.Path, c.Service)
	e.serve(ctx, rc, c)
}

// plainPath returns the part of path, including the query, after the service name.
// It always begins with a slash.
func plainPath(path, service string) string {
	rest := path[len("/services/")+len(service):]
	if rest == "" || rest[0] != '/' {
		return "/" + rest
	}
	return rest
}

// newCall builds a Call from the parts that all requests have in common. If a
// header is invalid it writes the error response and returns false.
func (e *Entry) newCall(rc *app.RequestContext) (*Call, bool) {
	now := time.Now()
	c := &Call{
		ID:             e.opts.Self.Incarnation + "-" + strconv.FormatUint(e.counter.Add(1), 10),
		BearerKey:      bearerKey(string(rc.GetHeader("Authorization"))),
		Method:         string(rc.Method()),
		Path:           string(rc.Request.URI().RequestURI()),
		ContentType:    string(rc.ContentType()),
		Body:           append([]byte(nil), rc.Request.Body()...),
		IdempotencyKey: string(rc.GetHeader("Idempotency-Key")),
		Deadline:       now.Add(e.opts.StartWithin),
	}
	c.Response = &response{rc: rc}
	rc.Header(requestIDHeader, c.ID)
	if result, ok := readHeaders(c, rc, now); !ok {
		writeError(rc, c, result)
		return nil, false
	}
	return c, true
}

// serve runs c through the filter chain and completes the response.
func (e *Entry) serve(ctx context.Context, rc *app.RequestContext, c *Call) {
	startedAt := time.Now()
	result := e.chain.Handle(ctx, c, startedAt)
	if !c.Adapter.IsZero() && !c.Response.Started() {
		rc.Header(adapterHeader, c.Adapter.Ref.String())
	}
	c.Response.(*response).finish(c, result)
	e.recordEnd(c, result, time.Since(startedAt))
}

// recordEnd logs the end of a call and updates the request metrics. A call that ended
// before its team and service were known is logged as RequestRejected.
func (e *Entry) recordEnd(c *Call, result Result, took time.Duration) {
	code := event.RequestEnded
	if c.Configuration == nil || c.Team == nil || c.Owner == "" {
		code = event.RequestRejected
	}
	line := e.opts.Log.Event(code).Str("request", c.ID).Stringer("outcome", result.Outcome).
		Stringer("reason", result.Reason).Dur("took", took)
	if c.Team != nil {
		line = line.Str("team", c.Team.Name).Stringer("adapter", c.Adapter)
	}
	line.Send()
	tags := map[string]string{"outcome": result.Outcome.String(), "reason": result.Reason.String()}
	e.opts.Scope.Tagged(tags).Counter("requests").Inc(1)
	e.opts.Scope.Timer("request_time").Record(took)
}
