// Package metrics collects the metrics of one VM and exposes them to Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes the values of the metrics
// to the Prometheus registry.
const reportInterval = time.Second

// Registry holds the scope in which the metrics are created, the HTTP handler that
// exposes them to Prometheus, and the function that stops the reports.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	Close   func() error
}

// New returns an empty Registry for a VM. Each Registry uses its own Prometheus
// registry, not the global one, because tests and the load tool run several
// entry VMs in one process.
func New(vm, region string) *Registry {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "goldcresthinge",
		Tags:           map[string]string{"vm": vm, "region": region},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), Close: closer.Close}
}
