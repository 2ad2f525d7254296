package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

const (
	// bufferedBody is the longest request body that is kept, so that it can be
	// sent to a second server. Unit: bytes.
	bufferedBody = 64 << 10
	// bufferedAnswer is the longest answer that is read completely before its
	// first byte is passed on, so that a broken one can be replaced.
	bufferedAnswer = 256 << 10
	// defaultTimeout is assumed for callers that state no deadline.
	defaultTimeout = 10 * time.Second
	// maxDials bounds the servers that refuse a connection before a request is
	// refused. No request arrived there, so they are not attempts.
	maxDials = 3
	// writeTimeout bounds how long a caller may block the writing of an answer.
	writeTimeout = 10 * time.Second
	// notReadyRetryAfter is when callers come back to a VM that has no
	// configuration yet. Reading it takes a few calls of the store.
	notReadyRetryAfter = 500 * time.Millisecond
)

// HeaderCodec translates the headers of callers.
type HeaderCodec interface {
	backend.HeaderCodec
	// ParseRequest returns the id of a request and the time that the caller waits;
	// zero if it does not say.
	ParseRequest(h http.Header) (id string, timeout time.Duration, err error)
	// SetRetryAfter tells the caller when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
}

// ServerTracker records what requests show about servers.
type ServerTracker interface {
	Server(id string) (fleet.Server, bool)
	RequestEnded(id string, now time.Time, r fleet.Result)
	ObserveSlowdown(id string, at time.Time, slowdown float64)
	// ConnectionRefused records that nothing listens at a server's address.
	ConnectionRefused(id string, at time.Time)
}

// Config holds what a Handler needs. All fields are required.
type Config struct {
	HeaderCodec       HeaderCodec
	Routes            func() *routing.Table // nil before the first configuration
	Servers           ServerTracker
	Queue             *waitqueue.Queue
	ConnPool          *backend.ConnPool
	ServiceTimes      *ServiceTimeEstimator
	RetryBudget       *retry.WindowBudget
	RetryLimits       func() retry.WindowLimits
	VMCount           func() int  // VMs that share the budget
	DisableKeepAlives func() bool // connections are to end after their answers
	Metrics           *Metrics
	Logger            log.Logger
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct{ cfg Config }

// NewHandler returns a handler.
func NewHandler(cfg Config) *Handler {
	cfg.Logger = log.With(cfg.Logger, "part", "front")
	return &Handler{cfg: cfg}
}

// request is a caller's request in progress.
type request struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	deadline time.Time
	goal     time.Time
	route    *routing.Route
	version  uint64
	service  string

	body     []byte    // the whole body, if it was short enough
	rest     io.Reader // the rest of a longer one
	streamed bool      // rest was handed to a server

	attempts int // requests that may have arrived at a server
	dials    int // servers that could not be reached
	tried    []string
	grant    waitqueue.AcquireResult
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.cfg.DisableKeepAlives() {
		w.Header().Set("Connection", "close")
	}
	q := &request{h: h, w: w, r: r, arrived: arrived}
	if status, reason := q.prepare(); status != 0 {
		q.finish(status, reason, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.serve(ctx)
}

// serve sends the request until an answer can be passed on or none is to be
// expected any more.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.RetryBudget.RecordRequest(q.service, q.arrived, q.h.cfg.RetryLimits())
	for {
		grant, err := q.h.cfg.Queue.Acquire(ctx, q.ask())
		if err != nil {
			q.giveUp(ctx, q.attempts > 0)
			return
		}
		q.grant = grant
		if grant.Action == placement.Refuse {
			q.refuse(string(grant.Reason))
			return
		}
		if done := q.attempt(ctx, grant.Server); done {
			return
		}
	}
}

func (q *request) ask() waitqueue.AcquireRequest {
	return waitqueue.AcquireRequest{
		Service: q.service, Priority: q.route.Priority,
		Request: placement.Request{
			ServiceTime: q.h.cfg.ServiceTimes.Estimate(q.route), SoftDeadline: q.goal, Deadline: q.deadline,
		},
		AllowsRegion: q.route.AllowsRegion,
		Tried:        q.tried,
	}
}
