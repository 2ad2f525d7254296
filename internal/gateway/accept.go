package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

const (
	// maxDepth bounds the depth of nested calls, which ends loops of services
	// that call each other. Legitimate calls have depths up to 27.
	maxDepth = 32
	// maxDeadline bounds the time limit that a caller may request.
	maxDeadline = 5 * time.Minute
	// settleTimeout bounds how long an answer or refusal is delayed until the
	// outcome of the call is recorded in its claim. After that, the claimer
	// continues to record it in the background. The timeout is longer than a
	// transaction from another region takes, and short enough that an outage of
	// the store does not delay answers beyond their deadline.
	settleTimeout = 100 * time.Millisecond
)

// accept converts a request to a call without its body, or returns the reason why
// the request is refused. If the reason is the region, it also sets the header
// with the home regions.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call.Call, *outcome.Error) {
	if !g.cfg.Ready(now) {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	snap := g.cfg.Snapshot()
	if snap == nil {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	route, ok := snap.Route(r.Method, r.URL.Path)
	if !ok {
		return nil, outcome.NewNotRun(http.StatusNotFound, outcome.ReasonNoRoute, "")
	}
	tenant := r.Header.Get(outcome.HeaderTenant)
	regions, restricted := snap.HomeRegions(route, tenant)
	if restricted && !slices.Contains(regions, g.cfg.Self.Region) {
		w.Header()[outcome.HeaderHomeRegions] = slices.Clone(regions)
		return nil, outcome.NewNotRun(http.StatusMisdirectedRequest, outcome.ReasonWrongRegion, "")
	}
	c := &call.Call{
		Service:       route.Service,
		Route:         route.Name,
		Tenant:        tenant,
		Method:        r.Method,
		Path:          r.URL.RequestURI(),
		Header:        maps.Clone(r.Header), // a shallow copy suffices: values are replaced, never modified
		NonIdempotent: route.NonIdempotent,
		HomeRegions:   regions,
		ConfigVersion: snap.Version,
	}
	call.RemoveHopByHop(c.Header)
	if r.Host != "" {
		c.Header.Set("Host", r.Host)
	}
	if refusal := readCallHeaders(c, r.Header, route, now); refusal != nil {
		return nil, refusal
	}
	if refusal := g.checkClaimable(snap, c); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// readCallHeaders sets the deadline, depth and attempt of c from the headers of the
// request. A request without these headers has the time limit of its route, depth
// 1 and attempt 0.
func readCallHeaders(c *call.Call, h http.Header, route *inventory.Route, now time.Time) *outcome.Error {
	deadline, refusal := intHeader(h, outcome.HeaderDeadlineMs, route.DeadlineMs)
	if refusal != nil {
		return refusal
	}
	if deadline <= 0 {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	}
	c.Deadline = now.Add(min(time.Duration(deadline)*time.Millisecond, maxDeadline))
	depth, refusal := intHeader(h, outcome.HeaderDepth, 0)
	if refusal != nil {
		return refusal
	}
	c.Depth = depth + 1
	if depth < 0 || c.Depth > maxDepth {
		return outcome.NewNotRun(http.StatusLoopDetected, outcome.ReasonDepth, "")
	}
	c.Attempt, refusal = intHeader(h, outcome.HeaderAttempt, 0)
	return refusal
}

func intHeader(h http.Header, name string, defaultValue int) (int, *outcome.Error) {
	text := h.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonBadRequest, name+" is not a whole number")
	}
	return int(n), nil
}

// checkClaimable refuses a non-idempotent call without an idempotency key or whose
// key cannot be claimed in this region. Without a claim, the call could run twice.
func (g *Gateway) checkClaimable(snap *inventory.Snapshot, c *call.Call) *outcome.Error {
	if !c.NonIdempotent {
		return nil
	}
	if c.Header.Get(outcome.HeaderIdempotency) == "" {
		return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonNoKey, "header Idempotency-Key is required")
	}
	_, refusal := g.claimerFor(snap, c.HomeRegions)
	return refusal
}

// readBody reads the whole request body into c before the call is sent. If the
// caller disconnects in the middle of the body, nothing has been run.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call.Call) *outcome.Error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.cfg.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.NewNotRun(http.StatusRequestEntityTooLarge, outcome.ReasonBodyTooLarge,
			"limit is "+strconv.FormatInt(g.cfg.MaxBody, 10)+" bytes")
	}
	if err != nil {
		return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonBadRequest, "request body ended early")
	}
	c.Body = body
	return nil
}
