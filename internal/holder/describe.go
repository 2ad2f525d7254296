package holder

import (
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// Loads returns the load of all held pools, with the names of the targets that
// announced that they are leaving.
func (h *Holder) Loads() []*siblingpb.PoolLoad {
	now := h.cfg.Clock.Now()
	var out []*siblingpb.PoolLoad
	for _, hp := range h.heldPools() {
		load := hp.load(now)
		hp.mu.Lock()
		load.Leaving = hp.state.Leaving()
		hp.mu.Unlock()
		out = append(out, load)
	}
	return out
}

// Describe returns the state of the targets of all held pools.
func (h *Holder) Describe(now time.Time) []operatorapi.Target {
	var out []operatorapi.Target
	for _, hp := range h.heldPools() {
		hp.mu.Lock()
		statuses := hp.state.Describe(now)
		slots := hp.svc.Slots
		hp.mu.Unlock()
		for i := range statuses {
			t := describeTarget(&statuses[i])
			t.Service, t.FailureDomain, t.Slots = hp.id.Service, hp.id.FailureDomain, slots
			out = append(out, t)
		}
	}
	return out
}

func describeTarget(s *pool.TargetStatus) operatorapi.Target {
	t := operatorapi.Target{
		Name:       s.Name,
		Address:    s.Address,
		Limit:      s.Limit,
		InFlight:   s.InFlight,
		State:      "warm",
		Rate:       s.Rate,
		BaselineMs: ms(s.Baseline),
		Failures:   s.Failures,
		// The operator API reports an ejection as a pause.
		PausedMs: ms(max(s.Paused, s.Ejected)),
		Instance: s.Instance,
	}
	switch {
	case s.Leaving:
		t.State = "leaving"
	case s.Ejected > 0:
		t.State = "ejected"
	case s.Cause != slowstart.Warm:
		t.State = "cold"
		t.Cause = s.Cause.String()
	}
	return t
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
