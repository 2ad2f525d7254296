// Package operatorapi is the HTTP API for operators: configuration, failure
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

// applyLimit bounds one change, including the time to settle a lost answer of
// the store.
const applyLimit = 10 * time.Second

// Config holds the collaborators of the API. Configuration, Process and Now
// are required.
type Config struct {
	Configuration Configuration
	Process       Process
	Metrics       http.Handler // nil: no /metrics
	Logger        log.Logger   // nil: no log
	Now           func() time.Time
}

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
	cfg.DocsPath = ""     // the page loads scripts from elsewhere
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

func operation(method, path, id, summary string) huma.Operation {
	return huma.Operation{
		Method: method, Path: path, OperationID: id, Summary: summary,
		// One byte more than a document may have, so that its size is
		// reported like any other fault.
		MaxBodyBytes: inventory.MaxDocumentBytes + 1,
	}
}

// output is a response with a JSON body.
type output[T any] struct {
	Body T
}

func (a *api) log(keyvals ...any) { _ = a.Logger.Log(keyvals...) }
