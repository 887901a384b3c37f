// Package metrics creates the root tally scope of a process and the HTTP handler
// that exposes its metrics in the Prometheus text format.
//
// # Usage
//
//	scope, handler, stop := metrics.New("entryd")
//	defer stop()
//	scope.Counter("requests").Inc(1)
package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope reports its metrics to the
// registry that the handler reads.
const reportInterval = time.Second

// New returns the root scope of a program, the handler that exposes its metrics
// and those of the Go runtime and the process, and a function that stops reporting.
func New(program string) (tally.Scope, http.Handler, func()) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "borageusher_" + program,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	stop := func() { _ = closer.Close() } // reports a last time; the reporter returns no errors
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop
}
