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

// decision says how a server handles a call that has arrived.
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

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the request is incomplete or too large, so it must not run
	}
	lt, _ := r.Context().Value(lifetimeKey{}).(*lifetime)
	d, faults := s.admit(r)
	s.setCommonHeaders(w.Header(), r)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	switch d {
	case decisionShed:
		s.answerNotRun(w, http.StatusServiceUnavailable, outcome.ReasonShed)
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
		s.endCall(lt)
		s.abortCall(w, lt, err, false)
		return
	}
	rep, err := s.run(ctx, lt, r, body, faults)
	lt.slots.Release(1)
	s.endCall(lt)
	if err != nil {
		s.abortCall(w, lt, err, true)
		return
	}
	s.sendAnswer(w, lt, rep, faults)
}

// admit records the arrival of a call, decides how to handle it, and draws its faults
// if it is accepted. An accepted call counts as in flight until endCall.
func (s *Server) admit(r *http.Request) (decision, drawnFaults) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if home := splitRegions(r.Header.Get(HeaderHomeRegions)); len(home) > 0 && !slices.Contains(home, s.cfg.Region) {
		s.record.OutsideHomeRegions = append(s.record.OutsideHomeRegions, r.Header.Get(HeaderRequestID))
	}
	f := &s.faults
	switch {
	case s.down:
		return decisionDown, drawnFaults{}
	case s.rng.Float64() < f.FailFast:
		return decisionFail, drawnFaults{}
	}
	cold := s.warmup.progress(now) < 1
	if cold {
		s.record.ColdHighWater = max(s.record.ColdHighWater, s.inFlight+1)
	}
	if !s.warmup.admit(now, s.inFlight+1) {
		s.record.ColdOverloads++
		s.goDownLocked(s.cfg.ColdStart.DownTime, s.cfg.ColdStart.Answer503)
		if s.cfg.ColdStart.Answer503 {
			return decisionDown, drawnFaults{}
		}
		return decisionCrash, drawnFaults{}
	}
	if s.inFlight >= s.cfg.Slots+s.cfg.MaxWaiting || s.rng.Float64() < f.Shed {
		s.record.Sheds++
		return decisionShed, drawnFaults{}
	}
	s.inFlight++
	s.recordLoadLocked(now)
	return decisionAccept, s.drawFaultsLocked(now)
}

func (s *Server) drawFaultsLocked(now time.Time) drawnFaults {
	f := &s.faults
	drawn := drawnFaults{
		truncate:    s.rng.Float64() < f.Truncate,
		crossAnswer: s.rng.Float64() < f.Cross,
		extraAnswer: s.rng.Float64() < f.ExtraAnswer,
		runTwice:    s.rng.Float64() < f.RunTwice,
		falseNotRun: s.rng.Float64() < f.FalseNotRun,
	}
	if s.rng.Float64() < f.Late {
		drawn.lateBy = time.Duration(f.LateMs) * time.Millisecond
	}
	factor := s.warmup.slowdownFactor(now)
	if f.Slow > 0 {
		factor *= f.Slow
	}
	drawn.serviceTime = time.Duration(float64(s.cfg.drawServiceTime(s.rng)) * factor)
	return drawn
}

func (s *Server) endCall(l *lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime == l { // the counters are reset when a lifetime starts
		s.inFlight--
		s.recordLoadLocked(s.cfg.Clock.Now())
	}
}

// run executes the request, for which the caller holds a slot, and records the run.
// It returns an error if ctx ends first.
func (s *Server) run(ctx context.Context, l *lifetime, r *http.Request, body []byte, faults drawnFaults) (*reply, error) {
	started := s.cfg.Clock.Now()
	run := Run{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(outcome.HeaderIdempotency),
		HomeRegions:    splitRegions(r.Header.Get(HeaderHomeRegions)),
		Path:           r.URL.Path,
		Started:        started,
	}
	s.mu.Lock()
	run.Instance, run.Draining = s.instanceLocked(), s.draining
	if s.draining {
		run.DrainingFor = started.Sub(s.record.DrainStarted)
	}
	index := len(s.record.Runs)
	s.record.Runs = append(s.record.Runs, run)
	if faults.runTwice {
		s.record.Runs = append(s.record.Runs, run)
	}
	s.running++
	s.record.RunningHighWater = max(s.record.RunningHighWater, s.running)
	s.mu.Unlock()
	defer s.endRun()
	if err := s.sleep(ctx, faults.serviceTime); err != nil {
		return nil, err
	}
	rep := newReply(ResponseMetadata{
		RequestID: run.RequestID, RequestDigest: Digest(body), Target: s.cfg.Name,
		Region: s.cfg.Region, FailureDomain: s.cfg.FailureDomain, Instance: run.Instance,
		ServiceTimeUs: s.cfg.Clock.Since(started).Microseconds(), Length: s.cfg.AnswerBytes,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Runs[index].Finished = true
	if s.lifetime == l {
		s.warmup.served++
	}
	if faults.crossAnswer && s.lastReply != nil {
		rep, s.lastReply = s.lastReply, rep
		return rep, nil
	}
	s.lastReply = rep
	return rep, nil
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := s.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abortCall ends a call that failed with err: its deadline has passed, its caller
// disconnected, or the server went down. started is true if the run had started. A call
// past its deadline is answered with status 504, as not run if it had not started;
// in the other cases the connection is closed without an answer.
func (s *Server) abortCall(w http.ResponseWriter, l *lifetime, err error, started bool) {
	if !errors.Is(err, context.DeadlineExceeded) || l.ctx.Err() != nil {
		s.mu.Lock()
		s.record.Canceled++
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if started {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.answerNotRun(w, http.StatusGatewayTimeout, outcome.ReasonDeadline)
}

// answerNotRun answers that the request did not run.
func (s *Server) answerNotRun(w http.ResponseWriter, status int, reason outcome.Reason) {
	h := w.Header()
	h.Set(outcome.HeaderOutcome, outcome.NotRun.String())
	h.Set(outcome.HeaderReason, string(reason))
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(s.cfg.RetryAfter.Seconds()))))
	http.Error(w, string(reason), status)
}

// setCommonHeaders sets the headers that are part of every answer to r.
func (s *Server) setCommonHeaders(h http.Header, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id := r.Header.Get(outcome.HeaderCallID); id != "" {
		h.Set(outcome.HeaderCallID, id)
	}
	h.Set(outcome.HeaderInstance, s.instanceLocked())
	if s.draining {
		h.Set(outcome.HeaderLeaving, "1")
		h.Set("Connection", "close")
	}
}

// sendAnswer writes the answer and applies the faults drawn for it.
func (s *Server) sendAnswer(w http.ResponseWriter, l *lifetime, rep *reply, faults drawnFaults) {
	if s.sleep(l.ctx, faults.lateBy) != nil {
		panic(http.ErrAbortHandler)
	}
	if faults.falseNotRun {
		s.answerNotRun(w, http.StatusServiceUnavailable, outcome.ReasonShed)
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
		s.sendExtraAnswer(w, rep)
	}
}

// sendExtraAnswer completes the answer and writes a second, unsolicited one on the
// same connection.
func (s *Server) sendExtraAnswer(w http.ResponseWriter, rep *reply) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	conn, buf, err := rc.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.mu.Lock()
	s.record.ExtraAnswers++
	s.mu.Unlock()
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
