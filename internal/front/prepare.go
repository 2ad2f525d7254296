package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// reasonBuffersFull is the reason for refusing a request because bodies of other requests
// take up the memory for them in Config.Ledger.
const reasonBuffersFull = "body-buffers-full"

// reasonStopping is the reason for ending a request because the VM stops.
const reasonStopping = "stopping"

// stopServiceTimes is the number of usual service times that have to be left before the end of a
// planned stop for a request whose deadline is later. Service times vary, and a server may be slower
// than usual.
const stopServiceTimes = 2

// bodyReadMargin is the time from the deadline of a request until reading its body fails.
// A failed read looks like a caller who has left, so the deadline must come first.
const bodyReadMargin = 50 * time.Millisecond

// prepare parses the headers, finds the route and service, sets the deadlines
// and reads the body. If it returns a status other than zero, the request ends
// with that status and reason.
func (q *request) prepare() (status int, reason string) {
	id, timeout, err := q.h.cfg.HeaderCodec.ParseRequest(q.r.Header)
	q.id = id
	if err != nil {
		return http.StatusBadRequest, "bad-deadline"
	}
	routes := q.h.cfg.Routes()
	if routes == nil {
		return http.StatusServiceUnavailable, "no-configuration"
	}
	q.configVersion = routes.Version()
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
	q.route, q.priority = route, route.Priority
	if status, reason := q.identify(routes); status != 0 {
		return status, reason
	}
	q.service, ok = route.PickService(rand.Float64()) //nolint:gosec // no secret
	if !ok {
		return http.StatusServiceUnavailable, "route-without-service"
	}
	stated := timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	q.softDeadline = q.arrived.Add(min(route.LatencyGoal, timeout))
	if route.LatencyGoal == 0 {
		q.softDeadline = q.deadline
	} else {
		q.softDeadline = q.softDeadline.Add(-q.attemptAge(stated))
	}
	if !q.endsBeforeStop(q.arrived) {
		return http.StatusServiceUnavailable, reasonStopping
	}
	if status, reason := q.admit(); status != 0 {
		return status, reason
	}
	status, reason = q.readBody(limits.BodyBytes)
	q.received = time.Now()
	return status, reason
}

// attemptAge returns the estimated time since the caller's first attempt.
func (q *request) attemptAge(stated time.Duration) time.Duration {
	ages := q.h.cfg.AttemptAges
	if !q.h.cfg.Queue.Overloaded(q.service) {
		ages.Observe(q.route.Name, stated)
	}
	return ages.Age(q.route.Name, stated)
}

// endsBeforeStop reports whether the request, if it is sent at now, can be expected to end before a
// planned stop breaks it off. Callers have other VMs to send it to, as long as no server has it.
func (q *request) endsBeforeStop(now time.Time) bool {
	stop := q.h.cfg.PlannedStop()
	switch {
	case stop.End.IsZero(), !q.deadline.After(stop.End):
		return true
	case !q.received.Before(stop.LateFrom):
		// A server may take longer than usual, and what became of a request that was broken off is
		// not known.
		return false
	default:
		return !now.Add(stopServiceTimes * q.h.cfg.ServiceTimes.Estimate(q.route)).After(stop.End)
	}
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
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
		// Without the ResponseWriter, which the goroutine that sends the body must not use.
		body = http.MaxBytesReader(nil, q.r.Body, limit)
	}
	// A caller may stop sending. Without a deadline, the request would be kept for as
	// long as the connection is open.
	controller := http.NewResponseController(q.w)
	if err := controller.SetReadDeadline(q.deadline.Add(bodyReadMargin)); err != nil {
		return http.StatusServiceUnavailable, "no-read-deadline"
	}
	defer context.AfterFunc(q.h.cfg.Stop, func() { _ = controller.SetReadDeadline(time.Now()) })()
	keep := int64(maxBufferedBody)
	if q.r.ContentLength >= 0 {
		keep = min(keep, q.r.ContentLength)
	}
	if !q.reserve(keep) {
		return http.StatusServiceUnavailable, reasonBuffersFull
	}
	var buf bytes.Buffer
	if q.r.ContentLength > 0 {
		buf.Grow(int(keep) + bytes.MinRead) // as much as is accounted for, without later growth
	}
	_, err := io.CopyN(&buf, body, maxBufferedBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, io.EOF):
		q.body = buf.Bytes()
		// net/http goes on reading the connection while the request is handled. A
		// deadline that passes there would cancel the later requests on it.
		if err := controller.SetReadDeadline(time.Time{}); err != nil {
			return http.StatusServiceUnavailable, "no-read-deadline"
		}
		return 0, ""
	case err != nil && q.h.cfg.Stop.Err() != nil:
		// The read deadline above; in a trailer net/http reports it as an unexpected end.
		return http.StatusServiceUnavailable, reasonStopping
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "body-too-slow"
	case err != nil:
		return http.StatusBadRequest, "body-broken-off"
	}
	q.body, q.bodyRest = buf.Bytes(), &callerBody{Reader: body}
	return 0, ""
}
