package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/admission"
	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// meanLatencyWeight is the weight of one call in the exponential moving average of
// the latency that a holder keeps.
const meanLatencyWeight = 0.02

// maxLatencyFactor times the mean latency is the longest expected duration of a
// call. 95 % of exponentially distributed service times are shorter.
const maxLatencyFactor = 3

// reasonDeadline is the reason of a refusal that ends the call without a try at
// another pool, which would receive the call with even less time left.
const reasonDeadline = "deadline cannot be met"

const ms = time.Millisecond

// holder is the state that the VM holding a pool keeps for it: the queue and the
// calls that wait or run.
type holder struct {
	sim          *Simulation
	id           inventory.PoolID
	vm           *entryVM
	pool         *pool.Pool
	queue        *admission.Queue
	queueLimit   int
	waiting      map[uint64]*Call
	running      map[uint64]*Call
	meanLatency  time.Duration
	nextDispatch time.Time
	successor    *holder // new holder after a planned handover; nil before
	failed       bool
}

// poolIDs returns the pools of the service in the order of its targets.
func (sim *Simulation) poolIDs() []inventory.PoolID {
	var ids []inventory.PoolID
	for _, t := range sim.cfg.Service.Targets {
		id := inventory.PoolID{Service: sim.cfg.Service.Name, FailureDomain: t.FailureDomain}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// targets returns the targets of a pool.
func (sim *Simulation) targets(id inventory.PoolID) []inventory.Target {
	var out []inventory.Target
	for _, t := range sim.cfg.Service.Targets {
		if t.FailureDomain == id.FailureDomain {
			out = append(out, t)
		}
	}
	return out
}

// initialState returns the state in which a pool starts: with all targets warm, or
// nil, which starts them cold.
func (sim *Simulation) initialState(id inventory.PoolID) *pool.Handover {
	if !sim.cfg.WarmStart {
		return nil
	}
	h := &pool.Handover{}
	for _, t := range sim.targets(id) {
		h.Targets = append(h.Targets, pool.TargetHandover{
			Name: t.Name, Limit: sim.cfg.Service.Slots, Warm: true,
			Baseline: 20*ms + 2*sim.cfg.NetworkDelay, Instance: t.Name + "-1",
		})
	}
	return h
}

// startHolder makes vm the holder of a pool. state is that of the former holder; nil
// starts all targets cold.
func (sim *Simulation) startHolder(id inventory.PoolID, vm *entryVM, state *pool.Handover) *holder {
	targets := sim.targets(id)
	limit := len(targets) * sim.cfg.Service.Slots * sim.cfg.QueuePerSlot
	h := &holder{
		sim: sim, id: id, vm: vm, queue: admission.New(limit), queueLimit: limit,
		pool:    pool.New(id, &sim.cfg.Service, targets, sim.now, state),
		waiting: map[uint64]*Call{}, running: map[uint64]*Call{}, meanLatency: 20 * ms,
	}
	sim.holders[id] = h
	sim.traceStates(h)
	return h
}

// updateCandidates gives every VM the list of pools that it may send calls to,
// without pools of failure domains that are out of service.
func (sim *Simulation) updateCandidates() {
	ids := slices.SortedFunc(maps.Keys(sim.holders), func(a, b inventory.PoolID) int {
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
	for _, n := range sim.vms {
		var candidates []balancer.Candidate
		for _, id := range ids {
			if sim.outOfService[id.FailureDomain] {
				continue
			}
			h := sim.holders[id]
			candidates = append(candidates, balancer.Candidate{
				Pool: id, VM: h.vm.info, Local: h.vm == n, Slots: len(sim.targets(id)) * sim.cfg.Service.Slots,
			})
		}
		n.picker.SetCandidates(sim.cfg.Service.Name, candidates)
	}
}

// admit adds a call to the queue or refuses it. The queue may drop other waiting
// calls in favor of this one; these are refused too.
func (h *holder) admit(c *Call) {
	if h.failed {
		h.sim.sendReply(h, c, outcome.Unknown, "holder lost")
		return
	}
	if h.sim.outOfService[h.id.FailureDomain] {
		h.sim.sendReply(h, c, outcome.NotRun, "failure domain out of service")
		return
	}
	dropped, ok := h.queue.Push(h.sim.now, admission.Item{
		ID: c.id, Tenant: c.Tenant, NonIdempotent: c.NonIdempotent, Deadline: c.deadline,
	})
	for _, it := range dropped {
		h.refuse(it, "makes room")
	}
	if !ok {
		retryAfter := admission.RetryAfter(h.queue.Len(), h.pool.Load(h.sim.now).Slots, h.meanLatency, h.sim.rng.Float64())
		h.sim.tracef("call %d: %s queue full, retry after %s", c.id, h.id, retryAfter.Round(ms))
		h.sim.sendReply(h, c, outcome.NotRun, "queue full")
		return
	}
	h.waiting[c.id] = c
	h.dispatchWaiting()
}

// refuse replies to a waiting call that it was not run.
func (h *holder) refuse(it admission.Item, reason string) {
	c := h.waiting[it.ID]
	delete(h.waiting, it.ID)
	h.sim.tracef("call %d: %s refuses: %s", c.id, h.id, reason)
	h.sim.sendReply(h, c, outcome.NotRun, reason)
}

// dispatchWaiting refuses waiting calls whose deadline can no longer be met, and
// starts others as long as the pool has free slots. After a handover or a failure
// of the holder it does nothing.
func (h *holder) dispatchWaiting() {
	if h.successor != nil || h.failed {
		return
	}
	for _, it := range h.queue.Expire(h.sim.now, maxLatencyFactor*h.meanLatency) {
		h.refuse(it, reasonDeadline)
	}
	for h.queue.Len() > 0 {
		slot, ok := h.pool.Acquire(h.sim.now)
		if !ok {
			h.scheduleDispatch()
			break
		}
		it, _ := h.queue.Pop(h.sim.now)
		h.startCall(slot, it)
	}
	h.vm.picker.RecordLoad(h.sim.now, h.id, h.pool.Load(h.sim.now).Free, h.queue.Len())
}

// scheduleDispatch schedules dispatchWaiting for the time at which the pool expects
// a free slot, unless it is already scheduled for that time or earlier.
func (h *holder) scheduleDispatch() {
	at, ok := h.pool.NextFree(h.sim.now)
	if !ok || (h.nextDispatch.After(h.sim.now) && !at.Before(h.nextDispatch)) {
		return
	}
	h.nextDispatch = at
	h.sim.schedule(at, h.dispatchWaiting)
}

// startCall sends a waiting call to the target of a slot and replies with the
// result.
func (h *holder) startCall(slot pool.Slot, it admission.Item) {
	c := h.waiting[it.ID]
	delete(h.waiting, it.ID)
	h.running[c.id] = c
	c.attempts++
	if h.sim.isMeasured(c) {
		h.sim.Counts.Sends++
		if c.attempts == 1 {
			h.sim.Counts.FirstSends++
		}
	}
	h.sim.tracef("call %d: %s starts at %s, %d waiting", c.id, h.id, slot.Target.Name, h.queue.Len())
	if h.sim.onStart != nil {
		h.sim.onStart(h, slot.Target.Name)
	}
	h.sim.servers[slot.Target.Name].send(func(r pool.Result) {
		h.pool.Release(h.sim.now, slot, r)
		if h.failed {
			return
		}
		delete(h.running, c.id)
		if r.Kind == outcome.Answered && r.Status < 500 {
			h.meanLatency += time.Duration(meanLatencyWeight * float64(r.Latency-h.meanLatency))
		}
		if h.successor != nil {
			h.sim.after(h.sim.cfg.NetworkDelay, func() {
				h.successor.pool.PredecessorCallsDone(slot.Target.Name, 1)
				h.sim.tracef("%s: call of the former holder at %s done", h.id, slot.Target.Name)
				h.successor.dispatchWaiting()
			})
		}
		h.sim.traceStates(h)
		h.sim.sendReply(h, c, r.Kind, describeResult(slot.Target.Name, r))
		h.dispatchWaiting()
	})
}

func describeResult(target string, r pool.Result) string {
	switch {
	case r.ConnRefused:
		return target + " refused the connection"
	case r.Shed:
		return target + " shed the call"
	case r.ConnReset:
		return target + " reset the connection"
	case r.Failed:
		return target + " broke the answer"
	default:
		return fmt.Sprintf("%s status %d", target, r.Status)
	}
}

// traceStates traces one line for each target whose state has changed since the
// last line for it.
func (sim *Simulation) traceStates(h *holder) {
	if sim.cfg.Trace == nil {
		return
	}
	for _, s := range h.pool.Describe(sim.now) {
		line := fmt.Sprintf("%s limit=%d", s.Cause, s.Limit)
		if s.Rate > 0 {
			line += fmt.Sprintf(" rate=%.1f/s", s.Rate)
		}
		if s.PredecessorCalls > 0 {
			line += fmt.Sprintf(" predecessor=%d", s.PredecessorCalls)
		}
		if s.Ejected > 0 {
			line += " ejected until " + (sim.Elapsed() + s.Ejected).Round(ms).String()
		}
		if s.Paused > 0 {
			line += " paused until " + (sim.Elapsed() + s.Paused).Round(ms).String()
		}
		if s.Leaving {
			line += " leaving"
		}
		if key := string(h.vm.info.ID) + " " + s.Name; sim.tracedStates[key] != line {
			sim.tracedStates[key] = line
			sim.tracef("target %s at %s: %s", s.Name, h.vm.info.ID, line)
		}
	}
}

// Handover moves a pool to the VM with the given index as a planned handover: the new
// holder receives the state of the targets and the waiting calls.
func (sim *Simulation) Handover(id inventory.PoolID, to int) {
	predecessor := sim.holders[id]
	state := predecessor.pool.Export()
	sim.tracef("%s: handover from %s to %s", id, predecessor.vm.info.ID, sim.vms[to].info.ID)
	predecessor.successor = sim.startHolder(id, sim.vms[to], &state)
	sim.updateCandidates()
	sim.forwardWaiting(predecessor, predecessor.successor)
}

// forwardWaiting sends each waiting call of a former holder to its successor.
func (sim *Simulation) forwardWaiting(predecessor, successor *holder) {
	for predecessor.queue.Len() > 0 {
		it, _ := predecessor.queue.Pop(sim.now)
		c := predecessor.waiting[it.ID]
		delete(predecessor.waiting, it.ID)
		sim.tracef("call %d: passed on to %s", c.id, successor.vm.info.ID)
		sim.after(sim.cfg.NetworkDelay, func() { successor.admit(c) })
	}
}

// Takeover moves a pool to the VM with the given index after its holder has failed. The
// new holder treats all targets as cold and applies the half cap (see SetHalfCap).
// Waiting and running calls of the failed holder get the outcome unknown.
func (sim *Simulation) Takeover(id inventory.PoolID, to int) {
	predecessor := sim.holders[id]
	predecessor.failed = true
	sim.tracef("%s: takeover by %s without handover", id, sim.vms[to].info.ID)
	sim.startHolder(id, sim.vms[to], nil)
	sim.SetHalfCap(id, true)
	sim.updateCandidates()
	for _, calls := range []map[uint64]*Call{predecessor.waiting, predecessor.running} {
		for _, id := range slices.Sorted(maps.Keys(calls)) {
			sim.sendReply(predecessor, calls[id], outcome.Unknown, "holder lost")
		}
	}
}

// SetHalfCap sets or removes the half cap of a pool: a holder that took over without
// a handover uses at most half of the slots of each target, rounded up, until the
// former holder can no longer be sending calls to them.
func (sim *Simulation) SetHalfCap(id inventory.PoolID, on bool) {
	sim.tracef("%s: half cap %t", id, on)
	sim.holders[id].pool.SetHalfCap(on)
	sim.traceStates(sim.holders[id])
}

// SetOutOfService takes a failure domain out of service (out is true) or puts it
// back into service. When it is taken out, its waiting calls are refused. When it
// is put back, its targets are assumed to be cold.
func (sim *Simulation) SetOutOfService(domain string, out bool) {
	sim.tracef("failure domain %s out of service: %t", domain, out)
	sim.outOfService[domain] = out
	sim.updateCandidates()
	h := sim.holders[inventory.PoolID{Service: sim.cfg.Service.Name, FailureDomain: domain}]
	if !out {
		h.pool.AssumeCold(sim.now, slowstart.DomainReturned)
		sim.traceStates(h)
		return
	}
	for h.queue.Len() > 0 {
		it, _ := h.queue.Pop(sim.now)
		h.refuse(it, "failure domain out of service")
	}
}

// Probe sends the next probe of a pool, if the probe budget allows one, and reports
// whether it did. The probe takes no virtual time.
func (sim *Simulation) Probe(id inventory.PoolID) bool {
	h := sim.holders[id]
	t, ok := h.pool.NextProbe(sim.now)
	if !ok {
		return false
	}
	s := sim.servers[t.Name]
	sim.tracef("probe %s: load=%.1f down=%t leaving=%t", t.Name, s.Load, s.Down, s.Leaving)
	h.pool.ProbeDone(sim.now, t.Name, pool.ProbeResult{
		OK: !s.Down, Refused: s.Down, Draining: s.Leaving, Utilization: s.Load, Instance: s.Instance,
	})
	sim.traceStates(h)
	return true
}

// SetProbeBudget limits the probes of a pool to bytesPerSecond.
func (sim *Simulation) SetProbeBudget(id inventory.PoolID, bytesPerSecond float64) {
	sim.holders[id].pool.SetProbeBudget(sim.now, bytesPerSecond)
}
