package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
)

const (
	// reasonServerRefused is the reason for refusing a request that a server has turned away.
	reasonServerRefused = "server-refused"
	// minResumeDelay is the shortest time after which a caller should retry once servers take
	// requests again.
	minResumeDelay = 10 * time.Millisecond
)

// endAfterContext ends a request whose context has ended: at its deadline, at the end of a
// planned stop or because the caller has closed the connection. In the last case it panics
// with http.ErrAbortHandler. sent tells whether a server may have run the request.
func (q *request) endAfterContext(ctx context.Context, sent bool) {
	switch {
	case q.h.cfg.Stop.Err() != nil:
		// The context of the request may have ended too: the stop lets a read of the body fail,
		// which net/http takes for a closed connection.
		q.endForStop(sent)
	case errors.Is(ctx.Err(), context.Canceled):
		q.logEnd("caller-left", 0, "", nil)
		q.h.cfg.Metrics.recordUnanswered("caller-left")
		panic(http.ErrAbortHandler)
	case sent:
		q.finish(http.StatusGatewayTimeout, "deadline", 0)
	default:
		q.refuse("deadline")
	}
}

// endForStop ends a request because the VM stops. sent tells whether a server may have run it.
func (q *request) endForStop(sent bool) {
	if sent {
		q.finish(http.StatusGatewayTimeout, reasonStopping, 0)
		return
	}
	q.refuse(reasonStopping)
}

// refuse ends a request that no server has run or will run. The caller is told
// when to retry.
func (q *request) refuse(reason string) {
	left := time.Until(q.deadline)
	retryAfter := placement.RetryAfter(left, rand.Float64()) //nolint:gosec // no secret
	if reason == string(placement.ReasonNoServer) || reason == reasonServerRefused {
		if at := q.h.cfg.Servers.ResumesAt(q.service, q.allowsRegion); !at.IsZero() {
			retryAfter = max(time.Until(at), minResumeDelay)
		}
	}
	q.finish(http.StatusServiceUnavailable, reason, retryAfter)
}

func (q *request) finish(status int, reason string, retryAfter time.Duration) {
	switch {
	case reason == "no-configuration", reason == reasonUnconfirmedKey, reason == reasonOldConfiguration && retryAfter == 0:
		retryAfter = notReadyRetryAfter
	case status == http.StatusTooManyRequests:
		retryAfter = q.usage.RetryAfter
	case reason == reasonBuffersFull, reason == reasonStopping && status == http.StatusServiceUnavailable:
		retryAfter = placement.RetryAfter(time.Until(q.deadline), rand.Float64()) //nolint:gosec // no secret
	}
	if retryAfter > 0 {
		q.h.cfg.HeaderCodec.SetRetryAfter(q.w.Header(), retryAfter)
	}
	q.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	bodyUnread := q.streamed && !q.bodyRest.ended.Load()
	if bodyUnread || status == http.StatusRequestEntityTooLarge {
		// What follows on the connection is the rest of the body.
		q.w.Header().Set("Connection", "close")
	}
	q.writeHeader(status)
	_, err := io.WriteString(q.w, reason+"\n")
	if bodyUnread && err == nil {
		err = http.NewResponseController(q.w).Flush()
	}
	q.logEnd("ended", status, reason, err)
	q.h.cfg.Metrics.recordUnanswered(reason)
}

// writeHeader writes the header of the answer. Only now is it known whether a planned stop has
// begun, after which the caller must not use the connection again.
func (q *request) writeHeader(status int) {
	if q.h.cfg.DisableKeepAlives() {
		q.w.Header().Set("Connection", "close")
	}
	q.w.WriteHeader(status)
}

func (q *request) logFailedAttempt(server fleet.Server, sent time.Time, outcome string, err error) {
	g := q.grant
	_ = level.Info(q.h.cfg.Logger).Log("msg", "attempt failed", "request", q.id, "server", server.ID,
		"outcome", outcome, "took_ms", time.Since(sent).Milliseconds(), "reading_age_ms", g.ReadingAge.Milliseconds(),
		"slowdown", g.Chosen.Slowdown, "busy", g.Chosen.Busy, "attempt", q.attempts, "err", err)
	q.h.cfg.Metrics.recordFailedAttempt(outcome)
}

func (q *request) logEnd(outcome string, status int, reason string, err error) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	g := q.grant
	fields := []any{
		"msg", "request", "request", q.id, "route", route, "service", q.service, "outcome", outcome,
		"status", status, "server", g.Server, "decision", g.Reason, "waited_ms", g.Waited.Milliseconds(),
		"reading_age_ms", g.ReadingAge.Milliseconds(), "slowdown", g.Chosen.Slowdown, "busy", g.Chosen.Busy,
		"estimate_ms", g.Estimate.Milliseconds(), "candidates", g.CandidateCount, "attempts", q.attempts,
		"total_ms", time.Since(q.arrived).Milliseconds(), "left_ms", time.Until(q.deadline).Milliseconds(),
		"configuration", q.configVersion,
	}
	if q.team != nil {
		fields = append(append(fields, "team", q.team.Name, "configuration_age_ms", q.configurationAgeMs()), q.usageFields()...)
	}
	if reason != "" {
		fields = append(fields, "reason", reason)
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	_ = level.Info(q.h.cfg.Logger).Log(fields...)
}
