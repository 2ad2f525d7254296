// Package pool keeps the targets of one pool and decides which of them gets the
// next call.
//
// A Pool does no I/O: its methods take events and the current time and return
// values. It starts no goroutine, reads no clock and is not safe for
// concurrent use; the holder serializes access. Only the holder of a pool sends
// calls to its targets, so it knows the exact number of slots in use.
//
// A target is leaving when it is about to stop and must get no new calls. Either
// the target announces this itself, in an answer to a call or in a load report,
// or the platform marks it as leaving in its list of VMs, which lists the
// backend servers too.
package pool

import (
	"math/bits"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/probe"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// Pool is the state of one pool.
type Pool struct {
	id         inventory.PoolID
	svc        inventory.Service
	targets    []*target
	lastCallID uint64

	reduced             bool
	halfCapped          bool
	probes              *probe.Budget
	probeBytesPerSecond float64 // the pool's share of the probe budget, bytes/s
}

// New returns the state of a pool that this VM starts to hold. A target that
// the handover does not contain, and every target if from is nil, is assumed to
// be cold. No probes are allowed until SetProbeBudget sets the pool's share of
// the budget.
func New(id inventory.PoolID, svc *inventory.Service, targets []inventory.Target, now time.Time, from *Handover) *Pool {
	s := &Pool{id: id, svc: *svc, probes: probe.NewBudget(now, svc.ProbesPerSecond, 0)}
	for _, info := range targets {
		t := newTarget(now, info, svc, slowstart.NewHolder)
		if from != nil {
			t.resume(now, svc, from)
		}
		s.add(now, t)
	}
	return s
}

// resume restores the state that the previous holder handed over. Calls that
// the previous holder has in flight occupy their slots until they are reported
// as done or have timed out.
func (t *target) resume(now time.Time, svc *inventory.Service, from *Handover) {
	i := slices.IndexFunc(from.Targets, func(h TargetHandover) bool { return h.Name == t.info.Name })
	if i < 0 {
		return
	}
	h := from.Targets[i]
	rate := h.Rate
	if !h.Warm && rate <= 0 {
		rate = svc.ColdRate
	}
	if h.Warm {
		rate = 0
	}
	t.limiter = slowstart.Resume(now, limiterConfig(svc), rate, h.Limit, h.Baseline)
	t.recentLatency = h.Baseline
	t.predecessorCalls, t.predecessorDeadline = h.InFlight, now.Add(t.timeout)
	t.instance = h.Instance
	t.announcedLeaving, t.announcedLeavingAt = h.Leaving, now
}

func (s *Pool) add(now time.Time, t *target) {
	t.limiter.SetReduced(s.reduced)
	t.limiter.SetHalfCap(s.halfCapped)
	s.targets = append(s.targets, t)
	s.probes.Add(now, t.info.Name)
}

// Acquire takes a slot of the target with the lowest expected latency. It
// returns false when no target may start a call now.
func (s *Pool) Acquire(now time.Time) (Slot, bool) {
	t := s.pickTarget(now)
	if t == nil {
		return Slot{}, false
	}
	s.lastCallID++
	t.inFlight[s.lastCallID] = now
	t.lastCallAt = now
	t.limiter.CallStarted(now)
	return Slot{Target: t.info, At: now, target: t, callID: s.lastCallID}, true
}

// pickTarget returns the target with the lowest expected latency. Latencies are
// compared in classes by the power of two of their ratio to the lowest baseline
// (below 2, 2 to 4, 4 to 8 and so on), because finer classes would follow the
// variation between single calls. Within
// a class the target with fewer calls in flight is chosen, then the one used
// least recently.
func (s *Pool) pickTarget(now time.Time) *target {
	baseline := s.lowestBaseline()
	var picked *target
	var pickedClass, pickedBusy int
	for _, t := range s.targets {
		if t.freeSlots(now) == 0 {
			continue
		}
		class := bits.Len64(uint64(t.expectedLatency(now) / baseline))
		busy := len(t.inFlight) + t.predecessorCalls
		if picked == nil || class < pickedClass || (class == pickedClass && (busy < pickedBusy ||
			(busy == pickedBusy && t.lastCallAt.Before(picked.lastCallAt)))) {
			picked, pickedClass, pickedBusy = t, class, busy
		}
	}
	return picked
}

// lowestBaseline returns the lowest baseline latency of the eligible targets,
// at least 1 µs.
func (s *Pool) lowestBaseline() time.Duration {
	var lowest time.Duration
	for _, t := range s.targets {
		if b := t.limiter.Baseline(); t.eligible() && b > 0 && (lowest == 0 || b < lowest) {
			lowest = b
		}
	}
	return max(lowest, time.Microsecond)
}

// Release returns a slot and applies the result of its call.
func (s *Pool) Release(now time.Time, slot Slot, r Result) {
	t := slot.target
	if t == nil {
		return
	}
	start, ok := t.inFlight[slot.callID]
	if !ok {
		return
	}
	delete(t.inFlight, slot.callID)
	t.lastCallAt = now
	t.applyResult(now, start, r, func() bool { return s.mayEject(now) })
	s.deleteRemovedTargets()
}

// mayEject reports whether one more target may be ejected. At most half of the
// targets, rounded down, are ejected, so a fault that affects all of them does
// not leave the pool without targets.
func (s *Pool) mayEject(now time.Time) bool {
	ejected, all := 0, 0
	for _, t := range s.targets {
		if t.removed {
			continue
		}
		all++
		if t.ejectedUntil.After(now) {
			ejected++
		}
	}
	return ejected+1 <= all/2
}

// deleteRemovedTargets deletes targets that were removed from the configuration
// and whose last call has ended.
func (s *Pool) deleteRemovedTargets() {
	var deleted []string
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		if !t.removed || len(t.inFlight) > 0 {
			return false
		}
		deleted = append(deleted, t.info.Name)
		return true
	})
	for _, name := range deleted {
		// Update replaces a target whose address changed by a new one of the
		// same name, which keeps the token bucket.
		if !slices.ContainsFunc(s.targets, func(t *target) bool { return t.info.Name == name }) {
			s.probes.Remove(name)
		}
	}
}

