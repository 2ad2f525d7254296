package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// reply copies an answer to the caller and closes its body. If the answer ends
// early, reply panics with http.ErrAbortHandler.
func (g *Gateway) reply(w http.ResponseWriter, r *http.Request, a *call.Answer, start time.Time) {
	defer func() { _ = a.Body.Close() }()
	call.RemoveHopByHop(a.Header)
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(outcome.HeaderOutcome, outcome.Answered.String())
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	// The wrapper hides the method ReadFrom of the response writer: CopyBuffer
	// would call it instead of using buf, and it allocates a buffer per answer.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, a.Body, buf[:])
	if err != nil {
		g.metrics.outcome(outcome.Unknown).Inc(1)
		_ = level.Info(g.log).Log("msg", "answer ended early, connection to the caller aborted", "err", err)
		abortAnswer(w, r)
	}
	g.metrics.answered.Inc(1)
	g.metrics.latency.Record(g.now().Sub(start))
}

// abortAnswer ends the connection of a caller that has got a part of an answer, so that it does not
// take the part for the whole answer. It panics with http.ErrAbortHandler.
func abortAnswer(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, the end of an answer may be that of its connection.
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if s, ok := c.(interface{ SetLinger(sec int) error }); ok {
				_ = s.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// refuse replies without the answer of a target, see Refusal, and records it in the
// recent refusals and the metrics. Details of server errors are not sent to the
// caller.
func (g *Gateway) refuse(w http.ResponseWriter, service string, e *outcome.Error, start time.Time) {
	now := g.now()
	g.refusals.add(Refusal{
		At: now, Service: service, Outcome: e.Kind.String(), Reason: e.Reason,
		AfterMs: now.Sub(start).Milliseconds(),
	})
	g.metrics.outcome(e.Kind).Inc(1)
	g.metrics.reason(e.Reason).Inc(1)
	e.SetHeaders(w.Header())
	text := e.Kind.String() + ": " + string(e.Reason)
	if e.Detail != "" && e.Status < http.StatusInternalServerError {
		text += ": " + e.Detail
	}
	if e.Kind == outcome.Unknown {
		_ = level.Info(g.log).Log("msg", "call ended with unknown outcome and may have run", "reason", e.Reason, "after", now.Sub(start))
	}
	http.Error(w, text, e.Status)
}

// refuseClaim refuses a call whose key could not be claimed. For a duplicate, it
// adds the status of the earlier answer if that is known.
func (g *Gateway) refuseClaim(w http.ResponseWriter, service string, err error, start time.Time) {
	var dup *claim.DuplicateError
	if errors.As(err, &dup) && dup.EarlierStatus > 0 {
		w.Header().Set(outcome.HeaderEarlierStatus, strconv.Itoa(dup.EarlierStatus))
	}
	g.refuse(w, service, outcome.FromError(err), start)
}

func (g *Gateway) logClaimError(msg string, err error) {
	_ = level.Warn(g.log).Log("msg", msg, "err", err)
}

// metrics holds the metrics of the gateway. The only labels are outcomes and
// reasons, never data of a request.
type metrics struct {
	scope               tally.Scope
	latency             tally.Timer
	forwards            tally.Counter
	crossRegionForwards tally.Counter
	answered            tally.Counter // looked up once, since almost all calls increment it
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:               scope,
		latency:             scope.Timer("call_latency"),
		forwards:            scope.Counter("call_forwards"),
		crossRegionForwards: scope.Counter("call_crossings"),
	}
	m.answered = m.outcome(outcome.Answered)
	return m
}

func (m *metrics) outcome(k outcome.Kind) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": k.String()}).Counter("calls")
}

func (m *metrics) reason(r outcome.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refusals")
}
