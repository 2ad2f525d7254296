package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// attempt sends the request to one server. It reports whether the request has
// ended.
func (q *request) attempt(ctx context.Context, id string) bool {
	cfg := q.h.cfg
	server, ok := cfg.Servers.Server(id)
	if !ok {
		// The server left between the decision and now.
		q.tried = append(q.tried, id)
		return false
	}
	sent := time.Now()
	resp, err := cfg.ConnPool.Do(ctx, cfg.HeaderCodec, server, q.outgoing())
	if err != nil {
		return q.exchangeFailed(ctx, server, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	q.attempts++
	if resp.Info.Load != nil {
		cfg.Servers.ObserveSlowdown(id, time.Now(), resp.Info.Load.Slowdown)
	}
	if resp.Info.NotRun {
		return q.notRun(server, sent, resp)
	}
	if resp.Status < 300 && !resp.Info.FromServer {
		cfg.Servers.RequestEnded(id, time.Now(), fleet.Failed)
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
		cfg.Servers.RequestEnded(server.ID, now, result)
		if failure.Sent {
			q.attempts++
		}
		q.giveUp(ctx, q.attempts > 0)
		return true
	}
	cfg.Servers.RequestEnded(server.ID, now, fleet.Failed)
	if failure.Sent {
		q.attempts++
		return q.unknown(server, sent, err)
	}
	if failure.ConnRefused {
		cfg.Servers.ConnectionRefused(server.ID, sent)
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
	cfg.Servers.RequestEnded(server.ID, time.Now(), fleet.Shed)
	q.logAttempt(server, sent, "not-run", errors.New("status "+strconv.Itoa(resp.Status)))
	q.tried = append(q.tried, server.ID)
	if resp.Status == http.StatusMisdirectedRequest {
		// Another server has the address; what arrived was no attempt.
		q.attempts--
		cfg.Servers.ConnectionRefused(server.ID, sent)
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
	if time.Until(q.deadline) < q.h.cfg.ServiceTimes.Estimate(q.route) {
		return false
	}
	return q.h.cfg.RetryBudget.Allow(q.service, q.route.Priority, time.Now(), q.h.cfg.RetryLimits(), q.h.cfg.VMCount())
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
			cfg.Servers.RequestEnded(server.ID, now, fleet.Neutral)
			q.giveUp(ctx, true)
			return true
		}
		cfg.Servers.RequestEnded(server.ID, now, fleet.Failed)
		return q.unknown(server, sent, err)
	}
	failed := resp.Status >= http.StatusInternalServerError
	result := fleet.Succeeded
	if failed {
		result = fleet.Failed
	}
	cfg.Servers.RequestEnded(server.ID, now, result)
	if failed && whole && q.route.Idempotent && q.mayRetry() {
		q.logAttempt(server, sent, "failed", errors.New("status "+strconv.Itoa(resp.Status)))
		q.tried = append(q.tried, server.ID)
		return false
	}
	if !failed {
		cfg.ServiceTimes.Observe(q.route, now.Sub(sent), q.grant.Chosen)
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
