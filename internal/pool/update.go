package pool

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// Update applies a new configuration of the pool. New targets and targets whose
// address changed are assumed to be cold. A removed target gets no new calls;
// its calls in flight still occupy their slots, even if the target is added
// again before they end.
func (s *Pool) Update(now time.Time, svc *inventory.Service, targets []inventory.Target) {
	s.svc = *svc
	s.probes.Set(now, svc.ProbesPerSecond, s.probeBytesPerSecond)
	for _, t := range s.targets {
		t.timeout = callTimeout(svc)
		t.limiter.SetConfig(limiterConfig(svc))
		kept := slices.ContainsFunc(targets, t.matches)
		if kept && t.removed {
			t.restartSlowStart(now, slowstart.FirstSeen)
		}
		t.removed = !kept
	}
	for _, info := range targets {
		if !slices.ContainsFunc(s.targets, func(t *target) bool { return t.matches(info) }) {
			s.add(now, newTarget(now, info, svc, slowstart.FirstSeen))
		}
	}
	s.deleteRemovedTargets()
}

func (t *target) matches(info inventory.Target) bool {
	return t.info.Name == info.Name && t.info.Address == info.Address
}

// SetProbeBudget sets the pool's share of the probe budget of its region or
// link, in bytes per second; see probe.BudgetShare. It adds no tokens, so the
// first probe is not sent before enough tokens have accumulated at the new
// rate.
func (s *Pool) SetProbeBudget(now time.Time, bytesPerSecond float64) {
	s.probeBytesPerSecond = bytesPerSecond
	s.probes.Set(now, s.svc.ProbesPerSecond, bytesPerSecond)
}

// NextProbe returns a target to probe and charges the probe to the budgets of
// the target and of the pool. Only idle or suspect targets are probed: suspect
// ones first, then those that have not been probed for the longest time. It
// returns false when no probe is due or the budget is used up.
func (s *Pool) NextProbe(now time.Time) (inventory.Target, bool) {
	if s.reduced {
		return inventory.Target{}, false
	}
	var next *target
	for _, t := range s.targets {
		if t.removed || (!t.suspect(now) && !t.idle(now)) || !s.probes.Allows(now, t.info.Name) {
			continue
		}
		if next == nil || t.probedBefore(next, now) {
			next = t
		}
	}
	if next == nil || !s.probes.Take(now, next.info.Name) {
		return inventory.Target{}, false
	}
	next.lastProbeAt = now
	return next.info, true
}

func (t *target) probedBefore(o *target, now time.Time) bool {
	if a, b := t.suspect(now), o.suspect(now); a != b {
		return a
	}
	return t.lastProbeAt.Before(o.lastProbeAt)
}

// ProbeDone applies the answer to a probe of the named target. It may lower the
// limit, restart the slow start or mark the target as leaving; it never raises
// a limit.
func (s *Pool) ProbeDone(now time.Time, name string, p ProbeResult) {
	for _, t := range s.targets {
		if t.info.Name == name && !t.removed {
			t.applyProbe(now, p)
		}
	}
}

// Export returns the state for a planned handover. The calls in flight include
// those of an earlier holder that have not ended.
func (s *Pool) Export() Handover {
	var h Handover
	for _, t := range s.targets {
		if t.removed {
			continue
		}
		h.Targets = append(h.Targets, TargetHandover{
			Name:     t.info.Name,
			Limit:    t.limiter.UncappedLimit(),
			Warm:     t.limiter.Cause() == slowstart.Warm,
			Rate:     t.limiter.Rate(),
			Baseline: t.limiter.Baseline(),
			InFlight: len(t.inFlight) + t.predecessorCalls,
			Instance: t.instance,
			Leaving:  t.announcedLeaving,
		})
	}
	return h
}

// Leaving returns the names of the targets that announced that they are
// leaving.
func (s *Pool) Leaving() []string {
	var names []string
	for _, t := range s.targets {
		if t.announcedLeaving && !t.removed {
			names = append(names, t.info.Name)
		}
	}
	return names
}

// RecordLeaving records that a target announced to the previous holder that it is
// leaving.
func (s *Pool) RecordLeaving(now time.Time, name string) {
	for _, t := range s.targets {
		if t.info.Name == name {
			t.announcedLeaving, t.announcedLeavingAt = true, now
		}
	}
}

// PredecessorCallsDone records that calls of the previous holder to the named
// target have ended.
func (s *Pool) PredecessorCallsDone(name string, calls int) {
	for _, t := range s.targets {
		if t.info.Name == name {
			t.predecessorCalls = max(0, t.predecessorCalls-max(0, calls))
		}
	}
}

// Describe returns the state of all targets, sorted by name.
func (s *Pool) Describe(now time.Time) []TargetStatus {
	out := make([]TargetStatus, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, TargetStatus{
			Name:             t.info.Name,
			Address:          t.info.Address,
			Limit:            t.limiter.Limit(),
			InFlight:         len(t.inFlight),
			PredecessorCalls: t.pendingPredecessorCalls(now),
			Cause:            t.limiter.Cause(),
			Rate:             t.limiter.Rate(),
			Baseline:         t.limiter.Baseline(),
			Expected:         t.expectedLatency(now),
			Failures:         t.failures,
			Ejected:          max(0, t.ejectedUntil.Sub(now)),
			Paused:           max(0, t.pausedUntil.Sub(now)),
			Leaving:          !t.eligible(),
			Instance:         t.instance,
			LastProbe:        t.lastProbeAt,
		})
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
