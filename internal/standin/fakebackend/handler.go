package fakebackend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// decision says how a target handles a call that has arrived.
type decision uint8

const (
	decisionAccept decision = iota
	decisionShed
	decisionFail
	decisionDown
	decisionCrash
)

// drawnFaults holds the faults and the service time drawn for one call.
type drawnFaults struct {
	truncate, crossAnswer, extraAnswer, runTwice, falseNotRun bool
	lateBy                                                    time.Duration
	serviceTime                                               time.Duration
}

func (t *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the request is incomplete or too large, so it must not run
	}
	lt, _ := r.Context().Value(lifetimeKey{}).(*lifetime)
	d, faults := t.admit(r)
	t.setCommonHeaders(w.Header())
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	switch d {
	case decisionShed:
		t.refuseNotRun(w, http.StatusServiceUnavailable, outcome.ReasonShed)
		return
	case decisionFail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case decisionDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case decisionCrash:
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	// The call stops counting as in flight before its answer is written: once the
	// caller has the answer, it may send its next call, and the two must not count
	// as concurrent.
	if err := lt.slots.Acquire(ctx, 1); err != nil {
		t.endCall(lt)
		t.abortCall(w, lt, err, false)
		return
	}
	rep, err := t.run(ctx, lt, r, body, faults)
	lt.slots.Release(1)
	t.endCall(lt)
	if err != nil {
		t.abortCall(w, lt, err, true)
		return
	}
	t.sendAnswer(w, lt, rep, faults)
}

// admit records the arrival of a call, decides how to handle it, and draws its faults
// if it is accepted. An accepted call counts as in flight until endCall.
func (t *Server) admit(r *http.Request) (decision, drawnFaults) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if home := splitRegions(r.Header.Get(HeaderHomeRegions)); len(home) > 0 && !slices.Contains(home, t.cfg.Region) {
		t.rec.OutsideHomeRegions = append(t.rec.OutsideHomeRegions, r.Header.Get(HeaderRequestID))
	}
	f := &t.faults
	switch {
	case t.down:
		return decisionDown, drawnFaults{}
	case t.rng.Float64() < f.FailFast:
		return decisionFail, drawnFaults{}
	}
	cold := t.warmup.progress(now) < 1
	if cold {
		t.rec.ColdHighWater = max(t.rec.ColdHighWater, t.inFlight+1)
	}
	if !t.warmup.admit(now, t.inFlight+1) {
		t.rec.ColdOverloads++
		t.goDownLocked(t.cfg.ColdStart.Down, t.cfg.ColdStart.Answer503)
		if t.cfg.ColdStart.Answer503 {
			return decisionDown, drawnFaults{}
		}
		return decisionCrash, drawnFaults{}
	}
	if t.inFlight >= t.cfg.Slots+t.cfg.Waiting || t.rng.Float64() < f.Shed {
		t.rec.Sheds++
		return decisionShed, drawnFaults{}
	}
	t.inFlight++
	t.recordLoadLocked(now)
	return decisionAccept, t.drawFaultsLocked(now)
}

func (t *Server) drawFaultsLocked(now time.Time) drawnFaults {
	f := &t.faults
	drawn := drawnFaults{
		truncate:    t.rng.Float64() < f.Truncate,
		crossAnswer: t.rng.Float64() < f.Cross,
		extraAnswer: t.rng.Float64() < f.ExtraAnswer,
		runTwice:    t.rng.Float64() < f.RunTwice,
		falseNotRun: t.rng.Float64() < f.FalseNotRun,
	}
	if t.rng.Float64() < f.Late {
		drawn.lateBy = time.Duration(f.LateMs) * time.Millisecond
	}
	factor := t.warmup.slowdownFactor(now)
	if f.Slow > 0 {
		factor *= f.Slow
	}
	drawn.serviceTime = time.Duration(float64(t.cfg.drawServiceTime(t.rng)) * factor)
	return drawn
}

func (t *Server) endCall(l *lifetime) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lifetime == l { // the counters are reset when a lifetime starts
		t.inFlight--
		t.recordLoadLocked(t.cfg.Clock.Now())
	}
}

