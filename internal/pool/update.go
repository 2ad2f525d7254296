package pool

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// Update installs a new configuration of the pool. New targets and targets
// with a new address are assumed cold. A removed target gets no new call; its
// calls in flight keep counting, also when it is added again meanwhile.
func (s *Pool) Update(now time.Time, svc *inventory.Service, targets []inventory.Target) {
	s.svc = *svc
	s.probes.Set(now, svc.ProbesPerSecond, s.bytes)
	for _, t := range s.targets {
		t.timeout = callTimeout(svc)
		t.ramp.SetConfig(rampConfig(svc))
		keep := slices.ContainsFunc(targets, t.is)
		if keep && t.removed {
			t.chill(now, slowstart.FirstSeen)
		}
		t.removed = !keep
	}
	for _, info := range targets {
		if !slices.ContainsFunc(s.targets, func(t *target) bool { return t.is(info) }) {
			s.add(now, newTarget(now, info, svc, slowstart.FirstSeen))
		}
	}
	s.sweep()
}

func (t *target) is(info inventory.Target) bool {
	return t.info.Name == info.Name && t.info.Address == info.Address
}

// SetProbeBudget sets the pool's share of the measuring budget of its region
// or link, in bytes per second; see probe.BudgetShare. It adds no tokens, so the
// first probe waits until the share has earned it.
func (s *Pool) SetProbeBudget(now time.Time, bytesPerSecond float64) {
	s.bytes = bytesPerSecond
	s.probes.Set(now, s.svc.ProbesPerSecond, bytesPerSecond)
}

// NextProbe returns a target to probe and charges the probe to the budgets of
// the target and of the pool. Suspect targets come first, then those not
// probed for the longest time. Only idle or suspect targets are probed.
func (s *Pool) NextProbe(now time.Time) (inventory.Target, bool) {
	if s.reduced {
		return inventory.Target{}, false
	}
	var best *target
	for _, t := range s.targets {
		if t.removed || (!t.suspect(now) && !t.idle(now)) || !s.probes.Allows(now, t.info.Name) {
			continue
		}
		if best == nil || t.probesBefore(best, now) {
			best = t
		}
	}
	if best == nil || !s.probes.Take(now, best.info.Name) {
		return inventory.Target{}, false
	}
	best.lastProbe = now
	return best.info, true
}

func (t *target) probesBefore(o *target, now time.Time) bool {
	if a, b := t.suspect(now), o.suspect(now); a != b {
		return a
	}
	return t.lastProbe.Before(o.lastProbe)
}

// ProbeDone applies the answer to a probe. It may lower limits, restart a ramp
// or mark the target as leaving; it never raises a limit.
func (s *Pool) ProbeDone(now time.Time, name string, p ProbeResult) {
	for _, t := range s.targets {
		if t.info.Name == name && !t.removed {
			t.probed(now, p)
		}
	}
}

// Export returns the state for a planned handover. Calls in flight include
// those of an earlier holder that have not ended.
func (s *Pool) Export() Handover {
	var h Handover
	for _, t := range s.targets {
		if t.removed {
			continue
		}
		h.Targets = append(h.Targets, TargetHandover{
			Name:     t.info.Name,
			Limit:    t.ramp.UncappedLimit(),
			Warm:     t.ramp.Cause() == slowstart.Warm,
			Rate:     t.ramp.Rate(),
			Baseline: t.ramp.Baseline(),
			InFlight: len(t.open) + t.foreign,
			Instance: t.instance,
			Leaving:  t.leavingSaid,
		})
	}
	return h
}

// Leaving returns the names of the targets that announced their leaving.
func (s *Pool) Leaving() []string {
	var names []string
	for _, t := range s.targets {
		if t.leavingSaid && !t.removed {
			names = append(names, t.info.Name)
		}
	}
	return names
}

// NoteLeaving notes that a target announced its leaving to the former holder.
func (s *Pool) NoteLeaving(now time.Time, name string) {
	for _, t := range s.targets {
		if t.info.Name == name {
			t.leavingSaid, t.leavingSaidAt = true, now
		}
	}
}

// PredecessorCallsDone notes that calls of the former holder have ended.
func (s *Pool) PredecessorCallsDone(name string, calls int) {
	for _, t := range s.targets {
		if t.info.Name == name {
			t.foreign = max(0, t.foreign-max(0, calls))
		}
	}
}

// Describe returns the state of all targets, by name.
func (s *Pool) Describe(now time.Time) []TargetStatus {
	out := make([]TargetStatus, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, TargetStatus{
			Name:             t.info.Name,
			Address:          t.info.Address,
			Limit:            t.ramp.Limit(),
			InFlight:         len(t.open),
			PredecessorCalls: t.pending(now),
			Cause:            t.ramp.Cause(),
			Rate:             t.ramp.Rate(),
			Baseline:         t.ramp.Baseline(),
			Expected:         t.expected(now),
			Failures:         t.failures,
			Ejected:          max(0, t.ejected.Sub(now)),
			Paused:           max(0, t.paused.Sub(now)),
			Leaving:          !t.inUse(),
			Instance:         t.instance,
			LastProbe:        t.lastProbe,
		})
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