// NextFree returns when the next call may start, if a rate limit, a pause, an
// ejection or a call of the previous holder prevents it now. It returns now
// when a call may start at once, and false when a slot becomes free only by the
// end of a call.
func (s *Pool) NextFree(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, t := range s.targets {
		readyAt := t.readyAt()
		if t.unusedSlots(now) == 0 {
			if t.predecessorCalls == 0 || !t.eligible() || t.limiter.Limit() <= len(t.inFlight) {
				continue
			}
			// Calls of the previous holder occupy slots until they have timed
			// out.
			if t.predecessorDeadline.After(readyAt) {
				readyAt = t.predecessorDeadline
			}
		}
		if readyAt.Before(now) {
			readyAt = now
		}
		if !found || readyAt.Before(next) {
			next, found = readyAt, true
		}
	}
	return next, found
}

// Load returns the counts that the holder reports to siblings.
func (s *Pool) Load(now time.Time) Load {
	var l Load
	for _, t := range s.targets {
		l.InFlight += len(t.inFlight)
		if !t.eligible() {
			continue
		}
		l.Free += t.freeSlots(now)
		if !t.ejectedUntil.After(now) {
			l.Slots += t.limiter.Limit()
		}
	}
	return l
}

// SetReduced turns the reduced mode on or off. In this mode warm targets get at
// most half of their slots, rounded down, cold targets get none, ramps do not
// advance and no probes are sent.
func (s *Pool) SetReduced(reduced bool) {
	s.reduced = reduced
	for _, t := range s.targets {
		t.limiter.SetReduced(reduced)
	}
}

// SetHalfCap turns on or off the limit that applies to a holder that took the
// pool over without a handover: at most half of the slots of each target,
// rounded up.
func (s *Pool) SetHalfCap(capped bool) {
	s.halfCapped = capped
	for _, t := range s.targets {
		t.limiter.SetHalfCap(capped)
	}
}

// AssumeCold restarts the slow start of all targets.
func (s *Pool) AssumeCold(now time.Time, cause ColdCause) {
	for _, t := range s.targets {
		t.restartSlowStart(now, cause)
	}
}

// SetLeaving records whether the platform's list of VMs marks a target as
// leaving. A target that is no longer leaving is assumed to be cold.
func (s *Pool) SetLeaving(name string, leaving bool) {
	for _, t := range s.targets {
		if t.info.Name != name || t.listedLeaving == leaving {
			continue
		}
		t.listedLeaving = leaving
		if !leaving {
			t.restartSlowStart(t.lastCallAt, slowstart.FirstSeen)
		}
	}
}
