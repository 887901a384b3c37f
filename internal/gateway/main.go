package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/boottime"
	"github.com/borageusher/borageusher/internal/credit"
	"github.com/borageusher/borageusher/internal/daemon"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/metrics"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/quota"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/slowreader"
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

// maxCallerHeaderBytes limits the head of a request. The configurations of the platform
// allow 16 KiB.
const maxCallerHeaderBytes = 64 << 10

// collectorShare is the share of a VM's memory from which on garbage is collected more often.
// admissionControl bounds the memory without it; it helps where the runtime returns
// memory to the system late.
const collectorShare = 0.85

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
	callers *callerConns
	readers *slowReaders

	confirmations *confirmations
	readiness     *readiness
	followers     map[string]*follow.Follower // by object kind, as in the metrics

	stopWithin atomic.Int64 // nanoseconds
}

// Main runs entryd until a signal ends it.
func Main(ctx context.Context, node settings.Node, platform Platform, log event.Log) error {
	signals := daemon.Signals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	scope, metricsHandler, stopMetrics := metrics.New("entryd")
	defer stopMetrics()
	p := newProcess(ctx, node, platform, log, scope)
	ln, err := p.listen(platform, metricsHandler)
	if err != nil {
		return err
	}
	if node.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(node.Limits.Memory)))
	}
	log.Event(event.Started).Stringer("address", node.Callers).Str("zone", node.Zone).Send()
	return p.stop(ln, signals)
}

// newProcess creates the components and starts their background work.
func newProcess(ctx context.Context, node settings.Node, platform Platform, log event.Log, scope tally.Scope) *process {
	p := &process{
		node:  node,
		log:   log,
		fleet: NewFleet(node.Zone, node.Region, node.Regions, log),

		confirmations: newConfirmations(node.Bounds, boottime.Now, log),
		readiness:     &readiness{log: log, scope: scope},
	}
	p.fleet.setDrainTime(node.Bounds.DrainWithin)
	p.callers = newCallerConns(p.idleTimeout, log, scope)
	p.stopWithin.Store(int64(node.Bounds.StopTimeout))
	self := peer.Identity{
		Name:        node.Name,
		Role:        "entryd",
		Incarnation: daemon.NewIncarnation(),
		Region:      node.Region,
		Zone:        node.Zone,
	}
	conns := &targetdConns{
		ctx:    ctx,
		fleet:  p.fleet,
		dialer: &peer.Dialer{Self: self, Key: peer.Key(node.Store.String()), Client: newPeerClient()},
		port:   node.Peers.Port(),
		log:    log,
	}
	p.crashes = newCrashTracker(p.fleet.broadcast, log)
	conns.onEngineDown, conns.onCrashReport = p.crashes.recordEngineDown, p.crashes.applyReport
	conns.onSegmentCrash, conns.onSegmentAnswers = p.crashes.applySegmentCrash, p.crashes.segments.applyAnswers
	accounts := credit.NewAccounts(credit.AccountOptions{
		Fleet:         p.fleet,
		Bounds:        quota.Bounds{Window: node.Bounds.QuotaWindow, Over: node.Bounds.QuotaOver, Slack: node.Bounds.QuotaSlack},
		Configuration: &p.current,
		Now:           credit.Now,
		Log:           log,
		Scope:         scope,
	})
	conns.credit = accounts
	conns.onConfirmation = p.confirmations.applyAnswer
	p.fleet.onTarget = conns.connect
	client := upstream.New(platform.HeaderCodec.RequestID)
	if node.Limits.Memory > 0 {
		client.LimitBuffers(targetBuffers)
	}
	b := node.Bounds
	p.gateway = New(Options{
		HeaderCodec:   platform.HeaderCodec,
		Fleet:         p.fleet,
		Client:        client,
		Configuration: &p.current,
		Confirmations: p.confirmations,
		CrashTracker:  p.crashes,
		Credit:        accounts,
		RetryBudget:   newRetryBudget(b.RetryRatio, b.RetrySlack, b.RetryWindow, time.Now()),
		Log:           log,
		Scope:         scope,
		Limits:        node.Limits,
	})
	p.fleet.onEnded = p.gateway.recordEnded
	p.callers.admission = p.gateway.admission
	p.readers = &slowReaders{callers: p.callers, client: client, admission: p.gateway.admission, tracker: slowreader.New(), scope: scope}
	store := platform.NewStore(scope)
	cfg := &configurationSink{
		decoder: platform.Decoder, name: platform.ConfigurationName, current: &p.current, fleet: p.fleet, log: log, confirmations: p.confirmations,
	}
	p.followers = map[string]*follow.Follower{
		"configuration": follow.New(store, platform.Configurations, cfg, watchIntervals(b.ApplyWithin, watchPauseShare), log),
		"targets":       follow.New(store, platform.Replicas, &replicaSink{platform.Decoder, p.fleet, log}, watchIntervals(b.DrainWithin, replicaPauseShare), log),
		"versions":      follow.New(store, platform.Versions, &versionSink{platform.Decoder, p.fleet, log}, watchIntervals(b.VersionWithin, watchPauseShare), log),
	}
	p.followers["configuration"].Observe(cfg, boottime.Now)
	for _, f := range p.followers {
		go f.Run(ctx)
	}
	go p.runPeriodic(ctx, client, platform.SettingsChanges)
	return p
}

