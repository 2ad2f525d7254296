package front

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/attemptage"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/capacity"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/team"
	"goldcresthinge.example/goldcresthinge/internal/usage"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

const (
	// maxBufferedBody is the length in bytes up to which a request body is kept
	// in memory, which allows sending it to a second server.
	maxBufferedBody = 64 << 10
	// maxBufferedAnswer is the number of bytes of a response that are read
	// before its first byte is sent to the caller. A response that breaks off
	// within them can be replaced by that of another server.
	maxBufferedAnswer = 256 << 10
	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = 10 * time.Second
	// maxFailedDials is the number of servers without a usable connection after
	// which a request is refused. The request did not arrive at any of them, so
	// they do not count as attempts.
	maxFailedDials = 3
	// writeTimeout bounds how long writing a response to the caller may take.
	writeTimeout = 10 * time.Second
	// notReadyRetryAfter is the time after which callers should retry at a VM
	// that has no configuration yet. Reading it takes a few calls to the store.
	notReadyRetryAfter = 500 * time.Millisecond
)

// HeaderCodec translates the headers that a deployment uses between callers,
// entry VMs and backend servers.
type HeaderCodec interface {
	backend.HeaderCodec
	// ParseRequest returns the ID of a request and the time for which the
	// caller waits, or zero if the request does not state it. The ID is valid
	// even with an error.
	ParseRequest(h http.Header) (id string, timeout time.Duration, err error)
	// SetRetryAfter sets the header that tells the caller to retry after a
	// time.
	SetRetryAfter(h http.Header, after time.Duration)
	// ParseKey returns the API key of a request.
	ParseKey(h http.Header) (key string, credentials team.Credentials)
	// SetTeam removes the API key and sets the name of the caller's team, or none if it is empty.
	SetTeam(h http.Header, name string)
}

// ServerTracker looks up backend servers and records what requests show about
// them. It must be safe for concurrent use.
type ServerTracker interface {
	Server(id string) (fleet.Server, bool)
	// RequestEnded records the end of a request that was granted to the server with the given ID.
	// incarnation is that of the process that got it; 0: none, or not known.
	RequestEnded(id string, incarnation uint64, now time.Time, r fleet.Result)
	ObserveSlowdown(server fleet.Server, at time.Time, slowdown float64)
	// ConnectionRefused records that nothing listens at the address of a
	// server.
	ConnectionRefused(server fleet.Server, at time.Time)
	// ObserveNotice records what an answer of a server said of the server.
	ObserveNotice(server fleet.Server, at time.Time, n fleet.Notice)
	// ResumesAt returns the earliest time at which a server of a service takes requests again if
	// none does now because servers have asked for a pause; zero otherwise.
	ResumesAt(service string, allowsRegion func(region string) bool) time.Time
}

// DemandRecorder records what callers ask for. It must be safe for concurrent use.
type DemandRecorder interface {
	// Arrived records a request for a service. work is the time that it takes at a server of usual
	// speed, and allowsRegion tells which regions may serve it.
	Arrived(service string, allowsRegion func(string) bool, work time.Duration, now time.Time)
	// Refused records such a request for which there was no room in time.
	Refused(service string, allowsRegion func(string) bool, now time.Time)
	// Answered records the bytes of the bodies of such a request and of its answer.
	Answered(service string, allowsRegion func(string) bool, bytes int64, now time.Time)
}

// Config holds what a Handler needs. All fields but OnAttempt are required.
type Config struct {
	HeaderCodec HeaderCodec
	Routes      func() *routing.Table // returns nil before the first configuration
	// ConfigurationAge returns an upper bound of the age of the configuration that Routes
	// returns afterwards, and KeyLimits what it decides on requests with an API key.
	ConfigurationAge  func() time.Duration
	KeyLimits         func() KeyLimits
	UsageLimiter      UsageLimiter
	Servers           ServerTracker
	Queue             *waitqueue.Queue
	ConnPool          *backend.ConnPool
	ServiceTimes      *ServiceTimeEstimator
	AttemptAges       *attemptage.Estimator
	Demand            DemandRecorder
	RetryBudget       *retry.WindowBudget
	RetryLimits       func() retry.WindowLimits
	VMCount           func() int  // number of VMs that share the retry budget
	DisableKeepAlives func() bool // whether connections close after the answers that are sent from now on
	// Ledger limits the bytes of bodies that are kept in memory for all requests together.
	// Beyond it, requests with a body are refused, and responses are passed on without a copy
	// that would allow a retry.
	Ledger *capacity.Ledger
	// Stop ends the requests in progress when it ends: with a refusal as not run those that
	// no server has received, and as timed out the others.
	Stop context.Context //nolint:containedctx // that of the process, not of a request
	// PlannedStop returns the times of a planned stop that has begun, or the zero value. Requests
	// that are not expected to end before it are refused as not run.
	PlannedStop func() PlannedStop
	// OnAttempt is called at the end of each attempt that may have reached its server. It is
	// optional. Calls may be concurrent.
	OnAttempt func(Attempt)
	Metrics   *Metrics
	Logger    log.Logger
}

