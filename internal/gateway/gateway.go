package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Times of the advice when to come back.
const (
	// soon is for a refusal whose cause passes within moments.
	soon = 200 * time.Millisecond
	// later is for a service without targets: about as long as one takes to start.
	later = 2 * time.Second
)

// defaultBodyBytes bounds bodies where the configuration does not.
const defaultBodyBytes = 4 << 20

// Options are what a Gateway needs.
type Options struct {
	Dialect   Dialect
	Fleet     *Fleet
	Client    *upstream.Client
	Current   *atomic.Pointer[routing.Configuration]
	Allowance *allowance
	Crashes   *crashes
	Log       event.Log
	Scope     tally.Scope
	Limits    settings.Limits // of the VM
}

// Gateway serves callers' requests.
type Gateway struct {
	Options
	stopping   atomic.Bool
	inProgress atomic.Int64
	room       *room
}

// New returns a gateway.
func New(opts Options) *Gateway {
	return &Gateway{Options: opts, room: newRoom(opts.Limits.Descriptors, opts.Limits.Memory)}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	meta := g.Dialect.Request(r.Header)
	cfg := g.Current.Load()
	if cfg == nil || !g.Fleet.Known() {
		g.reject(w, meta.ID, 503, "no_configuration", later)
		return
	}
	route, ok := cfg.Match(r.Host, rawPath(r))
	if !ok {
		g.reject(w, meta.ID, 404, "no_route", 0)
		return
	}
	taken, ok := g.room.enter(r.ContentLength)
	if !ok {
		g.reject(w, meta.ID, 503, "no_room", soon)
		return
	}
	defer func() { g.room.leave(taken) }()
	body, status := readBody(w, r, cfg.Limits.BodyBytes)
	taken = g.room.resize(taken, int64(len(body)))
	if status != 0 {
		g.reject(w, meta.ID, status, "body", 0)
		return
	}
	service := route.Pick(rand.Float64())
	c := newCall(now, meta, route, service, r, body)
	c.revision = cfg.Version
	g.Allowance.request(now, service)
	if g.Crashes.convicted(now, c) {
		g.giveUp(r.Context(), w, c, "quarantined")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.serve(ctx, r.Context(), w, c)
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody returns the whole body, or the status that refuses it.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0
	case errors.As(err, &tooLarge):
		return nil, 413
	}
	return nil, 400 // the caller broke off
}

// reject answers a request that no call was made of.
func (g *Gateway) reject(w http.ResponseWriter, id string, status int, reason string, after time.Duration) {
	g.Log.At(event.RequestRejected).Str("request", id).Int("status", status).Str("reason", reason).Send()
	g.count("rejected", reason)
	g.Dialect.Refusal(w.Header(), id, after)
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
}

// count counts a request of a kind, or one that was rejected before it had any.
func (g *Gateway) count(kind, reason string) {
	g.Scope.Tagged(map[string]string{"kind": kind, "reason": reason}).Counter("requests").Inc(1)
}

// end logs and counts how a call ended.
func (g *Gateway) end(c *call, status int, reason string) {
	code := event.RequestEnded
	if reason != reasonDelivered {
		code = event.RequestFailed
	}
	e := g.Log.At(code).
		Str("request", c.meta.ID).
		Str("route", c.route.Name).
		Str("service", c.service).
		Str("adapter", c.adapter.Name).
		Int64("revision", c.revision).
		Int("status", status).
		Str("reason", reason).
		Int("sent", c.sent).
		Int("ran", c.ran).
		Dur("waited", c.waited).
		Dur("took", time.Since(c.start))
	if !c.firstEvent.IsZero() {
		e = e.Dur("first_event", c.firstEvent.Sub(c.start))
	}
	if code == event.RequestFailed {
		e = e.Strs("targets", c.trail)
	}
	e.Send()
	g.count(c.route.Kind.String(), reason)
	tags := map[string]string{"kind": c.route.Kind.String(), "reason": reason}
	g.Scope.Tagged(tags).Histogram("request_seconds", latencies).RecordDuration(time.Since(c.start))
	if !c.firstEvent.IsZero() {
		g.Scope.Histogram("first_event_seconds", latencies).RecordDuration(c.firstEvent.Sub(c.start))
	}
}

// latencies are the buckets of the histograms: from 5 ms, doubling to 20 s.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)
