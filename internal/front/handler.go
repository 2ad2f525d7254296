package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waiting"
)

const (
	// bufferedBody is the longest request body that is kept, so that it can be
	// sent to a second server. Unit: bytes.
	bufferedBody = 64 << 10
	// bufferedAnswer is the longest answer that is read completely before its
	// first byte is passed on, so that a broken one can be replaced.
	bufferedAnswer = 256 << 10
	// defaultPatience is assumed for callers that state no deadline.
	defaultPatience = 10 * time.Second
	// maxDials bounds the servers that refuse a connection before a request is
	// refused. No request arrived there, so they are not attempts.
	maxDials = 3
	// writeTimeout bounds how long a caller may block the writing of an answer.
	writeTimeout = 10 * time.Second
	// notReadyRetryAfter is when callers come back to a VM that has no
	// configuration yet. Reading it takes a few calls of the store.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Protocol translates the headers of callers.
type Protocol interface {
	backend.Protocol
	// Request returns the id of a request and the time that the caller waits;
	// zero if it does not say.
	Request(h http.Header) (id string, patience time.Duration, err error)
	// SetRetryAfter tells the caller when to come back.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Fleet records what requests show about servers.
type Fleet interface {
	Server(id string) (fleet.Server, bool)
	Ended(id string, now time.Time, r fleet.Result)
	ObserveSlowdown(id string, at time.Time, slowdown float64)
	// ConnectionRefused records that nothing listens at a server's address.
	ConnectionRefused(id string, at time.Time)
}

// Config holds what a Handler needs. All fields are required.
type Config struct {
	Protocol Protocol
	Routes   func() *routing.Table // nil before the first configuration
	Fleet    Fleet
	Room     *waiting.Room
	Pool     *backend.Pool
	Work     *WorkTimes
	Budget   *retry.WindowBudget
	Limits   func() retry.WindowLimits
	VMs      func() int // VMs that share the budget
	RegionOf func(failureDomain string) string
	Closing  func() bool // connections are to end after their answers
	Metrics  *Metrics
	Logger   log.Logger
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
	grant    waiting.Grant
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if h.cfg.Closing() {
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

// prepare finds the route and reads the body. A status other than zero ends
// the request.
func (q *request) prepare() (status int, reason string) {
	id, patience, err := q.h.cfg.Protocol.Request(q.r.Header)
	q.id = id
	if err != nil {
		return http.StatusBadRequest, "bad-deadline"
	}
	routes := q.h.cfg.Routes()
	if routes == nil {
		return http.StatusServiceUnavailable, "no-configuration"
	}
	q.version = routes.Version()
	limits := routes.Limits()
	if limits.HeaderBytes > 0 && headerBytes(q.r) > limits.HeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	}
	if limits.BodyBytes > 0 && q.r.ContentLength > limits.BodyBytes {
		return http.StatusRequestEntityTooLarge, "body-too-large"
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route, ok := routes.Match(q.r.Host, path)
	if !ok {
		return http.StatusNotFound, "no-route"
	}
	q.route = route
	q.service, ok = route.PickService(rand.Float64()) //nolint:gosec // no secret
	if !ok {
		return http.StatusServiceUnavailable, "route-without-service"
	}
	if patience == 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	q.deadline = q.arrived.Add(patience)
	q.goal = q.arrived.Add(min(route.LatencyGoal, patience))
	if route.LatencyGoal == 0 {
		q.goal = q.deadline
	}
	return q.readBody(limits.BodyBytes)
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func (q *request) readBody(limit int64) (status int, reason string) {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return 0, ""
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, body, bufferedBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, io.EOF):
		q.body = buf.Bytes()
		return 0, ""
	case err != nil:
		return http.StatusBadRequest, "body-broken-off"
	}
	q.body, q.rest = buf.Bytes(), body
	return 0, ""
}

// serve sends the request until an answer can be passed on or none is to be
// expected any more.
func (q *request) serve(ctx context.Context) {
	q.h.cfg.Budget.First(q.service, q.arrived, q.h.cfg.Limits())
	for {
		grant, err := q.h.cfg.Room.Acquire(ctx, q.ask())
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

func (q *request) ask() waiting.Ask {
	return waiting.Ask{
		ID: q.id, Service: q.service, Route: q.route.Name, Priority: q.route.Priority,
		Request: placement.Request{
			Work: q.h.cfg.Work.Usual(q.route), Goal: q.goal, Deadline: q.deadline,
		},
		AllowsRegion: q.route.AllowsRegion,
		Tried:        q.tried,
	}
}

// attempt sends the request to one server. It reports whether the request has
// ended.
func (q *request) attempt(ctx context.Context, id string) bool {
	cfg := q.h.cfg
	server, ok := cfg.Fleet.Server(id)
	if !ok {
		// The server left between the decision and now.
		q.tried = append(q.tried, id)
		return false
	}
	sent := time.Now()
	resp, err := cfg.Pool.Do(ctx, cfg.Protocol, server, q.outgoing())
	if err != nil {
		return q.exchangeFailed(ctx, server, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	q.attempts++
	if resp.Answer.Load != nil {
		cfg.Fleet.ObserveSlowdown(id, time.Now(), resp.Answer.Load.Slowdown)
	}
	if resp.Answer.NotRun {
		return q.notRun(server, sent, resp)
	}
	if resp.Status < 300 && !resp.Answer.Genuine {
		cfg.Fleet.Ended(id, time.Now(), fleet.Failed)
		return q.unknown(server, sent, errors.New("the answer lacks the server's proof"))
	}
	return q.passOn(ctx, server, sent, resp)
}

func (q *request) outgoing() *backend.Request {
	out := &backend.Request{
		ID: q.id, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: q.r.Header,
		Timeout: time.Until(q.deadline),
	}
	switch {
	case q.rest != nil:
		out.Body, out.Length = io.MultiReader(bytes.NewReader(q.body), q.rest), q.r.ContentLength
		q.streamed = true
	case len(q.body) > 0:
		out.Body, out.Length = bytes.NewReader(q.body), int64(len(q.body))
	}
	return out
}

// exchangeFailed handles a request without an answer.
func (q *request) exchangeFailed(ctx context.Context, server fleet.Server, sent time.Time, err error) bool {
	cfg := q.h.cfg
	now := time.Now()
	var failure *backend.ExchangeError
	if !errors.As(err, &failure) {
		failure = &backend.ExchangeError{Sent: true, Err: err}
	}
	if ctx.Err() != nil {
		result := fleet.Neutral
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result = fleet.Failed
		}
		cfg.Fleet.Ended(server.ID, now, result)
		if failure.Sent {
			q.attempts++
		}
		q.giveUp(ctx, q.attempts > 0)
		return true
	}
	cfg.Fleet.Ended(server.ID, now, fleet.Failed)
	if failure.Sent {
		q.attempts++
		return q.unknown(server, sent, err)
	}
	if failure.Refused {
		cfg.Fleet.ConnectionRefused(server.ID, sent)
	}
	q.logAttempt(server, sent, "not-sent", err)
	q.tried = append(q.tried, server.ID)
	q.dials++
	if q.dials >= maxDials {
		q.refuse("servers-not-reachable")
		return true
	}
	return false
}

// notRun handles a server's refusal. The request may go to another server.
func (q *request) notRun(server fleet.Server, sent time.Time, resp *backend.Response) bool {
	cfg := q.h.cfg
	cfg.Fleet.Ended(server.ID, time.Now(), fleet.Shed)
	q.logAttempt(server, sent, "not-run", errors.New("status "+strconv.Itoa(resp.Status)))
	q.tried = append(q.tried, server.ID)
	if resp.Status == http.StatusMisdirectedRequest {
		// Another server has the address; what arrived was no attempt.
		q.attempts--
		cfg.Fleet.ConnectionRefused(server.ID, sent)
		if q.dials++; q.dials < maxDials && q.mayResend() {
			return false
		}
		q.refuse("servers-not-reachable")
		return true
	}
	if q.mayRetry() {
		return false
	}
	q.refuse("server-refused")
	return true
}

// unknown handles a request that may have run.
func (q *request) unknown(server fleet.Server, sent time.Time, err error) bool {
	q.logAttempt(server, sent, "unknown", err)
	q.tried = append(q.tried, server.ID)
	if q.route.Idempotent && q.mayRetry() {
		return false
	}
	q.finish(http.StatusBadGateway, "server-failed", 0)
	return true
}

func (q *request) mayResend() bool { return !q.streamed }

// mayRetry takes a repeated arrival from the budget.
func (q *request) mayRetry() bool {
	if !q.mayResend() || q.attempts >= q.route.MaxAttempts {
		return false
	}
	if time.Until(q.deadline) < q.h.cfg.Work.Usual(q.route) {
		return false
	}
	return q.h.cfg.Budget.Allow(q.service, q.route.Priority, time.Now(), q.h.cfg.Limits(), q.h.cfg.VMs())
}

// passOn passes the answer of the server to the caller.
func (q *request) passOn(ctx context.Context, server fleet.Server, sent time.Time, resp *backend.Response) bool {
	cfg := q.h.cfg
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, resp.Body, bufferedAnswer)
	whole := errors.Is(err, io.EOF)
	now := time.Now()
	if err != nil && !whole {
		if ctx.Err() != nil {
			cfg.Fleet.Ended(server.ID, now, fleet.Neutral)
			q.giveUp(ctx, true)
			return true
		}
		cfg.Fleet.Ended(server.ID, now, fleet.Failed)
		return q.unknown(server, sent, err)
	}
	failed := resp.Status >= http.StatusInternalServerError
	result := fleet.Succeeded
	if failed {
		result = fleet.Failed
	}
	cfg.Fleet.Ended(server.ID, now, result)
	if failed && whole && q.route.Idempotent && q.mayRetry() {
		q.logAttempt(server, sent, "failed", errors.New("status "+strconv.Itoa(resp.Status)))
		q.tried = append(q.tried, server.ID)
		return false
	}
	if !failed {
		cfg.Work.Observe(q.route, now.Sub(sent), q.grant.Chosen)
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(now.Add(writeTimeout))
	header := q.w.Header()
	maps.Copy(header, resp.Header)
	if whole && q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(buf.Len()))
	}
	q.w.WriteHeader(resp.Status)
	_, err = q.w.Write(buf.Bytes())
	if err == nil && !whole {
		_, err = io.Copy(q.w, resp.Body)
	}
	q.log("answered", resp.Status, "", err)
	cfg.Metrics.answered(q.route.Priority, time.Since(q.arrived))
	if err != nil {
		// The caller must not take a truncated answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	return true
}

// giveUp ends a request whose context has ended.
func (q *request) giveUp(ctx context.Context, sent bool) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		q.log("caller-left", 0, "", nil)
		q.h.cfg.Metrics.ended("caller-left")
		panic(http.ErrAbortHandler)
	case sent:
		q.finish(http.StatusGatewayTimeout, "deadline", 0)
	default:
		q.refuse("deadline")
	}
}

// refuse ends a request that has not run and will not.
func (q *request) refuse(reason string) {
	left := time.Until(q.deadline)
	q.finish(http.StatusServiceUnavailable, reason, placement.RetryAfter(left, rand.Float64())) //nolint:gosec // no secret
}

func (q *request) finish(status int, reason string, retryAfter time.Duration) {
	if reason == "no-configuration" {
		retryAfter = notReadyRetryAfter
	}
	if retryAfter > 0 {
		q.h.cfg.Protocol.SetRetryAfter(q.w.Header(), retryAfter)
	}
	q.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	q.w.WriteHeader(status)
	_, err := io.WriteString(q.w, reason+"\n")
	q.log("ended", status, reason, err)
	q.h.cfg.Metrics.ended(reason)
}

func (q *request) logAttempt(server fleet.Server, sent time.Time, outcome string, err error) {
	g := q.grant
	_ = level.Info(q.h.cfg.Logger).Log("msg", "attempt failed", "request", q.id, "server", server.ID,
		"outcome", outcome, "took_ms", time.Since(sent).Milliseconds(), "reading_age_ms", g.Age.Milliseconds(),
		"slowdown", g.Chosen.Slowdown, "busy", g.Chosen.Busy, "attempt", q.attempts, "err", err)
	q.h.cfg.Metrics.attemptFailed(outcome)
}

func (q *request) log(outcome string, status int, reason string, err error) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	g := q.grant
	fields := []any{
		"msg", "request", "request", q.id, "route", route, "service", q.service, "outcome", outcome,
		"status", status, "server", g.Server, "decision", g.Reason, "waited_ms", g.Waited.Milliseconds(),
		"reading_age_ms", g.Age.Milliseconds(), "slowdown", g.Chosen.Slowdown, "busy", g.Chosen.Busy,
		"estimate_ms", g.Estimate.Milliseconds(), "candidates", g.Candidates, "attempts", q.attempts,
		"total_ms", time.Since(q.arrived).Milliseconds(), "left_ms", time.Until(q.deadline).Milliseconds(),
		"configuration", q.version,
	}
	if reason != "" {
		fields = append(fields, "reason", reason)
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	_ = level.Info(q.h.cfg.Logger).Log(fields...)
}
