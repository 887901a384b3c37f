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

// Parts of the bound within which a change of a kind must be known. Together
// they leave room for a slow answer.
const (
	// waitPart is how long the store may hold a watch.
	waitPart = 0.6
	// pausePart is the pause between two watches: changes within it cost one call.
	pausePart = 0.1
	// replicaPausePart is longer, as replicas' entries change all the time. Engines
	// that leave are known sooner, from their targetds.
	replicaPausePart = 0.4
)

// times returns how a kind is followed whose changes must be known within bound.
func times(bound time.Duration, pause float64) follow.Times {
	return follow.Times{Wait: time.Duration(waitPart * float64(bound)), Pause: time.Duration(pause * float64(bound))}
}

// Times of the listeners.
const (
	headerTimeout = 10 * time.Second // of callers, above any limit that a configuration sets
	sweepInterval = time.Second
)

// Platform is what a gateway needs of the platform.
type Platform struct {
	Store             func(tally.Scope) follow.Source
	Decoder           Decoder
	Dialect           Dialect
	Configurations    objects.ObjectKind
	ConfigurationName string
	Replicas          objects.ObjectKind
	Versions          objects.ObjectKind
	ReadyPath         string               // of the balancer's probe
	Changes           <-chan settings.Node // settings that replace the first ones
}

// process is the parts of a running gateway.
type process struct {
	node    settings.Node
	log     event.Log
	fleet   *Fleet
	crashes *crashes
	gateway *Gateway
	current atomic.Pointer[routing.Configuration]
	idle    *idleConns

	readiness *readiness
	followers map[string]*follow.Follower // by what they follow

	stopWithin atomic.Int64 // nanoseconds
}

// Main runs the program until a signal ends it.
func Main(ctx context.Context, node settings.Node, p Platform, log event.Log) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()
	s := assemble(ctx, node, p, log, scope)
	srv, err := s.listen(p, metricsHandler)
	if err != nil {
		return err
	}
	log.At(event.Started).Stringer("address", node.Callers).Str("zone", node.Zone).Send()
	return s.stop(srv, signals)
}

func assemble(ctx context.Context, node settings.Node, p Platform, log event.Log, scope tally.Scope) *process {
	s := &process{
		node:  node,
		log:   log,
		fleet: NewFleet(node.Zone, node.Region, node.Regions, log),
		idle:  newIdleConns(),

		readiness: &readiness{log: log, scope: scope},
	}
	s.stopWithin.Store(int64(node.Bounds.StopWithin))
	self := peer.Identity{
		Name:        node.Name,
		Role:        "entryd",
		Incarnation: daemon.NewIncarnation(),
		Region:      node.Region,
		Zone:        node.Zone,
	}
	l := &links{
		ctx:    ctx,
		fleet:  s.fleet,
		dialer: &peer.Dialer{Self: self, Key: peer.Key(node.Store.String()), Client: newPeerClient()},
		port:   node.Peers.Port(),
		log:    log,
	}
	s.crashes = newCrashes(s.fleet.broadcast, log)
	l.down, l.crash = s.crashes.noteDown, s.crashes.learn
	s.fleet.joined = l.join
	client := upstream.New(p.Dialect.RequestID)
	b := node.Bounds
	s.gateway = New(Options{
		Dialect:   p.Dialect,
		Fleet:     s.fleet,
		Client:    client,
		Current:   &s.current,
		Crashes:   s.crashes,
		Allowance: newAllowance(b.RetryRatio, b.RetrySlack, b.RetryWindow, time.Now()),
		Log:       log,
		Scope:     scope,
		Limits:    node.Limits,
	})
	store := p.Store(scope)
	cfg := &configurationSink{p.Decoder, p.ConfigurationName, &s.current, s.fleet, log}
	s.followers = map[string]*follow.Follower{
		"configuration": follow.New(store, p.Configurations, cfg, times(b.ApplyWithin, pausePart), log),
		"targets":       follow.New(store, p.Replicas, &replicaSink{p.Decoder, s.fleet, log}, times(b.DrainWithin, replicaPausePart), log),
		"versions":      follow.New(store, p.Versions, &versionSink{p.Decoder, s.fleet, log}, times(b.VersionWithin, pausePart), log),
	}
	for _, f := range s.followers {
		go f.Run(ctx)
	}
	go s.maintain(ctx, client, p.Changes)
	return s
}

