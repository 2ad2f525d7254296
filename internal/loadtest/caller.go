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

// Result is what a caller saw of one call.
type Result struct {
	Arrival *Arrival
	ID      string // request id; differs from the arrival's for a resend
	// Scheduled is when the call was due, after the start of the run; Latency
	// counts from then, also if the tool or the system kept it waiting.
	Scheduled time.Duration
	Latency   time.Duration
	// Behind is how long after its due time the tool sent the call.
	Behind  time.Duration
	Kind    outcome.Kind
	Reason  string
	Status  int
	Service time.Duration // service time by the target; 0 if not known
	Wrong   error         // a complete answer that is not the right one
	CutOff  bool          // the answer ended early and the caller noticed
}

// callGrace is how long after the deadline a caller still waits, so that a late
// refusal is seen and not taken for a hung connection.
const callGrace = time.Second

// maxAnswer bounds the answer a caller reads. Unit: bytes.
const maxAnswer = 4 << 20

// caller sends calls. It may be used from any goroutine.
type caller struct {
	client *http.Client
	pick   func(a *Arrival) []string // addresses to try, in order
}

func newCaller(maxPerHost int, pick func(a *Arrival) []string) *caller {
	return &caller{
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxPerHost,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		pick: pick,
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// call sends one call and classifies what came back.
func (c *caller) call(ctx context.Context, start time.Time, a *Arrival, id string, due time.Duration) Result {
	r := Result{Arrival: a, ID: id, Scheduled: due, Behind: time.Since(start) - due}
	deadline := time.Duration(a.Route.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, deadline+callGrace)
	defer cancel()
	for _, address := range c.pick(a) {
		if c.send(ctx, &r, address, deadline) {
			break
		}
	}
	r.Latency = time.Since(start) - due
	return r
}

// send sends the call to one address. It returns false if no connection was
// made, so that the next address may be tried.
func (c *caller) send(ctx context.Context, r *Result, address string, deadline time.Duration) bool {
	a := r.Arrival
	body := a.Body()
	req, err := http.NewRequestWithContext(ctx, a.Route.Method, "http://"+address+a.Route.Path+"/"+r.ID, bytes.NewReader(body))
	if err != nil {
		r.Reason = "bad-request"
		return true
	}
	// The HTTP client sends requests with an Idempotency-Key again on its own
	// when it can get the body anew; the tool counts every send itself.
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
	if len(a.Home) > 0 {
		req.Header.Set(fakebackend.HeaderHomeRegions, strings.Join(a.Home, ","))
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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

// classify takes the outcome from the answer and checks an answer of a target.
func classify(r *Result, resp *http.Response, request, answer []byte) {
	h := resp.Header
	r.Kind = outcome.ParseKind(h.Get(outcome.HeaderOutcome))
	if h.Get(outcome.HeaderOutcome) == "" && resp.StatusCode == http.StatusOK {
		r.Kind = outcome.Answered // a target that was called directly
	}
	if us, err := strconv.ParseInt(h.Get(fakebackend.HeaderServiceTime), 10, 64); err == nil {
		r.Service = time.Duration(us) * time.Microsecond
	}
	switch {
	case r.Kind != outcome.Answered || h.Get(outcome.HeaderEarlierStatus) != "":
	case resp.StatusCode == http.StatusOK:
		_, r.Wrong = fakebackend.CheckResponse(r.ID, request, answer)
	case h.Get(fakebackend.HeaderRequestID) != "" && h.Get(fakebackend.HeaderRequestID) != r.ID:
		r.Wrong = fakebackend.ErrRequestMismatch
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
