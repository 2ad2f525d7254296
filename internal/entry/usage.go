package entry

import (
	"math/rand/v2"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/usage"
)

func (e *Entry) newUsageLimiter(now time.Time) *usage.Limiter {
	return usage.New(usage.Config{
		Counts: e.counts,
		RegisteredVMs: func() int {
			if !e.state.vmsKnownFor(0) {
				return 0
			}
			return len(e.state.VMs())
		},
		Bounds: func() usage.Bounds {
			b := e.node.Load().Bounds
			return usage.Bounds{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
		},
		FormerProcess: !e.node.Load().Bootstrap, Rand: rand.Float64, //nolint:gosec // no secret
	}, now)
}

// shareUsage exchanges the counts of teams with other VMs if the configuration has usage limits.
func (e *Entry) shareUsage(now time.Time) {
	if routes := e.state.routes.Load(); routes != nil && routes.Teams() != nil && routes.Teams().AnyLimited() {
		e.usage.Tick(now)
	}
}
