package entry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/borageusher/borageusher/internal/claims"
	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/members"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/spread"
	"github.com/borageusher/borageusher/internal/suspects"
	"github.com/borageusher/borageusher/pkg/claim"
	"github.com/borageusher/borageusher/pkg/configuration"
)

const purpose = "Takes callers' requests, decides where each goes, and relays the whole answer."

// Main runs the program entryd and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	path, err := daemon.Flags("entryd", purpose, args, stderr)
	if err != nil {
		return daemon.ExitOfFlags(err)
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

func run(s settings.Entry, stderr io.Writer) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := event.New(stderr, "entryd", s.Name, s.LogLevel)
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()
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
	configurations := revision.New(store.For(objects.ForConfiguration), log)
	known := members.New(store.For(objects.ForMembers), log)
	node := spread.New(spread.Options{
		Self:           self,
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
	crashes := suspects.New(store.For(objects.ForSuspects), log)
	ledger := claims.New(claims.Options{
		Store:     store.For(objects.ForClaims),
		Later:     store.For(objects.ForOutcomes),
		Self:      claim.Writer{Name: self.Name, Incarnation: self.Incarnation},
		Retention: s.Retention,
		Log:       log,
		Scope:     scope,
	})
	go ledger.Run(ctx)
	e := New(Options{
		Self:           self,
		Configurations: configurations,
		Revision:       configurations.Revision,
		Targets:        known,
		Suspects:       crashes,
		Dialer:         dialer,
		News:           node,
		Claims:         ledger,
		MaxInProgress:  s.MaxInProgress,
		Costs:          s.Costs,
		Loads:          s.Loads,
		StartWithin:    s.StartWithin,
		Log:            log,
		Scope:          scope,
	})
	var stopping atomic.Bool
	srv, err := httpserver.New(httpserver.Options{
		Address:      s.Listen,
		CertFile:     s.CertFile,
		KeyFile:      s.KeyFile,
		MaxBodyBytes: s.MaxBodyBytes,
		Ready:        func() bool { return configurations.Current() != nil && crashes.Ready() && !stopping.Load() },
		Metrics:      metricsHandler,

		SenseDisconnect: true,
	})
	if err != nil {
		return err
	}
	e.Register(srv.Hertz)
	RegisterStatus(srv.Hertz, s.OperatorKey, node)
	go configurations.Run(ctx)
	go known.Run(ctx)
	go node.Run(ctx)
	go e.CloseIdle(ctx)
	go crashes.Run(ctx)
	go e.Run(ctx)
	log.At(event.Started).Stringer("address", s.Listen).Send()
	served := make(chan error, 1)
	go func() { served <- srv.Run() }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	stopping.Store(true)
	return stop(s, e, srv, signals, log)
}
