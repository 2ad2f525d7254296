package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"

	"github.com/go-kit/log"
	"github.com/samber/do/v2"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/logging"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/platform"
)

// milli is the number of thousandths in one.
const milli = 1000

// provide registers the constructors of the parts that need no other state.
func provide(i do.Injector, node *platform.NodeSettings, options settings.EntrySettings, logTo io.Writer) {
	do.ProvideValue(i, node)
	do.ProvideValue(i, fleet.VM{
		ID: node.ID, FailureDomain: node.FailureDomain, Region: node.Region, Address: node.SiblingAddress(),
		Incarnation: rand.Uint64() >> 12, //nolint:gosec // no secret; fits a JSON number
		MilliCores:  int(node.Cores * milli),
	})
	do.ProvideValue(i, logging.New(logTo, options.LogFormat, node.ID))
	do.ProvideValue(i, backend.NewConnPool(nil))
	do.ProvideValue(i, sibling.NewClient(nil, nil, nil))
	do.Provide(i, func(i do.Injector) (*world, error) {
		return newWorld(do.MustInvoke[fleet.VM](i), do.MustInvoke[log.Logger](i)), nil
	})
	do.Provide(i, provideMetrics)
}

func provideMetrics(i do.Injector) (*metrics.Registry, error) {
	node := do.MustInvoke[*platform.NodeSettings](i)
	return metrics.New(node.ID, node.Region), nil
}

// siblingHandler serves siblings. VMs on the platform forward no calls.
type siblingHandler struct{ *statesync.Syncer }

// HandleForward implements sibling.Handler.
func (siblingHandler) HandleForward(context.Context, *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	return nil, nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNotHolder, "this VM takes no forwards")
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
