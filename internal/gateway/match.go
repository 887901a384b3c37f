package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/routing"
)

// match is what applies to a request according to its head.
type match struct {
	cfg       *routing.Configuration // nil before the first one
	route     *routing.Route         // nil if none matches
	workspace *routing.Workspace     // of the caller, nil for none
}

// rejection is the response to a request that is rejected before a call exists for it. The
// zero value is none.
type rejection struct {
	status       int
	reason       string
	after        time.Duration // of Retry-After, zero for none
	unidentified bool          // because of the request's key
}

// match returns what applies to a request, or why it is rejected.
func (g *Gateway) match(meta RequestMeta, host, path string) (m match, rejected rejection) {
	latest := g.latestConfirmation()
	m.cfg = g.Configuration.Load()
	if m.cfg == nil || !g.Fleet.Listed() {
		return m, rejection{status: 503, reason: "no_configuration", after: spread(longRetryAfter)}
	}
	var ok bool
	if m.route, ok = m.cfg.Match(host, path); !ok {
		m.route = nil
		return m, rejection{status: 404, reason: "no_route"}
	}
	if !m.cfg.HasWorkspaces() || m.route.Public {
		return m, rejection{}
	}
	w, reason := g.identify(latest, m.cfg, host, path, keyOf(meta))
	if reason != "" {
		return m, unidentified(meta, reason)
	}
	m.workspace = w
	return m, rejection{}
}
