package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/streams"
)

// Values of Retry-After.
const (
	// shortRetryAfter applies to rejections whose cause is expected to end soon, and is the
	// least time stated.
	shortRetryAfter = 200 * time.Millisecond
	// longRetryAfter applies where nothing tells when there will be capacity: before the
	// first configuration, to a service without targets, to bodies without memory and to
	// quarantined requests. It is about the time in which a target starts.
	longRetryAfter = 2 * time.Second
)

// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// Options holds the dependencies and limits of a Gateway.
type Options struct {
	HeaderCodec   HeaderCodec
	Fleet         *Fleet
	Client        *upstream.Client
	Configuration *atomic.Pointer[routing.Configuration] // configuration in force, nil until the first one
	Confirmations *confirmations                         // of the configuration in force
	RetryBudget   *retryBudget
	CrashTracker  *crashTracker
	Credit        *credit.Accounts // of workspaces with a quota, nil to enforce none
	Log           event.Log
	Scope         tally.Scope
	Limits        settings.Limits // of the VM
}

// Gateway routes callers' requests to targets.
type Gateway struct {
	Options
	stopping   atomic.Bool  // responses ask callers to close their connections
	closing    atomic.Bool  // requests are rejected
	inProgress atomic.Int64 // requests
	admission  *admissionControl
	order      *requestOrder

	endsAt   atomic.Pointer[time.Time] // when the calls in progress are to end, nil unless stopping
	ending   context.Context           // done at that time
	endCalls context.CancelFunc
}

// New returns a gateway.
func New(opts Options) *Gateway {
	g := &Gateway{Options: opts, admission: newAdmissionControl(opts.Limits.Descriptors, opts.Limits.Memory), order: newRequestOrder()}
	g.ending, g.endCalls = context.WithCancel(context.Background())
	if opts.Client != nil {
		opts.Fleet.trackConns(opts.Client)
	}
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	meta := g.HeaderCodec.ParseRequest(r.Header)
	m, rejected := g.match(meta, r.Host, rawPath(r))
	switch {
	case rejected.unidentified:
		g.rejectUnidentified(w, r, meta, rejected)
		return
	case rejected.status != 0:
		g.reject(w, meta.ID, rejected.status, rejected.reason, rejected.after)
		return
	}
	cfg, route := m.cfg, m.route
	place, untilRoom := g.admission.enter(now, cfg, m.workspace)
	if place == nil {
		g.countRejection(m.workspace, reasonNoRoom)
		g.rejectUnread(w, r, meta.ID, 503, reasonNoRoom, meta.honoured(untilRoom))
		return
	}
	defer func() { place.leave(time.Now()) }()
	bodyMemory := &lease{admission: g.admission}
	defer bodyMemory.shrink(0)
	body, err := g.readBody(r, cfg.Limits.BodyBytes, bodyMemory)
	if err != nil {
		bodyMemory.shrink(0)
		g.rejectBody(w, r, meta, err)
		return
	}
	if g.closing.Load() { // after the body was read, so that the connection isn't reset
		g.reject(w, meta.ID, 503, "stopping", spread(shortRetryAfter))
		return
	}
	service, version, reason := route.Pick(rand.Float64()), "", ""
	if takesUp(route, meta) {
		var o streams.Origin
		if o, reason = g.findOrigin(r.Context(), now, route, meta); reason == "" {
			service, version = o.Service, o.Version
		}
	}
	c := newCall(now, meta, route, service, r, body)
	c.revision, c.softwareVersion = cfg.Version, version
	c.setOrder(cfg, m.workspace)
	c.identified = cfg.HasWorkspaces()
	c.memory = lease{admission: g.admission, use: response}
	c.request.Reserve = c.memory.reserve
	if conn := callerConnOf(r.Context()); conn != nil {
		c.request.Owner = conn.id
	}
	defer c.memory.shrink(0)
	g.RetryBudget.recordRequest(now, service)
	if reason != "" {
		g.respondFailure(r.Context(), w, c, reason)
		return
	}
	if g.CrashTracker.quarantined(now, c) {
		g.respondFailure(r.Context(), w, c, reasonQuarantined)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	charge, reason := g.spendCredit(ctx, c)
	if reason != "" {
		g.respondFailure(r.Context(), w, c, reason)
		return
	}
	defer g.refundCredit(c, charge)
	g.recordOffer(time.Now(), c) // what exceeds the quota is no demand
	g.runAttempts(ctx, r.Context(), w, c)
}

// rawPath returns the path as sent by the caller, without the query.
func rawPath(r *http.Request) string { return pathOf(r.RequestURI) }

// pathOf returns a request's URI without the query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// reject responds to a request that is rejected before a call exists for it.
func (g *Gateway) reject(w http.ResponseWriter, id string, status int, reason string, after time.Duration) {
	g.Log.Event(event.RequestRejected).Str("request", id).Int("status", status).Str("reason", reason).Send()
	g.countRequest("rejected", reason)
	g.setConnection(w.Header())
	g.HeaderCodec.SetRejection(w.Header(), id, after)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
}

// setConnection asks the caller to close the connection if the process is stopping.
func (g *Gateway) setConnection(h http.Header) {
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

// countRequest counts a request by the kind of its route, or as "rejected" if it
// had no call.
func (g *Gateway) countRequest(kind, reason string) {
	g.Scope.Tagged(map[string]string{"kind": kind, "reason": reason}).Counter("requests").Inc(1)
}

// recordOutcome logs and counts a finished call.
func (g *Gateway) recordOutcome(c *call, status int, reason string) {
	code := event.RequestEnded
	if reason != reasonDelivered {
		code = event.RequestFailed
	}
	e := g.Log.Event(code).
		Str("request", c.meta.ID).
		Str("route", c.route.Name).
		Str("workspace", c.workspaceName()).
		Str("service", c.service).
		Str("adapter", c.adapter.Name).
		Int64("revision", c.revision).
		Int("status", status).
		Str("reason", reason).
		Int("sent", c.attemptsSent).
		Int("ran", c.possibleRuns).
		Dur("waited", c.adapterWait).
		Dur("held", c.heldFor).
		Dur("took", time.Since(c.start))
	if !c.firstEvent.IsZero() {
		e = e.Dur("first_event", c.firstEvent.Sub(c.start)).Dur("gap", c.longestGap)
	}
	if code == event.RequestFailed {
		e = e.Strs("targets", c.history)
	}
	e.Send()
	g.countRequest(c.route.Kind.String(), reason)
	tags := map[string]string{"kind": c.route.Kind.String(), "reason": reason}
	g.Scope.Tagged(tags).Histogram("request_seconds", latencyBuckets).RecordDuration(time.Since(c.start))
	if !c.firstEvent.IsZero() {
		g.Scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(c.firstEvent.Sub(c.start))
	}
}

// latencyBuckets are the buckets of the latency histograms: from 5 ms, doubling
// to 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
