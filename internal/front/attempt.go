package front

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// attempt sends the request to the server with the given ID. It reports whether
// the request has ended; if not, another server may be chosen.
func (q *request) attempt(ctx context.Context, id string) bool {
	cfg := q.h.cfg
	server, ok := cfg.Servers.Server(id)
	if !ok {
		// The server was removed after the decision.
		q.tried = append(q.tried, id)
		return false
	}
	sent := time.Now()
	q.sentAt = sent
	q.incarnation = server.Incarnation
	resp, err := cfg.ConnPool.Do(ctx, cfg.HeaderCodec, server, q.backendRequest())
	if err != nil {
		return q.handleExchangeError(ctx, server, sent, err)
	}
	defer func() { _ = resp.Body.Close() }()
	q.attempts++
	if resp.Info.Load != nil {
		cfg.Servers.ObserveSlowdown(server, time.Now(), resp.Info.Load.Slowdown)
	}
	if resp.Status != http.StatusMisdirectedRequest { // that is an answer of another server
		cfg.Servers.ObserveNotice(server, time.Now(), resp.Info.Notice)
	}
	if resp.Info.NotRun {
		return q.handleNotRun(server, sent, resp)
	}
	q.mayHaveRun = true
	if resp.Status < 300 && !resp.Info.FromServer {
		q.endAtServer(time.Now(), fleet.Failed)
		return q.handleUnknownOutcome(server, sent, errors.New("the response lacks the proof that it comes from the backend server"))
	}
	return q.forwardResponse(ctx, server, sent, resp)
}

// endAtServer records the result of the request at the server that has it.
func (q *request) endAtServer(now time.Time, r fleet.Result) {
	server, incarnation := q.server, q.incarnation
	q.server, q.incarnation = "", 0
	q.h.cfg.Servers.RequestEnded(server, incarnation, now, r)
	if q.h.cfg.OnAttempt == nil || q.sentAt.IsZero() {
		return
	}
	q.h.cfg.OnAttempt(Attempt{
		Server: server, Service: q.service, Route: q.route.Name, Sent: q.sentAt, Took: now.Sub(q.sentAt),
		Slowdown: q.grant.Chosen.Slowdown, Result: r, TimedOut: !now.Before(q.deadline),
	})
}

func (q *request) backendRequest() *backend.Request {
	out := &backend.Request{
		ID: q.id, Method: q.r.Method, RequestURI: q.r.RequestURI, Host: q.r.Host, Header: q.r.Header,
		Timeout: time.Until(q.deadline), Check: q.checkKey,
	}
	switch {
	case q.bodyRest != nil:
		out.Body, out.Length = io.MultiReader(bytes.NewReader(q.body), q.bodyRest), q.r.ContentLength
		q.streamed = true
		// By default, net/http reads and discards the rest of the body when the header of the
		// answer is written, and the server would get only what is left. The call fails only for
		// a writer that is not that of net/http.
		_ = http.NewResponseController(q.w).EnableFullDuplex()
	case len(q.body) > 0:
		out.Body, out.Length = bytes.NewReader(q.body), int64(len(q.body))
	}
	return out
}

// handleExchangeError handles a request to which the server sent no response.
// It reports whether the request has ended.
func (q *request) handleExchangeError(ctx context.Context, server fleet.Server, sent time.Time, err error) bool {
	cfg := q.h.cfg
	now := time.Now()
	var exchangeErr *backend.ExchangeError
	if !errors.As(err, &exchangeErr) {
		exchangeErr = &backend.ExchangeError{Sent: true, Err: err}
	}
	q.mayHaveRun = q.mayHaveRun || exchangeErr.Sent
	if !exchangeErr.Sent {
		q.sentAt = time.Time{}
	}
	if errors.Is(err, errKeyNotValid) {
		q.endAtServer(now, fleet.Neutral)
		q.endForKey(cmp.Or(q.keyRefusal(), reasonOldConfiguration))
		return true
	}
	if ctx.Err() != nil {
		result := fleet.Neutral
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && !q.bodyRest.stalled() {
			result = fleet.Failed
		}
		q.endAtServer(now, result)
		if exchangeErr.Sent {
			q.attempts++
		}
		q.endAfterContext(ctx, q.attempts > 0)
		return true
	}
	if exchangeErr.Sent && q.bodyRest.broken() {
		// The server got a body that ends early, which says nothing about the server.
		q.endAtServer(now, fleet.Neutral)
		q.attempts++
		q.logFailedAttempt(server, sent, "body-broken-off", err)
		q.finish(http.StatusBadRequest, "body-broken-off", 0)
		return true
	}
	result := fleet.Failed
	if errors.Is(err, backend.ErrNoSocket) || errors.Is(err, backend.ErrNoMemory) {
		result = fleet.Neutral // the shortage is that of this VM
	}
	q.endAtServer(now, result)
	if exchangeErr.Sent {
		q.attempts++
		return q.handleUnknownOutcome(server, sent, err)
	}
	if errors.Is(err, backend.ErrNoSocket) {
		q.logFailedAttempt(server, sent, "not-sent", err)
		q.refuse("no-socket")
		return true
	}
	if exchangeErr.ConnRefused {
		cfg.Servers.ConnectionRefused(server, sent)
	}
	q.logFailedAttempt(server, sent, "not-sent", err)
	q.tried = append(q.tried, server.ID)
	q.failedDials++
	if q.failedDials >= maxFailedDials {
		q.refuse("servers-not-reachable")
		return true
	}
	return false
}

