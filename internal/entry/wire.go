package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/logging"
	"goldcresthinge.example/goldcresthinge/internal/news"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/platform"
)

// metricsInterval is the pause between two reports of tally.
const metricsInterval = time.Second

// milli is the number of thousandths in one.
const milli = 1000

// provide registers the constructors of the parts that need no other state.
func provide(i do.Injector, node *platform.Node, options settings.Entry, logTo io.Writer) {
	do.ProvideValue(i, node)
	do.ProvideValue(i, fleet.VM{
		ID: node.ID, FailureDomain: node.FailureDomain, Region: node.Region, Address: node.SiblingAddress(),
		Incarnation: rand.Uint64() >> 12, //nolint:gosec // no secret; fits a JSON number
		MilliCores:  int(node.Cores * milli),
	})
	do.ProvideValue(i, logging.New(logTo, options.LogFormat, node.ID))
	do.ProvideValue(i, backend.NewPool(nil))
	do.ProvideValue(i, sibling.NewClient(nil, nil, nil))
	do.Provide(i, func(i do.Injector) (*world, error) {
		return newWorld(do.MustInvoke[fleet.VM](i), do.MustInvoke[log.Logger](i)), nil
	})
	do.Provide(i, provideMetrics)
}

func provideMetrics(i do.Injector) (*metricsReport, error) {
	node := do.MustInvoke[*platform.Node](i)
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "goldcresthinge",
		Tags:           map[string]string{"vm": node.ID, "region": node.Region},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, metricsInterval)
	return &metricsReport{scope: scope, handler: reporter.HTTPHandler(), close: closer.Close}, nil
}

// siblingHandler serves siblings. VMs on the platform forward no calls.
type siblingHandler struct{ *news.Exchange }

// HandleForward implements sibling.Handler.
func (siblingHandler) HandleForward(context.Context, *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	return nil, nil, outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonNotHolder, "this VM takes no forwards")
}

// HandleControl implements sibling.Handler.
func (siblingHandler) HandleControl(context.Context, *siblingpb.Request) *siblingpb.Response {
	return nil
}

// processMemory returns the memory that the runtime holds, for the dump.
func processMemory() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys
}
