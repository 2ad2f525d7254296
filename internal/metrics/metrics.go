// Package metrics collects the metrics of one VM and shows them to Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// interval is the pause between two reports of tally.
const interval = time.Second

// Registry is a scope with the handler that shows it.
type Registry struct {
	Scope   tally.Scope
	Handler http.Handler
	Close   func() error
}

// New returns an empty report of a VM. Its registry is its own, so that several
// VMs can run in one process.
func New(vm, region string) *Registry {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "goldcresthinge",
		Tags:           map[string]string{"vm": vm, "region": region},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, interval)
	return &Registry{Scope: scope, Handler: reporter.HTTPHandler(), Close: closer.Close}
}
