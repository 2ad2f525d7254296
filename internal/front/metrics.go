package front

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
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
