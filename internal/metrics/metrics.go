// Package metrics makes the tally scope of a process and the handler that
// serves its figures in the Prometheus text form.
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

// reportInterval is how often figures move from the scope to the handler.
const reportInterval = time.Second

// New returns the root scope of a program, the handler that serves its figures
// with those of the Go runtime, and a function that ends its reporting.
func New(program string) (tally.Scope, http.Handler, func()) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "borageusher_" + program,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	stop := func() { _ = closer.Close() } // reports once more, nothing can fail
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), stop
}
