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

// reply writes a whole answer. If the answer ends early, the connection to the
// caller is aborted, so that a truncated answer never looks complete.
func (g *Gateway) reply(w http.ResponseWriter, a *call.Answer, start time.Time) {
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
	// The wrapper hides ReadFrom of the response writer, which would allocate
	// a buffer per answer.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, a.Body, buf[:])
	if err != nil {
		g.metrics.outcome(outcome.Unknown).Inc(1)
		_ = level.Info(g.log).Log("msg", "answer ended early, connection to the caller aborted", "err", err)
		panic(http.ErrAbortHandler)
	}
	g.metrics.answered.Inc(1)
	g.metrics.latency.Record(g.now().Sub(start))
}

// refuse writes an outcome that is not an answer.
func (g *Gateway) refuse(w http.ResponseWriter, service string, e *outcome.Error, start time.Time) {
	now := g.now()
	g.recent.add(Refusal{
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
		_ = level.Info(g.log).Log("msg", "call ended as unknown", "reason", e.Reason, "after", now.Sub(start))
	}
	http.Error(w, text, e.Status)
}

// refuseDuplicate writes why a claim was refused.
func (g *Gateway) refuseDuplicate(w http.ResponseWriter, service string, err error, start time.Time) {
	var dup *claim.DuplicateError
	if errors.As(err, &dup) && dup.EarlierStatus > 0 {
		w.Header().Set(outcome.HeaderEarlierStatus, strconv.Itoa(dup.EarlierStatus))
	}
	g.refuse(w, service, outcome.FromError(err), start)
}

func (g *Gateway) logClaim(msg string, err error) {
	_ = level.Warn(g.log).Log("msg", msg, "err", err)
}

// metrics holds the counters of the gateway. Labels are outcomes and reasons
// only, never anything of a request.
type metrics struct {
	scope     tally.Scope
	latency   tally.Timer
	forwards  tally.Counter
	crossings tally.Counter
	answered  tally.Counter // looked up once, since almost all calls count here
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:     scope,
		latency:   scope.Timer("call_latency"),
		forwards:  scope.Counter("call_forwards"),
		crossings: scope.Counter("call_crossings"),
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
