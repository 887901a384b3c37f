package gateway

import (
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/routing"
)

// call is one request of a caller on its way to an answer.
type call struct {
	meta     Meta
	route    *routing.Route
	revision int64 // of the configuration that it is handled under
	service  string
	model    string
	adapter  orders.Adapter
	header   http.Header // as the caller sent it
	request  upstream.Request
	body     []byte

	placement uint64 // rendezvous key
	start     time.Time
	deadline  time.Time

	tried   map[string]bool // targets that may have run it
	refused map[string]bool // targets that said they did not run it
	sent    int             // arrivals at targets
	ran     int             // arrivals that may have run
	unsent  int             // targets that could not be reached
	waitsAt *node           // target that is to load the adapter, nil while none is

	waited   time.Duration // for adapters
	comeBack time.Duration // until it can be served, as far as known

	firstEvent time.Time
	trail      []string // targets of the attempts, with what decided them
	started    bool     // the head of the answer was written to the caller
	lastEvent  string   // of a stream, the last that was passed on
	fallback   *whole   // a target's failure, delivered if nothing better comes
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func newCall(now time.Time, m Meta, route *routing.Route, service string, r *http.Request, body []byte) *call {
	within := route.Timeout
	if m.Deadline > 0 && (within <= 0 || m.Deadline < within) {
		within = m.Deadline
	}
	if within <= 0 {
		within = unboundedTimeout
	}
	c := &call{
		meta:     m,
		route:    route,
		service:  service,
		model:    m.Model,
		adapter:  orders.Adapter{Model: m.Model, Name: m.Adapter},
		header:   r.Header,
		body:     body,
		start:    now,
		deadline: now.Add(within),
		tried:    map[string]bool{},
		refused:  map[string]bool{},
	}
	c.request = upstream.Request{
		ID:     m.ID,
		Method: r.Method,
		URI:    r.RequestURI,
		Host:   r.Host,
		Body:   body,
		Sized:  r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut,
	}
	c.placement = placement.Hash(m.Model + "/" + m.Adapter)
	if m.Adapter == "" && len(m.Prompt) > 0 {
		c.placement = placement.Hash(m.Model + "//" + m.Prompt[len(m.Prompt)-1])
	}
	return c
}

// unboundedTimeout ends requests for which neither the caller nor the route
// sets a time.
const unboundedTimeout = time.Minute

// idempotent reports whether the request may run again.
func (c *call) idempotent() bool { return c.route.Idempotent() }

// mayRepeat reports whether another attempt is allowed after one that may have
// run.
func (c *call) mayRepeat() bool { return c.idempotent() && c.ran < c.route.MaxAttempts }

// left returns the time until nobody waits for the answer.
func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// patience returns until when a call waits for an adapter: one objective, or
// half of the time that is left. A caller that would wait longer is told when to
// come back instead.
func (c *call) patience(now time.Time) time.Time {
	return now.Add(min(c.route.Objective, c.left(now)/2))
}
