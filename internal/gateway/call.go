package gateway

import (
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/promptcache"
	"github.com/borageusher/borageusher/pkg/quarantine"
	"github.com/borageusher/borageusher/pkg/routing"
)

// call is one request of a caller and the state of its attempts.
type call struct {
	meta       RequestMeta
	route      *routing.Route
	revision   int64              // configuration revision that applies to the call
	workspace  *routing.Workspace // that the caller belongs to, nil without one
	identified bool               // callers of the deployment identify themselves
	service    string
	model      string
	adapter    orders.Adapter
	header     http.Header // as sent by the caller
	request    upstream.Request
	body       []byte
	bodyBytes  int // size of body; of an explained request, whose body is not known, its stated size

	urgency           int           // 0 is the most urgent; that of the route without workspaces
	urgencyAboveShare int           // while its workspace is above its share of contended capacity
	engineTime        time.Duration // expected time of an engine
	needsLoad         bool          // its adapter had to be loaded for it
	usesLoad          bool          // and it waited for the load

	segments       []quarantine.Fingerprint // shared segments of the prompt
	promptSegments []promptcache.Segment    // the same segments, nil if their tokens are not known
	prompt         promptcache.Prompt       // of those segments; guarded by the fleet's mu, as is promptVersion
	promptVersion  int64                    // version of the adapter that prompt is for
	placementKey   uint64                   // key of rendezvous hashing: the adapter or, without one, the last shared segment of the prompt
	start          time.Time
	deadline       time.Time

	tried           map[string]bool // targets that may have run it, by id
	refused         map[string]bool // targets that proved not to have run it or could not be reached, by id
	attemptsSent    int             // attempts that reached a target
	possibleRuns    int             // attempts that may have run
	connectFailures int             // attempts that never reached a target
	reselections    int             // choices of another target because of a targetd's answer
	permitTarget    *targetState    // target to which a permit allows to send the call, nil for none
	permitAt        time.Time       // when that permit was issued
	permitRefusals  int             // refused permits since the last attempt
	permitUntil     time.Time       // end of the wait for permits, zero before the first request for one
	waitTarget      *targetState    // target that is to load the adapter, nil if not waiting
	offeredTarget   *targetState    // target to which the prompt was offered, nil while it is not

	heldFor     time.Duration // total time waited because another request with a suspect segment ran
	permitWait  time.Duration // total time waited for permits
	adapterWait time.Duration // total time waited for a target, mostly for adapters to load
	retryAfter  time.Duration // expected time until the adapter is loaded, zero if unknown

	firstEvent      time.Time
	lastEventAt     time.Time         // of any attempt
	longestGap      time.Duration     // between two events
	history         []string          // routing decisions, logged if the call fails
	headerSent      bool              // the response header was written to the caller
	unrepeatable    bool              // part of a response that no other one can continue was written to the caller
	lastEventID     string            // of the last event relayed to the caller
	softwareVersion string            // at which the stream began, empty if none did or it is not known
	fallback        *bufferedResponse // a target's 5xx response, delivered if no attempt succeeds

	memory       lease // of the current response and the fallback
	fallbackHeld int64 // bytes of memory for the fallback
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newCall(now time.Time, m RequestMeta, route *routing.Route, service string, r *http.Request, body []byte) *call {
	within := route.Timeout
	if m.Deadline > 0 && (within <= 0 || m.Deadline < within) {
		within = m.Deadline
	}
	if within <= 0 {
		within = defaultTimeout
	}
	c := &call{
		meta:      m,
		route:     route,
		service:   service,
		model:     m.Model,
		adapter:   orders.Adapter{Model: m.Model, Name: m.Adapter},
		header:    r.Header,
		body:      body,
		bodyBytes: len(body),
		start:     now,
		deadline:  now.Add(within),

		urgency: route.Urgency, urgencyAboveShare: route.Urgency,

		tried:   map[string]bool{},
		refused: map[string]bool{},
	}
	c.request = upstream.Request{
		ID:      m.ID,
		Method:  r.Method,
		URI:     r.RequestURI,
		Host:    r.Host,
		Body:    body,
		HasBody: r.ContentLength != 0 || r.Method == http.MethodPost || r.Method == http.MethodPut,
	}
	c.segments = segmentFingerprints(service, m.PromptSegments)
	c.promptSegments = promptSegments(m)
	c.placementKey = adapterKey(c.adapter)
	if m.Adapter == "" && len(m.PromptSegments) > 0 {
		c.placementKey = placement.Hash(m.Model + "//" + m.PromptSegments[len(m.PromptSegments)-1])
	}
	return c
}

// defaultTimeout applies to requests for which neither the caller nor the route
// sets a timeout.
const defaultTimeout = time.Minute

// promptTokens returns the number of tokens of the call's prompt, at least one for a
// model.
func (c *call) promptTokens() int {
	if c.model == "" {
		return 0
	}
	return max(1, c.meta.PromptTokens)
}

// idempotent reports whether the request may run more than once.
func (c *call) idempotent() bool { return c.route.Idempotent() }

// takesUp reports whether the caller continues a stream that an earlier request of it
// began.
func (c *call) takesUp() bool { return takesUp(c.route, c.meta) }

// streamID returns the id of the request that brought the first event of the call's stream,
// empty if the caller does not name it.
func (c *call) streamID() string {
	if c.takesUp() {
		return c.meta.StreamID
	}
	return c.meta.ID
}

// continues reports whether an attempt continues a stream, which only a target of the
// version that began it may do.
func (c *call) continues() bool { return c.headerSent || c.takesUp() }

// mayRetry reports whether another attempt is allowed after one that may have
// run.
func (c *call) mayRetry() bool {
	return c.idempotent() && !c.unrepeatable && c.possibleRuns < c.route.MaxAttempts
}

// remaining returns the time until the call's deadline.
func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// adapterWaitDeadline returns the time until which a call waits for an adapter:
// one objective, or half of the remaining time if that is less. A caller that
// would wait longer gets a Retry-After instead.
func (c *call) adapterWaitDeadline(now time.Time) time.Time {
	return now.Add(min(c.route.Objective, c.remaining(now)/2))
}
