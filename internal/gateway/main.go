package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Shares of the time within which a change to an object kind must be known.
// Their sum leaves time for a slow response.
const (
	// watchWaitShare is how long the store may hold a watch open.
	watchWaitShare = 0.6
	// watchPauseShare is the pause between two watches: changes within it cost
	// one call.
	watchPauseShare = 0.1
	// replicaPauseShare is longer because the entries of replicas change
	// constantly. The targetds announce departing engines sooner.
	replicaPauseShare = 0.4
)

// watchIntervals returns the watch intervals for an object kind whose changes
// must be known within bound. pause is a share of bound.
func watchIntervals(bound time.Duration, pauseShare float64) follow.Intervals {
	return follow.Intervals{WatchTimeout: time.Duration(watchWaitShare * float64(bound)), WatchPause: time.Duration(pauseShare * float64(bound))}
}

// Intervals and timeouts of the listeners.
const (
	headerTimeout = 10 * time.Second // of callers, above any limit that a configuration sets
	sweepInterval = time.Second
)

// Platform holds the platform-specific parts of a gateway.
type Platform struct {
	NewStore          func(tally.Scope) follow.Source
	Decoder           Decoder
	HeaderCodec       HeaderCodec
	Configurations    objects.ObjectKind
	ConfigurationName string
	Replicas          objects.ObjectKind
	Versions          objects.ObjectKind
	ReadyPath         string               // of the load balancer's probe
	SettingsChanges   <-chan settings.Node // reloaded settings that replace the initial ones
}

// process holds the components of a running gateway.
type process struct {
	node    settings.Node
	log     event.Log
	fleet   *Fleet
	crashes *crashTracker
	gateway *Gateway
	current atomic.Pointer[routing.Configuration]
	idle    *idleConns

	readiness *readiness
	followers map[string]*follow.Follower // by object kind, as in the metrics

	stopWithin atomic.Int64 // nanoseconds
}

// Main runs entryd until a signal ends it.
func Main(ctx context.Context, node settings.Node, p Platform, log event.Log) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()
	s := newProcess(ctx, node, p, log, scope)
	srv, err := s.listen(p, metricsHandler)
	if err != nil {
		return err
	}
	log.Event(event.Started).Stringer("address", node.Callers).Str("zone", node.Zone).Send()
	return s.stop(srv, signals)
}

// newProcess creates the components and starts their background work.
func newProcess(ctx context.Context, node settings.Node, p Platform, log event.Log, scope tally.Scope) *process {
	s := &process{
		node:  node,
		log:   log,
		fleet: NewFleet(node.Zone, node.Region, node.Regions, log),
		idle:  newIdleConns(),

		readiness: &readiness{log: log, scope: scope},
	}
	s.stopWithin.Store(int64(node.Bounds.StopTimeout))
	self := peer.Identity{
		Name:        node.Name,
		Role:        "entryd",
		Incarnation: daemon.NewIncarnation(),
		Region:      node.Region,
		Zone:        node.Zone,
	}
	conns := &targetdConns{
		ctx:    ctx,
		fleet:  s.fleet,
		dialer: &peer.Dialer{Self: self, Key: peer.Key(node.Store.String()), Client: newPeerClient()},
		port:   node.Peers.Port(),
		log:    log,
	}
	s.crashes = newCrashTracker(s.fleet.broadcast, log)
	conns.onEngineDown, conns.onCrashReport = s.crashes.recordEngineDown, s.crashes.applyReport
	s.fleet.onTarget = conns.connect
	client := upstream.New(p.HeaderCodec.RequestID)
	b := node.Bounds
	s.gateway = New(Options{
		HeaderCodec:   p.HeaderCodec,
		Fleet:         s.fleet,
		Client:        client,
		Configuration: &s.current,
		CrashTracker:  s.crashes,
		RetryBudget:   newRetryBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow, time.Now()),
		Log:           log,
		Scope:         scope,
		Limits:        node.Limits,
	})
	store := p.NewStore(scope)
	cfg := &configurationSink{p.Decoder, p.ConfigurationName, &s.current, s.fleet, log}
	s.followers = map[string]*follow.Follower{
		"configuration": follow.New(store, p.Configurations, cfg, watchIntervals(b.ApplyWithin, watchPauseShare), log),
		"targets":       follow.New(store, p.Replicas, &replicaSink{p.Decoder, s.fleet, log}, watchIntervals(b.DrainWithin, replicaPauseShare), log),
		"versions":      follow.New(store, p.Versions, &versionSink{p.Decoder, s.fleet, log}, watchIntervals(b.VersionWithin, watchPauseShare), log),
	}
	for _, f := range s.followers {
		go f.Run(ctx)
	}
	go s.runPeriodic(ctx, client, p.SettingsChanges)
	return s
}

