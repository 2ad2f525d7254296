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

// verdict is the decision on a call that has arrived.
type verdict uint8

const (
	accept verdict = iota
	shed
	failFast
	isDown
	fallOver
)

// chances are the faults drawn for one call.
type chances struct {
	truncate, cross, extra, twice, falseNotRun bool
	late                                       time.Duration
	service                                    time.Duration
}

func (t *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler) // the request is not whole, so it must not run
	}
	life, _ := r.Context().Value(lifeKey{}).(*life)
	v, ch := t.arrive(r)
	t.decorate(w.Header())
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	switch v {
	case shed:
		t.refuse(w, http.StatusServiceUnavailable, outcome.ReasonShed)
		return
	case failFast:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case isDown:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case fallOver:
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	// The call leaves before its answer is written: a caller that has the
	// answer may send the next call, which must not count as a second one.
	if err := life.slots.Acquire(ctx, 1); err != nil {
		t.leave(life)
		t.giveUp(w, life, err, false)
		return
	}
	rep, err := t.run(ctx, life, r, body, ch)
	life.slots.Release(1)
	t.leave(life)
	if err != nil {
		t.giveUp(w, life, err, true)
		return
	}
	t.send(w, life, rep, ch)
}

// arrive notes a call and decides on it.
func (t *Server) arrive(r *http.Request) (verdict, chances) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if home := splitRegions(r.Header.Get(HeaderHomeRegions)); len(home) > 0 && !slices.Contains(home, t.cfg.Region) {
		t.rec.OutsideHomeRegions = append(t.rec.OutsideHomeRegions, r.Header.Get(HeaderRequestID))
	}
	f := &t.faults
	switch {
	case t.down:
		return isDown, chances{}
	case t.rng.Float64() < f.FailFast:
		return failFast, chances{}
	}
	cold := t.warm.level(now) < 1
	if cold {
		t.rec.ColdHighWater = max(t.rec.ColdHighWater, t.inFlight+1)
	}
	if !t.warm.arrive(now, t.inFlight+1) {
		t.rec.ColdOverloads++
		t.goDownLocked(t.cfg.ColdStart.Down, t.cfg.ColdStart.Answer503)
		if t.cfg.ColdStart.Answer503 {
			return isDown, chances{}
		}
		return fallOver, chances{}
	}
	if t.inFlight >= t.cfg.Slots+t.cfg.Waiting || t.rng.Float64() < f.Shed {
		t.rec.Sheds++
		return shed, chances{}
	}
	t.inFlight++
	t.sampleLocked(now)
	return accept, t.drawLocked(now)
}

func (t *Server) drawLocked(now time.Time) chances {
	f := &t.faults
	c := chances{
		truncate:    t.rng.Float64() < f.Truncate,
		cross:       t.rng.Float64() < f.Cross,
		extra:       t.rng.Float64() < f.ExtraAnswer,
		twice:       t.rng.Float64() < f.RunTwice,
		falseNotRun: t.rng.Float64() < f.FalseNotRun,
	}
	if t.rng.Float64() < f.Late {
		c.late = time.Duration(f.LateMs) * time.Millisecond
	}
	factor := t.warm.slowdown(now)
	if f.Slow > 0 {
		factor *= f.Slow
	}
	c.service = time.Duration(float64(t.cfg.draw(t.rng)) * factor)
	return c
}

func (t *Server) leave(l *life) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.life == l { // counters start anew with each life
		t.inFlight--
		t.sampleLocked(t.cfg.Clock.Now())
	}
}

// run executes the request while it holds a slot.
func (t *Server) run(ctx context.Context, l *life, r *http.Request, body []byte, c chances) (*reply, error) {
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
	at := len(t.rec.Runs)
	t.rec.Runs = append(t.rec.Runs, run)
	if c.twice {
		t.rec.Runs = append(t.rec.Runs, run)
	}
	t.running++
	t.rec.RunningHighWater = max(t.rec.RunningHighWater, t.running)
	t.mu.Unlock()
	defer t.endRun()
	if err := t.sleep(ctx, c.service); err != nil {
		return nil, err
	}
	rep := newReply(ResponseMetadata{
		RequestID: run.RequestID, RequestDigest: Digest(body), Target: t.cfg.Name,
		Region: t.cfg.Region, FailureDomain: t.cfg.FailureDomain, Instance: run.Instance,
		ServiceTimeUs: t.cfg.Clock.Since(started).Microseconds(), Length: t.cfg.AnswerBytes,
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.Runs[at].Finished = true
	if t.life == l {
		t.warm.served++
	}
	if c.cross && t.last != nil {
		rep, t.last = t.last, rep
		return rep, nil
	}
	t.last = rep
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

// giveUp ends a call that was canceled, cut off or has passed its deadline.
func (t *Server) giveUp(w http.ResponseWriter, l *life, err error, ran bool) {
	if !errors.Is(err, context.DeadlineExceeded) || l.ctx.Err() != nil {
		t.mu.Lock()
		t.rec.Canceled++
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if ran {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	t.refuse(w, http.StatusGatewayTimeout, outcome.ReasonDeadline)
}

// refuse says that the request did not run.
func (t *Server) refuse(w http.ResponseWriter, status int, reason outcome.Reason) {
	h := w.Header()
	h.Set(outcome.HeaderOutcome, outcome.NotRun.String())
	h.Set(outcome.HeaderReason, string(reason))
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(t.cfg.RetryAfter.Seconds()))))
	http.Error(w, string(reason), status)
}

// decorate adds the headers that each answer carries.
func (t *Server) decorate(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.Set(outcome.HeaderInstance, t.instanceLocked())
	if t.draining {
		h.Set(outcome.HeaderLeaving, "1")
		h.Set("Connection", "close")
	}
}

// send writes the answer, with the faults drawn for it.
func (t *Server) send(w http.ResponseWriter, l *life, rep *reply, c chances) {
	if t.sleep(l.ctx, c.late) != nil {
		panic(http.ErrAbortHandler)
	}
	if c.falseNotRun {
		t.refuse(w, http.StatusServiceUnavailable, outcome.ReasonShed)
		return
	}
	rep.writeHeader(w.Header())
	if c.truncate {
		_, _ = w.Write(rep.body[:len(rep.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(rep.body)
	if c.extra {
		t.sendExtra(w, rep)
	}
}

// sendExtra ends the answer and writes a second one behind it.
func (t *Server) sendExtra(w http.ResponseWriter, rep *reply) {
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
		len(rep.body), HeaderRequestID, rep.head.RequestID, rep.body)
	_ = buf.Flush()
}

// withDeadline applies the time left that the request names.
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
