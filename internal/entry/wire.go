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
	"goldcresthinge.example/goldcresthinge/internal/capacity"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/logging"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/platform"
)

const milli = 1000

// registerConstructors registers the parts of an entry VM that need no other
// state with the injector.
func registerConstructors(i do.Injector, node *platform.NodeSettings, options settings.EntrySettings, logOutput io.Writer) {
	do.ProvideValue(i, node)
	do.ProvideValue(i, fleet.VM{
		ID: node.ID, FailureDomain: node.FailureDomain, Region: node.Region, Address: node.SiblingAddress(),
		Incarnation: rand.Uint64() >> 12, //nolint:gosec // no secret; fits a JSON number
		MilliCores:  int(node.Cores * milli),
	})
	do.ProvideValue(i, logging.New(logOutput, options.LogFormat, node.ID))
	do.ProvideValue(i, capacity.New(capacity.Limits{BodyBytes: options.MaxBufferedBytes}))
	do.Provide(i, func(i do.Injector) (*backend.ConnPool, error) {
		pool := backend.NewConnPool(nil, options.MaxResponseHeaderBytes)
		pool.SetLedger(do.MustInvoke[*capacity.Ledger](i))
		return pool, nil
	})
	do.ProvideValue(i, sibling.NewClient(nil, nil, nil))
	do.Provide(i, func(i do.Injector) (*deploymentState, error) {
		return newDeploymentState(do.MustInvoke[fleet.VM](i), do.MustInvoke[log.Logger](i)), nil
	})
	do.Provide(i, newMetrics)
}

func newMetrics(i do.Injector) (*metrics.Registry, error) {
	node := do.MustInvoke[*platform.NodeSettings](i)
	return metrics.New(node.ID, node.Region), nil
}

// siblingHandler serves requests of siblings. Entry VMs on the users' platform
// send requests to backend servers themselves and forward no calls to each
// other.
type siblingHandler struct{ *statesync.Syncer }

// HandleForward implements sibling.Handler. It refuses every call as not run.
func (siblingHandler) HandleForward(context.Context, *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	return nil, nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNotHolder, "this VM accepts no forwarded calls")
}

// HandleControl implements sibling.Handler. It answers no control request.
func (siblingHandler) HandleControl(context.Context, *siblingpb.Request) *siblingpb.Response {
	return nil
}

// processMemory returns the bytes of memory that the Go runtime has obtained
// from the operating system.
func processMemory() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys
}