// peerDialTimeout is how long a connection to a targetd may take to open: some
// round trips between regions. A VM without power does not answer at all.
const peerDialTimeout = 500 * time.Millisecond

func newPeerClient() *http.Client {
	d := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext}}
}

// maintain does what recurs until ctx is done.
func (s *process) maintain(ctx context.Context, client *upstream.Client, changes <-chan settings.Node) {
	use := time.NewTicker(useInterval)
	defer use.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-changes:
			b := next.Bounds
			s.gateway.Allowance.limit(b.RetryRatio, b.RetrySlack)
			s.stopWithin.Store(int64(b.StopWithin))
		case now := <-use.C:
			s.fleet.reportUse()
			s.fleet.leaveStill(now)
		case now := <-sweep.C:
			s.fleet.Sweep(now)
			client.CloseIdle(now)
			s.crashes.expire(now)
			s.gauge(now)
			s.idle.closeExpired(now, s.idleTimeout())
		}
	}
}

// gauge sets the figures that are states rather than events.
func (s *process) gauge(now time.Time) {
	scope := s.gateway.Scope
	scope.Gauge("requests_in_progress").Update(float64(s.gateway.inProgress.Load()))
	scope.Gauge("targets").Update(float64(s.fleet.size()))
	scope.Gauge("entries").Update(float64(s.fleet.entries()))
	if cfg := s.current.Load(); cfg != nil {
		scope.Gauge("configuration_version").Update(float64(cfg.Version))
		for name := range cfg.Services {
			left := s.gateway.Allowance.left(now, name, s.fleet.entries())
			scope.Tagged(map[string]string{"service": name}).Gauge("retry_allowance_left").Update(left)
		}
	}
	for of, f := range s.followers {
		scope.Tagged(map[string]string{"of": of}).Gauge("knowledge_age_seconds").Update(f.Age(now).Seconds())
	}
	ready := 0.0
	if s.ready(now) {
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
		if !s.ready(time.Now()) {
			w.WriteHeader(503)
		}
	})
	probe.Handle("/metrics", metricsHandler)
	go func() { _ = (&http.Server{Handler: probe, ReadHeaderTimeout: headerTimeout}).Serve(readiness) }() // ends with the process
	srv := &http.Server{Handler: s.gateway, ReadHeaderTimeout: headerTimeout, ConnState: s.idle.note}
	go func() { _ = srv.Serve(callers) }() // ends with the process
	return srv, nil
}

// Times of a planned stop.
const (
	// leaveTime is how long everything is still served after readiness turned to
	// no: two misses of the balancer's probe, one a second, and one more.
	leaveTime = 3 * time.Second
	// stopMargin is kept of the platform's patience for the process's own end.
	stopMargin = 500 * time.Millisecond
)

// stop waits for a signal and ends the process without cutting requests.
func (s *process) stop(srv *http.Server, signals <-chan os.Signal) error {
	sig := <-signals
	begun := time.Now()
	s.gateway.stopping.Store(true)
	s.log.At(event.Stopping).Stringer("signal", sig).Int64("requests", s.gateway.inProgress.Load()).Send()
	time.Sleep(leaveTime)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(time.Duration(s.stopWithin.Load())-stopMargin))
	defer cancel()
	err := srv.Shutdown(ctx)
	s.log.At(event.Stopped).Err(err).Int64("requests", s.gateway.inProgress.Load()).Send()
	return nil
}
