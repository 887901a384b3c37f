package gateway

import (
	"net/http"

	"github.com/borageusher/borageusher/pkg/confirmation"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Reasons for which a request is rejected because of its key.
const (
	reasonNoKey        = "no_key"
	reasonUnknownKey   = "unknown_key"
	reasonKeyWithdrawn = "key_withdrawn" // recently: a process may still have a configuration in force that allows the request
	reasonUnconfirmed  = "unconfirmed"   // the configuration may be too old to tell
)

// callerKey is the key by which a caller identifies itself.
type callerKey struct {
	digest  routing.KeyDigest
	present bool // the request has exactly one
}

func keyOf(m RequestMeta) callerKey { return callerKey{m.Key, m.HasKey} }

// workspaceOf returns the workspace that holds a key, nil if none does.
func workspaceOf(cfg *routing.Configuration, key callerKey) *routing.Workspace {
	if !key.present {
		return nil
	}
	w, _ := cfg.Workspace(key.digest)
	return w
}

// allows reports whether a configuration allows a request with a key.
func allows(cfg *routing.Configuration, host, path string, key callerKey) bool {
	route, ok := cfg.Match(host, path)
	return ok && (route.Public || !cfg.HasWorkspaces() || workspaceOf(cfg, key) != nil)
}

// latestConfirmation returns the confirmation of the configuration in force. A caller that
// loads the configuration afterwards gets the confirmed one or a newer one.
func (g *Gateway) latestConfirmation() confirmation.Confirmation {
	if g.Confirmations == nil {
		return confirmation.Confirmation{}
	}
	return *g.Confirmations.latest.Load()
}

// identify returns the workspace of a request that its route requires to have one, or the
// reason to reject it. cfg was loaded after latest, and latest after the request arrived.
func (g *Gateway) identify(latest confirmation.Confirmation, cfg *routing.Configuration, host, path string, key callerKey) (*routing.Workspace, string) {
	w := workspaceOf(cfg, key)
	switch {
	case g.Confirmations == nil:
		return nil, reasonUnconfirmed
	case w != nil && g.Confirmations.mayAccept(latest):
		return w, ""
	case w != nil || !g.Confirmations.mayDeny(latest):
		return nil, reasonUnconfirmed
	case g.Confirmations.mayStillAllow(host, path, key):
		return nil, reasonKeyWithdrawn
	case !key.present:
		return nil, reasonNoKey
	}
	return nil, reasonUnknownKey
}

// unidentified returns the response to a request that identify rejected.
func unidentified(meta RequestMeta, reason string) rejection {
	rejected := rejection{http.StatusServiceUnavailable, reason, shortRetryAfter, true}
	switch reason {
	case reasonNoKey, reasonUnknownKey:
		rejected.status, rejected.after = http.StatusUnauthorized, 0
	case reasonUnconfirmed:
		rejected.after = longRetryAfter
	}
	if meta.Deadline > 0 {
		rejected.after = min(rejected.after, meta.Deadline/retryAfterDivisor)
	}
	return rejected
}

// rejectUnidentified responds to a request that identify rejected. Its body was not read.
func (g *Gateway) rejectUnidentified(w http.ResponseWriter, r *http.Request, meta RequestMeta, rejected rejection) {
	g.countUnidentified(rejected.reason)
	if rejected.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	g.rejectUnread(w, r, meta.ID, rejected.status, rejected.reason, rejected.after)
}

func (g *Gateway) countUnidentified(reason string) {
	g.Scope.Tagged(map[string]string{"reason": reason}).Counter("requests_unidentified").Inc(1)
}

// identifyAgain looks up the workspace of a call before an attempt, because its key may
// have been withdrawn or moved while the call waited. It returns the reason if the call may
// not be sent: that of a key which is no longer known is never reasonUnknownKey, since the
// configuration that admitted the call knew it.
func (g *Gateway) identifyAgain(c *call) string {
	latest := g.latestConfirmation()
	cfg := g.Configuration.Load()
	if !cfg.HasWorkspaces() {
		c.setOrder(cfg, nil)
		return ""
	}
	c.identified = true
	path := pathOf(c.request.URI)
	public := c.route.Public
	if route, ok := cfg.Match(c.request.Host, path); ok {
		public = route.Public
	}
	if public {
		c.setOrder(cfg, nil)
		return ""
	}
	w, reason := g.identify(latest, cfg, c.request.Host, path, keyOf(c.meta))
	if reason == reasonNoKey || reason == reasonUnknownKey {
		reason = reasonKeyWithdrawn
	}
	if reason != "" {
		g.countUnidentified(reason)
		return reason
	}
	c.setOrder(cfg, w)
	return ""
}

// workspaceName returns the name of the call's workspace, empty if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