// handleNotRun handles a response that says that the server did not run the
// request. It reports whether the request has ended; if not, it may go to
// another server.
func (q *request) handleNotRun(server fleet.Server, sent time.Time, resp *backend.Response) bool {
	cfg := q.h.cfg
	q.endAtServer(time.Now(), fleet.Shed)
	q.logFailedAttempt(server, sent, "not-run", errors.New("status "+strconv.Itoa(resp.Status)))
	q.tried = append(q.tried, server.ID)
	if resp.Status == http.StatusMisdirectedRequest {
		// Another server has taken over the address, so the request does not
		// count as an attempt.
		q.attempts--
		cfg.Servers.ConnectionRefused(server, sent)
		if q.failedDials++; q.failedDials < maxFailedDials && q.canResend() {
			return false
		}
		q.refuse("servers-not-reachable")
		return true
	}
	if q.consumeRetry() {
		return false
	}
	q.refuse(reasonServerRefused)
	return true
}

// handleUnknownOutcome handles a request that the server may have run although
// no usable response arrived. Only idempotent requests may go to another
// server. It reports whether the request has ended.
func (q *request) handleUnknownOutcome(server fleet.Server, sent time.Time, err error) bool {
	q.logFailedAttempt(server, sent, "unknown", err)
	q.tried = append(q.tried, server.ID)
	if q.route.Idempotent && q.consumeRetry() {
		return false
	}
	q.finish(http.StatusBadGateway, "server-failed", 0)
	return true
}

func (q *request) canResend() bool { return !q.streamed }

// consumeRetry reports whether the request may be sent again, and if so takes
// one retry from the budget. The body must still be available, the attempts of
// the route not be used up, and the time left suffice for the usual service
// time.
func (q *request) consumeRetry() bool {
	if !q.canResend() || q.attempts >= q.route.MaxAttempts {
		return false
	}
	if time.Until(q.deadline) < q.h.cfg.ServiceTimes.Estimate(q.route) {
		return false
	}
	return q.h.cfg.RetryBudget.Allow(q.service, q.priority, time.Now(), q.h.cfg.RetryLimits(), q.h.cfg.VMCount())
}

// forwardResponse sends the server's response to the caller. It reports whether
// the request has ended: a response that breaks off within the first
// maxBufferedAnswer bytes or has a status of 500 or more may be replaced by a
// retry instead.
func (q *request) forwardResponse(ctx context.Context, server fleet.Server, sent time.Time, resp *backend.Response) bool {
	cfg := q.h.cfg
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, resp.Body, q.answerBuffer(resp.Length))
	complete := errors.Is(err, io.EOF)
	now := time.Now()
	if err != nil && !complete {
		q.endAtServer(now, brokenBodyResult(ctx, resp))
		if ctx.Err() != nil {
			q.endAfterContext(ctx, true)
			return true
		}
		return q.handleUnknownOutcome(server, sent, err)
	}
	failed := resp.Status >= http.StatusInternalServerError
	result := fleet.Succeeded
	if failed {
		result = fleet.Failed
	}
	if complete {
		q.endAtServer(now, result)
	}
	if failed && complete && q.route.Idempotent && q.consumeRetry() {
		q.logFailedAttempt(server, sent, "failed", errors.New("status "+strconv.Itoa(resp.Status)))
		q.tried = append(q.tried, server.ID)
		return false
	}
	if !failed {
		cfg.ServiceTimes.Observe(q.route, now.Sub(sent), q.grant.Chosen)
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(now.Add(writeTimeout))
	header := q.w.Header()
	maps.Copy(header, resp.Header)
	if complete && q.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(buf.Len()))
	}
	q.writeHeader(resp.Status)
	_, err = q.w.Write(buf.Bytes())
	bytes := int64(buf.Len()) + int64(len(q.body))
	if !complete {
		if err == nil {
			var rest int64
			rest, err = io.Copy(q.w, resp.Body)
			bytes += rest
		}
		if err != nil {
			result = brokenBodyResult(ctx, resp)
		}
		q.endAtServer(time.Now(), result)
	}
	cfg.Demand.Answered(q.service, q.allowsRegion, bytes, now)
	q.logEnd("answered", resp.Status, "", err)
	cfg.Metrics.recordAnswer(q.priority, time.Since(q.arrived))
	if err != nil {
		q.abortAnswer()
	}
	if q.streamed {
		q.finishBody(ctx, server, resp)
	}
	return true
}

// abortAnswer ends the connection of a caller that has got a part of an answer, so that it does not
// take the part for the whole answer. It panics with http.ErrAbortHandler.
func (q *request) abortAnswer() {
	c, ok := q.r.Context().Value(connKey{}).(*Conn)
	if ok && !q.r.ProtoAtLeast(1, 1) {
		// Without chunks, the end of an answer may be that of its connection.
		c.reset()
	}
	panic(http.ErrAbortHandler)
}

// finishBody goes on sending the body of the request to a server that has answered before
// its end. What the server does not take is discarded. If the body does not end, finishBody
// panics with http.ErrAbortHandler, which closes the connection, since what follows on it is not
// another request.
func (q *request) finishBody(ctx context.Context, server fleet.Server, resp *backend.Response) {
	select {
	case <-resp.RequestDone:
		if q.bodyRest.ended.Load() {
			return
		}
	default:
	}
	_ = level.Info(q.h.cfg.Logger).Log("msg", "server answered before the end of the request body", "request", q.id,
		"server", server.ID, "status", resp.Status)
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-resp.RequestDone:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, q.bodyRest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// brokenBodyResult returns the result for a server whose response body did not end before
// the context or the connection did. At the deadline, a body of declared length may be late
// because the caller reads slowly; one without a length may never end.
func brokenBodyResult(ctx context.Context, resp *backend.Response) fleet.Result {
	switch {
	case ctx.Err() == nil, errors.Is(ctx.Err(), context.DeadlineExceeded) && resp.Length < 0:
		return fleet.Failed
	default:
		return fleet.Neutral
	}
}