// peerDialTimeout limits connecting to a targetd to some round trips between
// regions. A VM that is powered off does not respond at all.
const peerDialTimeout = 500 * time.Millisecond

func newPeerClient() *http.Client {
	d := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}
}

// runPeriodic applies reloaded settings and runs the periodic tasks until ctx is
// done.
func (s *process) runPeriodic(ctx context.Context, client *upstream.Client, changes <-chan settings.Node) {
	usage := time.NewTicker(usageInterval)
	defer usage.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-changes:
			b := next.Bounds
			s.gateway.RetryBudget.setLimits(b.RetryRatio, b.RetrySlack)
			s.stopWithin.Store(int64(b.StopTimeout))
		case now := <-usage.C:
			s.fleet.reportUsage()
			s.fleet.cancelStalled(now)
		case now := <-sweep.C:
			s.fleet.Sweep(now)
			client.CloseExpired(now)
			s.crashes.expire(now)
			s.updateGauges(now)
			s.idle.closeExpired(now, s.idleTimeout())
		}
	}
}

func (s *process) updateGauges(now time.Time) {
	scope := s.gateway.Scope
	scope.Gauge("requests_in_progress").Update(float64(s.gateway.inProgress.Load()))
	scope.Gauge("targets").Update(float64(s.fleet.targetCount()))
	scope.Gauge("entries").Update(float64(s.fleet.entrydCount()))
	if cfg := s.current.Load(); cfg != nil {
		scope.Gauge("configuration_version").Update(float64(cfg.Version))
		for name := range cfg.Services {
			left := s.gateway.RetryBudget.available(now, name, s.fleet.entrydCount())
			scope.Tagged(map[string]string{"service": name}).Gauge("retry_allowance_left").Update(left)
		}
	}
	for kind, f := range s.followers {
		scope.Tagged(map[string]string{"of": kind}).Gauge("knowledge_age_seconds").Update(f.Age(now).Seconds())
	}
	ready := 0.0
	if s.recordReadiness(now) {
		ready = 1
	}
	scope.Gauge("ready").Update(ready)
}

func (s *process) idleTimeout() time.Duration {
	if cfg := s.current.Load(); cfg != nil {
		return cfg.Limits.IdleTimeout
	}
	return 0
}

// listen starts the listeners and returns the callers' server.
func (s *process) listen(p Platform, metricsHandler http.Handler) (*http.Server, error) {
	callers, err := net.Listen("tcp4", s.node.Callers.String())
	if err != nil {
		return nil, err
	}
	readiness, err := net.Listen("tcp4", s.node.Readiness.String())
	if err != nil {
		return nil, err
	}
	probe := http.NewServeMux()
	probe.HandleFunc(p.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !s.recordReadiness(time.Now()) {
			w.WriteHeader(503)
		}
	})
	probe.Handle("/metrics", metricsHandler)
	go func() { _ = (&http.Server{Handler: probe, ReadHeaderTimeout: headerTimeout}).Serve(readiness) }() // ends with the process
	srv := &http.Server{Handler: s.gateway, ReadHeaderTimeout: headerTimeout, ConnState: s.idle.onStateChange}
	go func() { _ = srv.Serve(callers) }() // ends with the process
	return srv, nil
}

// Times of a graceful shutdown.
const (
	// drainDelay is how long all requests are still served after readiness is
	// withdrawn: two failed probes of the load balancer, one a second, plus one
	// second.
	drainDelay = 3 * time.Second
	// stopMargin is the part of the platform's stop timeout that is reserved for
	// the exit of the process.
	stopMargin = 500 * time.Millisecond
)

// stop waits for a signal, lets the requests in progress finish within the stop
// timeout, and shuts the server down.
func (s *process) stop(srv *http.Server, signals <-chan os.Signal) error {
	sig := <-signals
	start := time.Now()
	s.gateway.stopping.Store(true)
	s.log.Event(event.Stopping).Stringer("signal", sig).Int64("requests", s.gateway.inProgress.Load()).Send()
	time.Sleep(drainDelay)
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(s.stopWithin.Load())-stopMargin))
	defer cancel()
	err := srv.Shutdown(ctx)
	s.log.Event(event.Stopped).Err(err).Int64("requests", s.gateway.inProgress.Load()).Send()
	return nil
}
