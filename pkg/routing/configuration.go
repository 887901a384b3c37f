package routing

import (
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind uint8

// The kinds of requests.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run any number of times
	Stream             // answered by events; runs at most once unless it can be resumed
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

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Route says how the requests of one host under one path prefix are treated.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a broken stream may go on elsewhere after its last event
	Timeout     time.Duration // until the final answer
	Objective   time.Duration // until the answer, or a stream's first event
	MaxPause    time.Duration // between events of a stream that is on time
	Urgency     int           // 0 is the most urgent
	MaxAttempts int           // targets that one request may be sent to
	Shares      []Share
}

// Idempotent reports whether a request of the route may run again.
func (r *Route) Idempotent() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Pick returns the service for a draw from [0,1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := draw * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a base model that the engines of a service may hold.
type Model struct {
	Name        string
	WeightsMB   float64
	LoadTime    time.Duration // from the weight store
	Adapters    int
	AdapterMB   float64
	HostedAgain time.Duration // load time from the VM's memory
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int // requests in one batch
	CacheTokens  int // tokens of all running and cached prompts
	Models       []Model
	WeightsMB    float64 // room for weights and adapters
	AdapterSlots int
	LoadRate     float64 // loads of weights a second, over all targets
}

// Service is what the targets of one name serve.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // to one target, from all processes
	Engine         *Engine // nil for plain services
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of the traffic rules.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	hosts map[string][]*Route
}

// New returns the configuration of the given routes.
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

// Match returns the route of host with the longest prefix that begins path.
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
