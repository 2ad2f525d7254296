package front

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/capacity"
)

// Metrics counts how requests end. It is safe for concurrent use.
type Metrics struct{ scope tally.Scope }

// NewMetrics returns Metrics that report to the subscope "front" of scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope.SubScope("front")} }

// latencyBuckets cover 5 ms to 11 s; each bound is 1.5 times the one before.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.5, 20)

// recordAnswer counts a request for which a backend server's response was passed on,
// whatever its status.
func (m *Metrics) recordAnswer(priority int, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
	tagged.Counter("answered_requests").Inc(1)
	tagged.Histogram("answer_latency", latencyBuckets).RecordDuration(took)
}

// recordUnanswered counts a request that this VM ended itself, by an error status
// of its own or because the caller had left.
func (m *Metrics) recordUnanswered(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("unanswered_requests").Inc(1)
}

func (m *Metrics) recordFailedAttempt(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("failed_attempts").Inc(1)
}

// RecordUsage reports what callers use.
func (m *Metrics) RecordUsage(l *capacity.Ledger) {
	for _, use := range capacity.Uses() {
		m.scope.Tagged(map[string]string{"use": use.String()}).Gauge("caller_memory_bytes").Update(float64(l.Used(use)))
	}
	callers, servers := l.Connections()
	m.scope.Tagged(map[string]string{"peer": "caller"}).Gauge("open_connections").Update(float64(callers))
	m.scope.Tagged(map[string]string{"peer": "server"}).Gauge("open_connections").Update(float64(servers))
}

// recordLimit counts an event at a limit for callers: a refusal, a connection closed to make
// room, or a wait.
func (m *Metrics) recordLimit(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_limits").Inc(1)
}
