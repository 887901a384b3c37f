package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/claims"
	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/suspects"
)

const purpose = "Accepts callers' requests, routes each to a target and relays the response."

// Main runs entryd with the command-line arguments and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	path, err := daemon.ParseFlags("entryd", purpose, args, stderr)
	if err != nil {
		return daemon.FlagsExitCode(err)
	}
	s, err := settings.ReadEntry(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "entryd:", err)
		return daemon.ExitUsage
	}
	if err := run(s, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "entryd:", err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

// process holds the components of a running entryd.
type process struct {
	settings    settings.Entry
	log         event.Log
	controllers *daemon.Controllers
	suspects    *suspects.Controller
	claims      *claims.Client
	entry       *Entry
	srv         *httpserver.Server
	stopping    atomic.Bool
}

// run runs entryd until it fails or a signal has stopped it.
func run(s settings.Entry, stderr io.Writer) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()

	p := &process{settings: s, log: event.New(stderr, "entryd", s.Name, s.LogLevel)}
	if err := p.assemble(scope); err != nil {
		return err
	}
	if err := p.listen(metricsHandler); err != nil {
		return err
	}
	p.start(ctx)
	served := make(chan error, 1)
	go func() { served <- p.srv.Run() }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	p.stopping.Store(true)
	return stop(s, p.entry, p.srv, signals, p.log)
}

// assemble creates the components that serve calls.
func (p *process) assemble(scope tally.Scope) error {
	s := p.settings
	self := peer.Identity{
		Name:        s.Name,
		Role:        "entryd",
		Incarnation: daemon.NewIncarnation(),
		Region:      s.Region,
		Zone:        s.Zone,
	}
	dialer, err := daemon.NewDialer(self, s.Common)
	if err != nil {
		return err
	}
	store := daemon.NewStore(s.Common, scope)
	p.controllers = daemon.NewControllers(store, p.log)
	p.controllers.Join(self, s.Common, dialer, p.log, scope)
	p.suspects = suspects.New(store.WithPurpose(objects.ForSuspects), p.log)
	p.claims = daemon.NewClaimsClient(self, s.Common, store, p.log, scope)
	p.entry = New(Options{
		Self:           self,
		Configurations: p.controllers.Configurations,
		Revision:       p.controllers.Configurations.Revision,
		Targets:        p.controllers.Members,
		Suspects:       p.suspects,
		Dialer:         dialer,
		Gossip:         p.controllers.Gossip,
		Claims:         p.claims,
		MaxInProgress:  s.MaxInProgress,
		Costs:          s.Costs,
		LoadLimits:     s.LoadLimits,
		StartWithin:    s.StartWithin,
		Log:            p.log,
		Scope:          scope,
	})
	return nil
}

// listen opens the listener and registers the routes.
func (p *process) listen(metricsHandler http.Handler) error {
	s := p.settings
	srv, err := httpserver.New(httpserver.Options{
		Address:      s.Listen,
		CertFile:     s.CertFile,
		KeyFile:      s.KeyFile,
		MaxBodyBytes: s.MaxBodyBytes,
		Ready:        p.ready,
		Metrics:      metricsHandler,

		CancelOnDisconnect: true,
		WriteTimeout:       s.WriteTimeout,
	})
	if err != nil {
		return err
	}
	p.entry.Register(srv.Hertz)
	RegisterStatus(srv.Hertz, s.OperatorKey, p.controllers.Gossip)
	p.srv = srv
	return nil
}

// ready reports whether entryd can serve callers' requests: it has a configuration,
// the registered targets and the crash records, and is not stopping.
func (p *process) ready() bool {
	return p.controllers.Configurations.Current() != nil && p.controllers.Members.Listed() &&
		p.suspects.Ready() && !p.stopping.Load()
}

// start starts the background tasks, which run until ctx is done.
func (p *process) start(ctx context.Context) {
	p.controllers.Run(ctx)
	go p.claims.Run(ctx)
	go p.suspects.Run(ctx)
	go p.entry.CloseIdleLinks(ctx)
	go p.entry.DrainLeavingTargets(ctx)
	p.log.Event(event.Started).Stringer("address", p.settings.Listen).Send()
}
