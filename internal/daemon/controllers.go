package daemon

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/claims"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/gossip"
	"github.com/borageusher/borageusher/internal/members"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Controllers holds the control loops that keep a process's copy of the cluster
// state up to date: the configuration in force and the registered targets. Both
// are read from the object API and from peers.
type Controllers struct {
	Configurations *revision.Controller
	Members        *members.Controller
	Gossip         *gossip.Node // nil before Join
}

// NewControllers returns controllers without any state.
func NewControllers(store *objects.Client, log event.Log) *Controllers {
	return &Controllers{
		Configurations: revision.New(store.WithPurpose(objects.ForConfiguration), log),
		Members:        members.New(store.WithPurpose(objects.ForMembers), log),
	}
}

// Join creates the gossip node of the process self and connects it to the
// controllers. It must be called once, before Run.
func (c *Controllers) Join(self peer.Identity, s settings.Common, dialer *peer.Dialer, log event.Log, scope tally.Scope) {
	c.Gossip = gossip.New(gossip.Options{
		Self:           self,
		Configurations: c.Configurations,
		Members:        c.Members,
		Dialer:         dialer,
		Seeds:          s.Seeds,
		Log:            log,
		Scope:          scope,
	})
	c.Configurations.SetWatchPolicy(c.Gossip.WatchPolicy)
	c.Configurations.OnChange(func(*configuration.Configuration) { c.Gossip.Announce() })
	c.Members.SetWatchPolicy(c.Gossip.WatchPolicy)
	c.Members.OnChange(c.Gossip.Announce)
}

// Run starts the controllers in the background. They stop when ctx is done.
func (c *Controllers) Run(ctx context.Context) {
	go c.Configurations.Run(ctx)
	go c.Members.Run(ctx)
	go c.Gossip.Run(ctx)
}

// NewClaimsClient returns the client through which the process self claims
// idempotency keys and records the outcomes of their requests.
func NewClaimsClient(self peer.Identity, s settings.Common, store *objects.Client, log event.Log, scope tally.Scope) *claims.Client {
	return claims.New(claims.Options{
		Store:           store.WithPurpose(objects.ForClaims),
		BackgroundStore: store.WithPurpose(objects.ForOutcomes),
		Self:            claim.Writer{Name: self.Name, Incarnation: self.Incarnation},
		Retention:       s.Retention,
		Log:             log,
		Scope:           scope,
	})
}
