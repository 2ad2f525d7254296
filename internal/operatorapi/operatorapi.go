// Package operatorapi implements the HTTP API for operators: configuration, failure
// domains, status, drain, state dump and metrics.
package operatorapi

import (
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// applyTimeout bounds one change. This includes the time to find out whether the
// store accepted the change if its answer was lost.
const applyTimeout = 10 * time.Second

// Config holds what the API depends on; it is not a configuration of the load
// balancer, which Configuration reads and changes. Configuration, Process and Now are
// required.
type Config struct {
	Configuration Configuration
	Process       Process
	Metrics       http.Handler // nil: no /metrics
	Logger        log.Logger   // nil: no log
	Now           func() time.Time
}

// api holds the handlers of the operations.
type api struct {
	Config
}

// New returns the handler of the API. It is safe for concurrent use.
func New(c Config) http.Handler {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	c.Logger = log.With(c.Logger, "part", "operator")
	mux := http.NewServeMux()
	cfg := huma.DefaultConfig("goldcresthinge operator API", "1")
	cfg.DocsPath = ""     // the documentation page loads scripts from other hosts
	cfg.CreateHooks = nil // no $schema field in responses
	h := humago.New(mux, cfg)
	a := &api{Config: c}
	a.registerConfiguration(h)
	a.registerStatus(h)
	if c.Metrics != nil {
		mux.Handle("GET /metrics", c.Metrics)
	}
	return mux
}

// operation describes an operation of the OpenAPI document.
func operation(method, path, id, summary string) huma.Operation {
	return huma.Operation{
		Method: method, Path: path, OperationID: id, Summary: summary,
		// One byte above the limit of a document: a document that is too
		// large reaches the check, which reports its size like other faults.
		MaxBodyBytes: inventory.MaxDocumentBytes + 1,
	}
}

// output is a response with a JSON body.
type output[T any] struct {
	Body T
}

func (a *api) log(keyvals ...any) { _ = a.Logger.Log(keyvals...) }
