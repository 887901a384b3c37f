package enginecontroller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/boottime"
	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/pkg/quota"
)

// headerTimeout bounds the time to read the request headers of a new peer
// connection.
const headerTimeout = 2 * time.Second

// Main runs a controller for the given engine, with its peer and metrics endpoints,
// until the process receives a termination signal. newStore returns the store's client for
// the configuration of the given kind and name. The error is non-nil only if
// the address node.Peers cannot be listened on.
func Main(ctx context.Context, node settings.Node, engine Engine, newStore func(tally.Scope) follow.Source, kind objects.ObjectKind, name string, log event.Log) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scope, metricsHandler, stopMetrics := metrics.New("targetd")
	defer stopMetrics()
	ec := New(Options{
		Self: peer.Identity{
			Name:        node.Name,
			Role:        "targetd",
			Incarnation: daemon.NewIncarnation(),
			Region:      node.Region,
			Zone:        node.Zone,
		},
		Key:    peer.Key(node.Store.String()),
		Engine: engine,
		Log:    log,
		Scope:  scope,
		Quota:  quota.Bounds{Window: node.Bounds.QuotaWindow, Over: node.Bounds.QuotaOver, Slack: node.Bounds.QuotaSlack},

		FirstStart: node.FirstStart,

		Configuration: Configuration{
			Store:  newStore(scope),
			Kind:   kind,
			Name:   name,
			Period: node.Bounds.ConfirmationPeriod(),
			Clock:  boottime.Now,
		},
	})
	listener, err := net.Listen("tcp4", node.Peers.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ec)
	mux.Handle("/metrics", metricsHandler)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = srv.Serve(listener) }() // runs until the process exits
	log.Event(event.Started).Stringer("address", node.Peers).Stringer("engine", node.Engine).Send()
	go ec.Run(ctx)
	s := <-signals
	log.Event(event.Stopping).Stringer("signal", s).Send()
	return nil
}
