// Package pool keeps the targets of one pool and decides which of them gets
// the next call.
//
// A Pool is a decision: it takes events and the time and returns values. It
// starts no goroutine, reads no clock and is not safe for concurrent use; the
// holder locks it. Only the holder of a pool sends to its targets, so the
// slots in use are known exactly.
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
	id      inventory.PoolID
	svc     inventory.Service
	targets []*target
	calls   uint64

	reduced bool
	half    bool
	probes  *probe.Budget
	bytes   float64 // share of the measuring budget, bytes/s
}

// New returns the state of a pool that this VM begins to hold. Without a
// handover, or for targets that it does not name, targets are assumed cold.
// Probes are off until SetProbeBudget gives the pool its share.
func New(id inventory.PoolID, svc *inventory.Service, targets []inventory.Target, now time.Time, from *Handover) *Pool {
	s := &Pool{id: id, svc: *svc, probes: probe.NewBudget(now, svc.ProbesPerSecond, 0)}
	for _, info := range targets {
		t := newTarget(now, info, svc, slowstart.NewHolder)
		if from != nil {
			t.takeOver(now, svc, from)
		}
		s.add(now, t)
	}
	return s
}

// takeOver resumes from the state of the former holder. Its calls in flight
// keep their slots until they are reported done or have timed out.
func (t *target) takeOver(now time.Time, svc *inventory.Service, from *Handover) {
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
	t.ramp = slowstart.Resume(now, rampConfig(svc), rate, h.Limit, h.Baseline)
	t.recent = h.Baseline
	t.foreign, t.foreignBy = h.InFlight, now.Add(t.timeout)
	t.instance = h.Instance
	t.leavingSaid, t.leavingSaidAt = h.Leaving, now
}

func (s *Pool) add(now time.Time, t *target) {
	t.ramp.SetReduced(s.reduced)
	t.ramp.SetHalfCap(s.half)
	s.targets = append(s.targets, t)
	s.probes.Add(now, t.info.Name)
}

// Acquire takes a slot of the best target. It returns false when no target may
// start a call now.
func (s *Pool) Acquire(now time.Time) (Slot, bool) {
	t := s.best(now)
	if t == nil {
		return Slot{}, false
	}
	s.calls++
	t.open[s.calls] = now
	t.lastCall = now
	t.ramp.CallStarted(now)
	return Slot{Target: t.info, At: now, state: t, call: s.calls}, true
}

// best returns the target with the lowest expected latency, in powers of two
// of the fastest; among equals the one with fewer calls in flight, then the
// one used least recently. Finer steps would follow the noise of single calls.
func (s *Pool) best(now time.Time) *target {
	reference := s.reference()
	var best *target
	var bestClass, bestBusy int
	for _, t := range s.targets {
		if t.free(now) == 0 {
			continue
		}
		class := bits.Len64(uint64(t.expected(now) / reference))
		busy := len(t.open) + t.foreign
		if best == nil || class < bestClass || (class == bestClass && (busy < bestBusy ||
			(busy == bestBusy && t.lastCall.Before(best.lastCall)))) {
			best, bestClass, bestBusy = t, class, busy
		}
	}
	return best
}

// reference is the lowest baseline of the targets in use.
func (s *Pool) reference() time.Duration {
	var least time.Duration
	for _, t := range s.targets {
		if b := t.ramp.Baseline(); t.inUse() && b > 0 && (least == 0 || b < least) {
			least = b
		}
	}
	return max(least, time.Microsecond)
}

// Release gives a slot back with what happened to the call.
func (s *Pool) Release(now time.Time, g Slot, r Result) {
	t := g.state
	if t == nil {
		return
	}
	start, ok := t.open[g.call]
	if !ok {
		return
	}
	delete(t.open, g.call)
	t.lastCall = now
	t.result(now, start, r, func() bool { return s.mayEject(now) })
	s.sweep()
}

// mayEject reports whether one more target may be ejected: at most half of
// the targets, rounded down, so that a fault that all share does not empty
// the pool.
func (s *Pool) mayEject(now time.Time) bool {
	ejected, all := 0, 0
	for _, t := range s.targets {
		if t.removed {
			continue
		}
		all++
		if t.ejected.After(now) {
			ejected++
		}
	}
	return ejected+1 <= all/2
}

// sweep forgets removed targets whose last call has ended.
func (s *Pool) sweep() {
	var gone []string
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		if !t.removed || len(t.open) > 0 {
			return false
		}
		gone = append(gone, t.info.Name)
		return true
	})
	for _, name := range gone {
		// A target with a new address keeps the bucket of its name.
		if !slices.ContainsFunc(s.targets, func(t *target) bool { return t.info.Name == name }) {
			s.probes.Forget(name)
		}
	}
}

// NextFree returns when a rate limit, a pause or an ejection ends, if that is
// what keeps the next call waiting. It returns now when a call may start at
// once, and false when only the end of a call can free a slot.
func (s *Pool) NextFree(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, t := range s.targets {
		at := t.readyAt()
		if t.room(now) == 0 {
			if t.foreign == 0 || !t.inUse() || t.ramp.Limit() <= len(t.open) {
				continue
			}
			// Calls of the former holder block until they have timed out.
			if t.foreignBy.After(at) {
				at = t.foreignBy
			}
		}
		if at.Before(now) {
			at = now
		}
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	return next, found
}

// Load returns the counts that siblings are told.
func (s *Pool) Load(now time.Time) Load {
	var l Load
	for _, t := range s.targets {
		l.InFlight += len(t.open)
		if !t.inUse() {
			continue
		}
		l.Free += t.free(now)
		if !t.ejected.After(now) {
			l.Slots += t.ramp.Limit()
		}
	}
	return l
}

// SetReduced sets the reduced mode: at most half of the slots of warm targets,
// rounded down, none of cold ones, no ramp steps and no probes.
func (s *Pool) SetReduced(reduced bool) {
	s.reduced = reduced
	for _, t := range s.targets {
		t.ramp.SetReduced(reduced)
	}
}

// SetHalfCap sets the cap of a successor without handover: at most half of the
// slots of each target, rounded up.
func (s *Pool) SetHalfCap(capped bool) {
	s.half = capped
	for _, t := range s.targets {
		t.ramp.SetHalfCap(capped)
	}
}

// AssumeCold restarts the ramp of all targets.
func (s *Pool) AssumeCold(now time.Time, cause ColdCause) {
	for _, t := range s.targets {
		t.chill(now, cause)
	}
}

// SetLeaving notes what the list of VMs says about a target. A target that is
// no longer leaving is assumed cold.
func (s *Pool) SetLeaving(name string, leaving bool) {
	for _, t := range s.targets {
		if t.info.Name != name || t.leavingListed == leaving {
			continue
		}
		t.leavingListed = leaving
		if !leaving {
			t.chill(t.lastCall, slowstart.FirstSeen)
		}
	}
}
