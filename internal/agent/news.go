package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/members"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/spread"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/target"
)

// News is told of the peer connections, which news travels on.
type News interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Beat() peer.Heartbeat
}

// attach shares a connection with the news, if there are any.
func (s *Sessions) attach(conn *peer.Conn) (detach func()) {
	if s.News == nil {
		return func() {}
	}
	return s.News.Attach(conn)
}

// newNode returns the targetd's part in spreading news and the registrations
// that it knows; both follow each other.
func newNode(s settings.Target, self target.Target, store *objects.Client, configurations *revision.Controller, log event.Log, scope tally.Scope) (*spread.Node, *members.Controller, error) {
	dialer, err := daemon.NewDialer(identity(self), s.Common)
	if err != nil {
		return nil, nil, err
	}
	known := members.New(store.For(objects.ForMembers), log)
	node := spread.New(spread.Options{
		Self:           identity(self),
		Configurations: configurations,
		Members:        known,
		Dialer:         dialer,
		Seeds:          s.Seeds,
		Log:            log,
		Scope:          scope,
	})
	configurations.SetDuty(node.Duty)
	configurations.OnChange(func(*configuration.Configuration) { node.Announce() })
	known.SetDuty(node.Duty)
	known.OnChange(node.Announce)
	return node, known, nil
}
