package agent

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/httpserver"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/suspects"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/target"
)

const purpose = "Sidecar of one target: admits, queues and runs all of its requests, loads adapters and streams the answers back."

// Timeouts and intervals of startup and shutdown.
const (
	registerRetryInterval = 500 * time.Millisecond // between attempts to register
	storeTimeout          = 3 * time.Second        // for one read and write of the registration
	closeTimeout          = 300 * time.Millisecond // for the HTTP server's shutdown
)

// Main runs the program targetd and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	path, err := daemon.ParseFlags("targetd", purpose, args, stderr)
	if err != nil {
		return daemon.FlagsExitCode(err)
	}
	s, err := settings.ReadTarget(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "targetd:", err)
		return daemon.ExitUsage
	}
	if err := run(s, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "targetd:", err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

func run(s settings.Target, stderr io.Writer) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	log := event.New(stderr, "targetd", s.Name, s.LogLevel)
	scope, metricsHandler, stopMetrics := metrics.New("targetd")
	defer stopMetrics()
	store := daemon.NewStore(s.Common, scope)
	registrations := store.WithPurpose(objects.ForRegistration)
	controllers := daemon.NewControllers(store, log)
	srv, err := httpserver.New(httpserver.Options{
		Address:      s.Listen,
		CertFile:     s.CertFile,
		KeyFile:      s.KeyFile,
		MaxBodyBytes: 1 << 20,
		Ready:        func() bool { return controllers.Configurations.Current() != nil },
		Metrics:      metricsHandler,
	})
	if err != nil {
		return err
	}
	log.Event(event.Started).Stringer("address", s.Listen).Send()
	rec, ok := register(ctx, registrations, newTarget(s), signals, log)
	if !ok {
		return nil
	}
	self := peerIdentity(rec.Target)
	dialer, err := daemon.NewDialer(self, s.Common)
	if err != nil {
		return err
	}
	controllers.Join(self, s.Common, dialer, log, scope)
	claimsClient := daemon.NewClaimsClient(self, s.Common, store, log, scope)
	go claimsClient.Run(ctx)
	a := New(Options{
		Self:           rec.Target,
		Limits:         dispatch.Limits{Owner: s.Team, Slots: s.Slots, Adapters: s.Adapters, Queue: s.Queue},
		LoadShare:      newLoadShare(s, time.Now()),
		Engine:         engine.New(s.Engine, rec.Target.Epoch),
		PlainService:   s.PlainService,
		Crashes:        suspects.NewRecorder(store.WithPurpose(objects.ForSuspects)),
		Configurations: controllers.Configurations,
		Claims:         claimsClient,
		Log:            log,
		Scope:          scope,
	})
	controllers.Configurations.OnChange(a.SetConfiguration)
	sessions := &Sessions{
		Gossip:   controllers.Gossip,
		Agent:    a,
		Self:     self,
		Key:      peer.Key(s.PeerKey),
		Log:      log,
		Revision: controllers.Configurations.Revision,
	}
	srv.Hertz.GET(peer.Path, adaptor.HertzHandler(sessions))
	go a.Run(ctx)
	controllers.Run(ctx)
	registrar := newRegistrar(registrations, rec, log)
	go registrar.markLeavingOnDrain(ctx, a)
	served := make(chan error, 1)
	go func() { served <- srv.Run() }()
	select {
	case err := <-served:
		return err
	case <-signals:
	}
	return stop(s, a, registrar, srv, signals, log)
}

// newLoadShare returns the target's share of the weight store's load rate, or nil
// if the settings set no rate.
func newLoadShare(s settings.Target, now time.Time) *loadbudget.Share {
	if s.LoadLimits.Rate == 0 {
		return nil
	}
	return loadbudget.NewShare(s.LoadLimits, s.WeightStoreTargets, s.WeightStorePosition, now)
}

// newTarget returns the target described by the settings, with a new incarnation.
func newTarget(s settings.Target) target.Target {
	return target.Target{
		Name:        s.Name,
		Team:        s.Team,
		Service:     s.Service,
		Region:      s.Region,
		Zone:        s.Zone,
		Addr:        s.DialAddress,
		Incarnation: daemon.NewIncarnation(),
		Slots:       s.Slots,
		State:       target.Live,
	}
}

func peerIdentity(t target.Target) peer.Identity {
	return peer.Identity{
		Name:        t.Name,
		Role:        "targetd",
		Incarnation: t.Incarnation,
		Region:      t.Region,
		Zone:        t.Zone,
		Epoch:       t.Epoch,
	}
}

// register registers the target. It retries until it succeeds or a signal
// arrives, and reports whether it succeeded.
func register(ctx context.Context, store registration.Store, self target.Target, signals <-chan os.Signal, log event.Log) (registration.Record, bool) {
	for {
		rec, err := registerOnce(ctx, store, self)
		if err == nil {
			log.Event(event.TargetRegistered).Uint64("epoch", rec.Target.Epoch).Send()
			return rec, true
		}
		log.Event(event.StoreUnavailable).Str("purpose", "registration").Err(err).Send()
		select {
		case <-signals:
			return registration.Record{}, false
		case <-time.After(registerRetryInterval):
		}
	}
}

func registerOnce(ctx context.Context, store registration.Store, self target.Target) (registration.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return registration.Register(ctx, store, self)
}