// peerDialTimeout limits connecting to a targetd to some round trips between
// regions. A VM that is powered off does not respond at all.
const peerDialTimeout = 500 * time.Millisecond

func newPeerClient() *http.Client {
	d := net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxResponseHeaderBytes: peer.MaxHeaderBytes}}
}

// runPeriodic applies reloaded settings and runs the periodic tasks until ctx is
// done.
func (p *process) runPeriodic(ctx context.Context, client *upstream.Client, changes <-chan settings.Node) {
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
			p.gateway.RetryBudget.setLimits(b.RetryRatio, b.RetrySlack)
			p.fleet.setDrainTime(b.DrainWithin)
			p.confirmations.setBounds(b)
			p.stopWithin.Store(int64(b.StopTimeout))
		case now := <-usage.C:
			p.fleet.reportUsage()
			p.fleet.askConfirmer(p.confirmations, p.current.Load())
			p.fleet.cancelStalled(now)
			p.fleet.sendMovedOrigins(now)
			if p.node.Limits.Memory > 0 {
				p.readers.check(now)
			}
		case now := <-sweep.C:
			p.fleet.Sweep(now)
			p.gateway.Credit.CheckIssuers() // also after a change of the configuration
			client.CloseExpired(now)
			p.crashes.expire(now)
			p.updateGauges(now)
			p.callers.closeExpired(now)
		}
	}
}

func (p *process) updateGauges(now time.Time) {
	scope := p.gateway.Scope
	scope.Gauge("requests_in_progress").Update(float64(p.gateway.inProgress.Load()))
	scope.Gauge("targets").Update(float64(p.fleet.targetCount()))
	scope.Gauge("entries").Update(float64(p.fleet.entrydCount()))
	p.gateway.order.updateGauges(now, scope)
	p.confirmations.report(p.current.Load(), scope)
	slow, full := p.fleet.choiceStats()
	scope.Gauge("slow_targets").Update(float64(slow))
	scope.Counter("full_choices").Inc(full)
	if cfg := p.current.Load(); cfg != nil {
		scope.Gauge("configuration_version").Update(float64(cfg.Version))
		for name := range cfg.Services {
			left := p.gateway.RetryBudget.available(now, name, p.fleet.entrydCount())
			scope.Tagged(map[string]string{"service": name}).Gauge("retry_allowance_left").Update(left)
		}
	}
	for kind, f := range p.followers {
		scope.Tagged(map[string]string{"of": kind}).Gauge("knowledge_age_seconds").Update(f.Age(now).Seconds())
	}
	ready := 0.0
	if p.recordReadiness(now) {
		ready = 1
	}
	scope.Gauge("ready").Update(ready)
}

func (p *process) idleTimeout() time.Duration {
	if cfg := p.current.Load(); cfg != nil {
		return cfg.Limits.IdleTimeout
	}
	return 0
}

// listen starts the listeners and returns the one of the callers.
func (p *process) listen(platform Platform, metricsHandler http.Handler) (net.Listener, error) {
	ln, err := net.Listen("tcp4", p.node.Callers.String())
	if err != nil {
		return nil, err
	}
	readiness, err := net.Listen("tcp4", p.node.Readiness.String())
	if err != nil {
		return nil, err
	}
	probe := http.NewServeMux()
	probe.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.recordReadiness(time.Now()) {
			w.WriteHeader(503)
		}
	})
	probe.Handle("/metrics", metricsHandler)
	probe.Handle(ExplainPath, newExplainHandler(p.gateway, peer.Key(p.node.Store.String()), time.Now))
	go func() { _ = (&http.Server{Handler: probe, ReadHeaderTimeout: headerTimeout}).Serve(readiness) }() // ends with the process
	if p.node.Limits.Memory > 0 {
		if err := limitCallerBuffers(ln.(*net.TCPListener)); err != nil {
			return nil, err
		}
	}
	callers := p.callers.wrap(ln.(*net.TCPListener))
	go func() { _ = p.newCallerServer().Serve(callers) }() // ends with the process
	return callers, nil
}

// newCallerServer returns the server for callers, which is not started.
func (p *process) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           p.gateway,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ConnState:         p.callers.onStateChange,
		ConnContext:       p.callers.connContext,
	}
}