// run executes the request, for which the caller holds a slot, and records the run.
// It returns an error if ctx ends first.
func (t *Server) run(ctx context.Context, l *lifetime, r *http.Request, body []byte, faults drawnFaults) (*reply, error) {
	started := t.cfg.Clock.Now()
	run := Run{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotency),
		HomeRegions:    splitRegions(r.Header.Get(HeaderHomeRegions)),
		Path:           r.URL.Path,
		Started:        started,
	}
	t.mu.Lock()
	run.Instance, run.Draining = t.instanceLocked(), t.draining
	if t.draining {
		run.DrainingFor = started.Sub(t.rec.DrainStarted)
	}
	index := len(t.rec.Runs)
	t.rec.Runs = append(t.rec.Runs, run)
	if faults.runTwice {
		t.rec.Runs = append(t.rec.Runs, run)
	}
	t.running++
	t.rec.RunningHighWater = max(t.rec.RunningHighWater, t.running)
	t.mu.Unlock()
	defer t.endRun()
	if err := t.sleep(ctx, faults.serviceTime); err != nil {
		return nil, err
	}
	rep := newReply(ResponseMetadata{
		RequestID: run.RequestID, RequestDigest: Digest(body), Target: t.cfg.Name,
		Region: t.cfg.Region, FailureDomain: t.cfg.FailureDomain, Instance: run.Instance,
		ServiceTimeUs: t.cfg.Clock.Since(started).Microseconds(), Length: t.cfg.AnswerBytes,
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.Runs[index].Finished = true
	if t.lifetime == l {
		t.warmup.served++
	}
	if faults.crossAnswer && t.lastReply != nil {
		rep, t.lastReply = t.lastReply, rep
		return rep, nil
	}
	t.lastReply = rep
	return rep, nil
}

func (t *Server) endRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := t.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abortCall ends a call that failed with err: its deadline has passed, its caller
// disconnected, or the target went down. started is true if the run had started. A call
// past its deadline is answered with status 504, as not run if it had not started;
// in the other cases the connection is closed without an answer.
func (t *Server) abortCall(w http.ResponseWriter, l *lifetime, err error, started bool) {
	if !errors.Is(err, context.DeadlineExceeded) || l.ctx.Err() != nil {
		t.mu.Lock()
		t.rec.Canceled++
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if started {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	t.refuseNotRun(w, http.StatusGatewayTimeout, outcome.ReasonDeadline)
}

// refuseNotRun answers that the request did not run.
func (t *Server) refuseNotRun(w http.ResponseWriter, status int, reason outcome.Reason) {
	h := w.Header()
	h.Set(outcome.HeaderOutcome, outcome.NotRun.String())
	h.Set(outcome.HeaderReason, string(reason))
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(t.cfg.RetryAfter.Seconds()))))
	http.Error(w, string(reason), status)
}

// setCommonHeaders sets the headers that are part of every answer.
func (t *Server) setCommonHeaders(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.Set(outcome.HeaderInstance, t.instanceLocked())
	if t.draining {
		h.Set(outcome.HeaderLeaving, "1")
		h.Set("Connection", "close")
	}
}

// sendAnswer writes the answer and applies the faults drawn for it.
func (t *Server) sendAnswer(w http.ResponseWriter, l *lifetime, rep *reply, faults drawnFaults) {
	if t.sleep(l.ctx, faults.lateBy) != nil {
		panic(http.ErrAbortHandler)
	}
	if faults.falseNotRun {
		t.refuseNotRun(w, http.StatusServiceUnavailable, outcome.ReasonShed)
		return
	}
	rep.writeHeader(w.Header())
	if faults.truncate {
		_, _ = w.Write(rep.body[:len(rep.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(rep.body)
	if faults.extraAnswer {
		t.sendExtraAnswer(w, rep)
	}
}

// sendExtraAnswer completes the answer and writes a second, unsolicited one on the
// same connection.
func (t *Server) sendExtraAnswer(w http.ResponseWriter, rep *reply) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	conn, buf, err := rc.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	t.mu.Lock()
	t.rec.ExtraAnswers++
	t.mu.Unlock()
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s",
		len(rep.body), HeaderRequestID, rep.metadata.RequestID, rep.body)
	_ = buf.Flush()
}

// withDeadline returns the request's context, limited to the time left that the
// request states in its deadline header, if any.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(outcome.HeaderDeadlineMs))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
