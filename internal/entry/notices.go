package entry

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

const (
	// maxPauseSpread bounds the random time, up to a quarter of a pause, that is added to it. VMs
	// that were refused together would otherwise return together.
	maxPauseSpread = 500 * time.Millisecond
	// drainMargin is the time before the end of the drain time at which a leaving server gets no
	// further request, since requests take time to arrive.
	drainMargin = 100 * time.Millisecond
)

// notices records what servers say of themselves in their answers to requests and measurements. It
// is safe for concurrent use.
type notices struct {
	fleet *fleet.ServerTable
	log   log.Logger
	scope tally.Scope
}

func newNotices(servers *fleet.ServerTable, logger log.Logger, scope tally.Scope) *notices {
	return &notices{fleet: servers, log: log.With(logger, "part", "servers"), scope: scope.SubScope("servers")}
}

// observe records the notice in an answer of a server that was received at now.
func (n *notices) observe(server fleet.Server, now time.Time, notice fleet.Notice) {
	if notice == (fleet.Notice{}) {
		return
	}
	asked := notice.Pause
	if asked > 0 {
		spread := min(asked/4, maxPauseSpread)
		notice.Pause += time.Duration(rand.Float64() * float64(spread)) //nolint:gosec // no secret
	}
	leaves, pauses := n.fleet.ObserveNotice(server, now, notice)
	if leaves {
		n.scope.Counter("leavings").Inc(1)
		_ = level.Info(n.log).Log("msg", "backend server says that it leaves", "server", server.ID, "service", server.Service)
	}
	if pauses {
		n.scope.Counter("pauses").Inc(1)
		_ = level.Info(n.log).Log("msg", "backend server asks for a pause", "server", server.ID, "service", server.Service,
			"asked_ms", asked.Milliseconds(), "pause_ms", notice.Pause.Milliseconds())
	}
}

// reportEnded logs the pauses that have ended.
func (n *notices) reportEnded(now time.Time) {
	for _, id := range n.fleet.EndedPauses(now) {
		_ = level.Info(n.log).Log("msg", "pause of backend server is over", "server", id)
	}
}

// mayServeUntilDrained reports whether a server that has said that it leaves may still get requests
// if no other server has room.
func mayServeUntilDrained(v *fleet.View, now time.Time, drainTimeout time.Duration) bool {
	return now.Before(v.LeavingSince.Add(drainTimeout - drainMargin))
}

// ObserveNotice implements front.ServerTracker.
func (c *candidates) ObserveNotice(server fleet.Server, at time.Time, n fleet.Notice) {
	c.notices.observe(server, at, n)
}

// ResumesAt implements front.ServerTracker.
func (c *candidates) ResumesAt(service string, allowsRegion func(region string) bool) time.Time {
	now := time.Now()
	var earliest time.Time
	drainTimeout := c.bounds().DrainTimeout
	for _, v := range c.state.fleet.Views(nil, service, now) {
		if v.Server.Draining || c.state.Evacuated(v.Server.FailureDomain) || c.state.Replaced(v.Server) ||
			!allowsRegion(c.state.Region(v.Server.FailureDomain)) {
			continue
		}
		switch leaving := !v.LeavingSince.IsZero(); {
		case now.Before(v.PausedUntil):
			if !leaving && (earliest.IsZero() || v.PausedUntil.Before(earliest)) {
				earliest = v.PausedUntil
			}
		case leaving && !mayServeUntilDrained(&v, now, drainTimeout):
		case v.Quarantined || v.Reading.Health == fleet.Unreachable:
		default:
			return time.Time{}
		}
	}
	return earliest
}
