package routing

import (
	"strings"
	"time"
)

// Kind classifies requests by whether they may run more than once.
type Kind uint8

// The kinds of requests.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run any number of times
	Stream             // answered by a stream of events; runs at most once unless it can be resumed
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Unsafe:
		return "unsafe"
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unrecognised"
}

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string
	Weight  float64 // relative to the sum over the route's shares
}

// Route is the rule for the requests of one host under one path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Public      bool          // callers need no key
	Resumable   bool          // a broken stream may be resumed at another target after its last event
	Timeout     time.Duration // until the final answer
	Objective   time.Duration // until the answer, or a stream's first event
	MaxEventGap time.Duration // between two events of a stream, up to which it counts as on time
	Urgency     int           // 0 is the most urgent
	MaxAttempts int           // maximum number of targets to which one request is sent
	Shares      []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.ResumesStreams() }

// ResumesStreams reports whether a broken stream of the route may be continued by another
// run after its last event. Safe requests run anew from the beginning.
func (r *Route) ResumesStreams() bool { return r.Kind == Stream && r.Resumable }

// Pick returns the service for a random number draw from [0,1), by weight. It returns
// the empty string if the route has no share with a weight above zero.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	at, last := draw*total, ""
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		last = s.Service
		if at < s.Weight {
			break
		}
		at -= s.Weight // may end above zero by rounding
	}
	return last
}

// Model is a base model that the engines of a service may have loaded.
type Model struct {
	Name         string
	WeightsMB    float64       // size of the weights
	LoadTime     time.Duration // from the weight store
	AdapterCount int           // number of adapters of the model
	AdapterMB    float64       // size of one adapter
	HostLoadTime time.Duration // load time of weights that are still in the VM's memory
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int // maximum number of requests in one batch
	CacheTokens  int // capacity for the tokens of all running and cached prompts
	Models       []Model
	WeightsMB    float64 // capacity for weights and adapters
	AdapterSlots int     // maximum number of adapters held
	LoadRate     float64 // loads of weights per second, over all targets
}

// Service describes a service and the targets that serve it.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one target, from all processes
	Engine         *Engine // nil for plain services
}

// Limits are the limits on the size of callers' requests and on the time that callers
// may take.
type Limits struct {
	BodyBytes   int64         // maximum size of the body
	IdleTimeout time.Duration // between two requests on a connection
}

// Configuration is one accepted version of the traffic rules. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	hosts        map[string][]*Route // by host in lower case
	workspaces   Workspaces
	requiresKeys bool // callers have to identify themselves
	urgencies    urgencies
}

// New returns the configuration of the given routes and services. It retains the
// slice of routes.
func New(version int64, routes []Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]*Route{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.hosts[host] = append(c.hosts[host], &routes[i])
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Match returns the route of host with the longest prefix that matches path, and
// false if there is none. The port and the case of host are ignored.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	var found *Route
	for _, r := range c.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found, found != nil
}

// normalHost returns host in lower case without a port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
