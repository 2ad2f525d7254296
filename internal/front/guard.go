package front

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
)

// violationLogInterval is the least time between two log lines about callers outside the limits.
const violationLogInterval = time.Second

// guard holds what the connections of a listener share: the limits, the account of what they
// use, and the reports on callers that exceed a limit.
type guard struct {
	limits  func() HeadLimits
	memory  *capacity.Ledger
	metrics *Metrics
	logger  log.Logger
	logRate *rate.Limiter
	// unlogged is the number of violations since the last log line.
	unlogged atomic.Int64
}

func newGuard(cfg ListenerConfig) *guard {
	return &guard{
		limits: cfg.HeadLimits, memory: cfg.Ledger, metrics: cfg.Metrics, logger: log.With(cfg.Logger, "part", "front"),
		logRate: rate.NewLimiter(rate.Every(violationLogInterval), 1),
	}
}

func (g *guard) take(use capacity.Use, n int64) bool { return g.memory.Take(use, n) }

func (g *guard) release(use capacity.Use, n int64) {
	if n != 0 {
		g.memory.Release(use, n)
	}
}

// takeConnection reserves what a connection uses without a request.
func (g *guard) takeConnection() bool {
	if !g.memory.TakeCaller() {
		return false
	}
	if !g.take(capacity.Connections, connectionCost) {
		g.memory.ReleaseCaller()
		return false
	}
	return true
}

func (g *guard) releaseConnection() {
	g.memory.ReleaseCaller()
	g.release(capacity.Connections, connectionCost)
}

// count counts an event under a reason.
func (g *guard) count(reason string) { g.metrics.recordLimit(reason) }

// record counts a violation and logs some of them.
func (g *guard) record(c net.Conn, v *violation) {
	g.count(v.reason)
	if !g.logRate.Allow() {
		g.unlogged.Add(1)
		return
	}
	_ = level.Warn(g.logger).Log("msg", "caller exceeds a limit", "caller", c.RemoteAddr(), "reason", v.reason,
		"status", v.status, "figure", v.figure, "limit", v.limit, "not_logged", g.unlogged.Swap(0))
}

// recordClosed counts a connection that is closed to make room and logs some of them.
func (g *guard) recordClosed(x candidate) {
	v := &violation{reason: "closed-head", figure: time.Since(x.since).Milliseconds()}
	if x.idle {
		v.reason = "closed-idle"
	}
	g.record(x.conn.Conn, v)
}