// PlannedStop holds the times of a planned stop.
type PlannedStop struct {
	// LateFrom is the time from which few requests arrive, since callers no longer connect to the
	// VM. A request that arrives later is passed on only if its own deadline is before End.
	LateFrom time.Time
	End      time.Time // time at which Config.Stop ends; zero if no stop has begun
}

// Attempt is an attempt of a request at a backend server.
type Attempt struct {
	Server, Service, Route string
	Sent                   time.Time
	Took                   time.Duration
	Slowdown               float64 // of the server, as last reported before
	Result                 fleet.Result
	TimedOut               bool // the deadline of the request has passed
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct{ cfg Config }

// NewHandler returns a Handler with the given configuration.
func NewHandler(cfg Config) *Handler {
	cfg.Logger = log.With(cfg.Logger, "part", "front")
	return &Handler{cfg: cfg}
}

// request is a caller's request in progress. It is used by one goroutine.
type request struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	id            string
	arrived       time.Time
	received      time.Time // arrival of the body, or of the part that is kept; before, that of the header
	deadline      time.Time
	softDeadline  time.Time
	route         *routing.Route
	configVersion uint64
	service       string
	team          *team.Team   // nil: anonymous
	key           team.KeyHash // valid if team is not nil
	priority      int          // 0 is the highest
	usage         usage.Decision

	body     []byte      // the whole body, or its first maxBufferedBody bytes if bodyRest is set
	bodyRest *callerBody // the rest of a longer body; nil if there is none
	reserved int64       // bytes of capacity.Bodies in Config.Ledger
	streamed bool        // bodyRest was given to a server, so the request cannot be sent again

	server      string    // ID of the server that has the request at present; empty if none
	incarnation uint64    // of the process of server to which it is sent; 0 before
	sentAt      time.Time // start of the attempt at that server; zero if the request cannot have reached it
	attempts    int       // number of times the request may have arrived at a server
	failedDials int       // number of servers that could not be reached
	mayHaveRun  bool      // a server may have run the request
	tried       []string
	grant       waitqueue.AcquireResult
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the
// caller has closed the connection or the response broke off after its start, and after any
// other panic, which it logs.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{h: h, w: w, r: r, arrived: time.Now()}
	q.received = q.arrived
	defer func() { h.cfg.Ledger.Release(capacity.Bodies, q.reserved) }()
	defer q.returnUsage()
	defer q.recoverPanic()
	defer func() {
		if q.streamed {
			q.bodyRest.stop(http.NewResponseController(w), q.deadline.Add(bodyReadMargin))
		}
	}()
	if status, reason := q.prepare(); status != 0 {
		q.finish(status, reason, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(h.cfg.Stop, cancel)()
	q.serve(ctx)
}

// recoverPanic limits an unexpected panic to the request in which it occurs: the connection
// is closed, and the server is no longer counted as busy with the request.
func (q *request) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler { //nolint:errorlint // net/http compares in the same way
		_ = level.Error(q.h.cfg.Logger).Log("msg", "panic while serving a request; its connection is closed",
			"request", q.id, "panic", p, "stack", string(debug.Stack()))
		q.h.cfg.Metrics.recordUnanswered("panic")
		q.mayHaveRun = true
		if q.server != "" {
			q.endAtServer(time.Now(), fleet.Neutral)
		}
		q.abortAnswer()
	}
	panic(http.ErrAbortHandler)
}

// serve sends the request to one server after another until a response is
// forwarded, the request is refused, or no further attempt is allowed.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.RetryBudget.RecordRequest(q.service, q.arrived, q.h.cfg.RetryLimits())
	q.h.cfg.Demand.Arrived(q.service, q.allowsRegion, q.h.cfg.ServiceTimes.Estimate(q.route), q.arrived)
	for {
		grant, err := q.h.cfg.Queue.Acquire(ctx, q.acquireRequest())
		if err != nil {
			q.endAfterContext(ctx, q.attempts > 0)
			return
		}
		q.grant = grant
		if grant.Action == placement.Refuse {
			if grant.Reason == placement.ReasonOverload || grant.Reason == placement.ReasonAllFull {
				q.h.cfg.Demand.Refused(q.service, q.allowsRegion, time.Now())
			}
			q.refuse(string(grant.Reason))
			return
		}
		q.server, q.sentAt = grant.Server, time.Time{}
		if reason := q.keyRefusal(); reason != "" {
			q.endAtServer(time.Now(), fleet.Neutral)
			q.endForKey(reason)
			return
		}
		if !q.endsBeforeStop(time.Now()) {
			q.endAtServer(time.Now(), fleet.Neutral)
			q.endForStop(q.mayHaveRun)
			return
		}
		if done := q.attempt(ctx, grant.Server); done {
			return
		}
	}
}

func (q *request) acquireRequest() waitqueue.AcquireRequest {
	return waitqueue.AcquireRequest{
		Service: q.service, Priority: q.priority, Team: q.teamName(), TeamWeight: q.teamWeight(),
		Request: placement.Request{
			ServiceTime: q.h.cfg.ServiceTimes.Estimate(q.route), SoftDeadline: q.softDeadline, Deadline: q.deadline,
			BodyBytes: max(q.r.ContentLength, int64(len(q.body))),
		},
		AllowsRegion: q.allowsRegion,
		Tried:        q.tried,
	}
}
