package loadtest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// Result is the outcome of one call as the caller saw it.
type Result struct {
	Arrival *Arrival
	ID      string // request id; differs from the arrival's for a resend
	// Scheduled is the time after the start of the run at which the call was
	// due. Latency is measured from that time, so it includes every delay by the
	// load test or the system.
	Scheduled time.Duration
	Latency   time.Duration
	// SendDelay is the time between Scheduled and the moment at which the load
	// test sent the call.
	SendDelay   time.Duration
	Kind        outcome.Kind
	Reason      string
	Status      int
	ServiceTime time.Duration // as reported by the target; 0 if not known
	AnswerError error         // set if an answer without a read error does not match the request
	CutOff      bool          // the answer ended with a read error, so the caller detected that it was truncated
}

// callTimeoutMargin is the time that a caller waits beyond the deadline of its
// call. It lets the caller receive a late refusal, which would otherwise look like
// a connection without an answer.
const callTimeoutMargin = time.Second

// maxAnswerBytes is the maximum size of an answer body that a caller reads.
const maxAnswerBytes = 4 << 20

// caller sends calls. It is safe for concurrent use.
type caller struct {
	client        *http.Client
	pickAddresses func(a *Arrival) []string // addresses to try, in order
}

func newCaller(maxPerHost int, pickAddresses func(a *Arrival) []string) *caller {
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxPerHost,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		pickAddresses: pickAddresses,
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// call sends one call, trying the next address if a connection cannot be opened,
// and returns the classified result. due is the time after start at which the
// call was due.
func (c *caller) call(ctx context.Context, start time.Time, a *Arrival, id string, due time.Duration) Result {
	r := Result{Arrival: a, ID: id, Scheduled: due, SendDelay: time.Since(start) - due}
	deadline := time.Duration(a.Route.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline+callTimeoutMargin)
	defer cancel()
	for _, address := range c.pickAddresses(a) {
		if c.send(ctx, &r, address, deadline) {
			break
		}
	}
	r.Latency = time.Since(start) - due
	return r
}

// send sends the call to one address and fills in r. It returns false if no
// connection was opened; the caller may then try the next address.
func (c *caller) send(ctx context.Context, r *Result, address string, deadline time.Duration) bool {
	a := r.Arrival
	body := a.Body()
	req, err := http.NewRequestWithContext(ctx, a.Route.Method, "http://"+address+a.Route.Path+"/"+r.ID, bytes.NewReader(body))
	if err != nil {
		r.Reason = "bad-request"
		return true
	}
	// The HTTP client resends requests with an Idempotency-Key on its own if
	// GetBody is set. Such a resend would be missing from the results.
	req.GetBody = nil
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(fakebackend.HeaderRequestID, r.ID)
	req.Header.Set(outcome.HeaderTenant, a.Tenant)
	req.Header.Set(outcome.HeaderDeadlineMs, strconv.Itoa(int(deadline.Milliseconds())))
	if a.Key != "" {
		req.Header.Set(outcome.HeaderIdempotency, a.Key)
	}
	if len(a.HomeRegions) > 0 {
		req.Header.Set(fakebackend.HeaderHomeRegions, strings.Join(a.HomeRegions, ","))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.Kind, r.Reason = outcome.Unknown, "connection"
		if ctx.Err() != nil {
			r.Reason = "caller-timeout"
		}
		return !isDialError(err) || ctx.Err() != nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	r.Status = resp.StatusCode
	if r.Reason = resp.Header.Get(outcome.HeaderReason); r.Reason == "" {
		r.Reason = "status-" + strconv.Itoa(resp.StatusCode)
	}
	if err != nil {
		r.Kind, r.CutOff, r.Reason = outcome.Unknown, true, "cut-off"
		return true
	}
	classify(r, resp, body, answer)
	return true
}

// classify sets the outcome of r from the headers of the answer and checks that
// an answer of a target matches the request.
func classify(r *Result, resp *http.Response, request, answer []byte) {
	h := resp.Header
	r.Kind = outcome.ParseKind(h.Get(outcome.HeaderOutcome))
	if h.Get(outcome.HeaderOutcome) == "" && resp.StatusCode == http.StatusOK {
		r.Kind = outcome.Answered // answer of a target that was called directly
	}
	if us, err := strconv.ParseInt(h.Get(fakebackend.HeaderServiceTime), 10, 64); err == nil {
		r.ServiceTime = time.Duration(us) * time.Microsecond
	}
	switch {
	case r.Kind != outcome.Answered || h.Get(outcome.HeaderEarlierStatus) != "":
	case resp.StatusCode == http.StatusOK:
		_, r.AnswerError = fakebackend.CheckResponse(r.ID, request, answer)
	case h.Get(fakebackend.HeaderRequestID) != "" && h.Get(fakebackend.HeaderRequestID) != r.ID:
		r.AnswerError = fakebackend.ErrRequestMismatch
	}
}

// isDialError reports whether err means that no connection was opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
