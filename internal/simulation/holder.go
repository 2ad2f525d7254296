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

// meanWeight is the weight of one call in the mean latency of a holder.
const meanWeight = 0.02

// expectedFactor times the mean latency is what a call is expected to take at
// most: 95 % of exponential service times are below it.
const expectedFactor = 3

// tooLate refusals end a call: a second pool would get it with less time left.
const tooLate = "deadline cannot be met"

const ms = time.Millisecond

// holder is the holder side of one pool.
type holder struct {
	w       *Simulation
	id      inventory.PoolID
	at      *node
	pool    *pool.Pool
	queue   *admission.Queue
	limit   int
	waiting map[uint64]*Call
	running map[uint64]*Call
	mean    time.Duration
	wake    time.Time
	next    *holder // successor after a planned handover
	dead    bool
}

func (w *Simulation) poolIDs() []inventory.PoolID {
	var ids []inventory.PoolID
	for _, t := range w.cfg.Service.Targets {
		id := inventory.PoolID{Service: w.cfg.Service.Name, FailureDomain: t.FailureDomain}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *Simulation) targets(id inventory.PoolID) []inventory.Target {
	var out []inventory.Target
	for _, t := range w.cfg.Service.Targets {
		if t.FailureDomain == id.FailureDomain {
			out = append(out, t)
		}
	}
	return out
}

// initial is the state in which a pool starts: warm, or nil for cold.
func (w *Simulation) initial(id inventory.PoolID) *pool.Handover {
	if !w.cfg.WarmStart {
		return nil
	}
	h := &pool.Handover{}
	for _, t := range w.targets(id) {
		h.Targets = append(h.Targets, pool.TargetHandover{
			Name: t.Name, Limit: w.cfg.Service.Slots, Warm: true,
			Baseline: 20*ms + 2*w.cfg.NetworkDelay, Instance: t.Name + "-1",
		})
	}
	return h
}

func (w *Simulation) hold(id inventory.PoolID, at *node, from *pool.Handover) *holder {
	targets := w.targets(id)
	limit := len(targets) * w.cfg.Service.Slots * w.cfg.QueuePerSlot
	h := &holder{
		w: w, id: id, at: at, queue: admission.New(limit), limit: limit,
		pool:    pool.New(id, &w.cfg.Service, targets, w.now, from),
		waiting: map[uint64]*Call{}, running: map[uint64]*Call{}, mean: 20 * ms,
	}
	w.holders[id] = h
	w.traceStates(h)
	return h
}

func (w *Simulation) setCandidates() {
	ids := slices.SortedFunc(maps.Keys(w.holders), func(a, b inventory.PoolID) int {
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
	for _, n := range w.vms {
		var list []balancer.Candidate
		for _, id := range ids {
			if w.out[id.FailureDomain] {
				continue
			}
			h := w.holders[id]
			list = append(list, balancer.Candidate{
				Pool: id, VM: h.at.info, Local: h.at == n, Slots: len(w.targets(id)) * w.cfg.Service.Slots,
			})
		}
		n.table.SetCandidates(w.cfg.Service.Name, list)
	}
}

// admit queues a call, or refuses it.
func (h *holder) admit(c *Call) {
	if h.dead {
		h.w.reply(h, c, outcome.Unknown, "holder lost")
		return
	}
	if h.w.out[h.id.FailureDomain] {
		h.w.reply(h, c, outcome.NotRun, "failure domain out of service")
		return
	}
	dropped, ok := h.queue.Push(h.w.now, admission.Item{
		ID: c.id, Tenant: c.Tenant, NonIdempotent: c.NonIdempotent, Deadline: c.deadline,
	})
	for _, it := range dropped {
		h.refuse(it, "makes room")
	}
	if !ok {
		after := admission.RetryAfter(h.queue.Len(), h.pool.Load(h.w.now).Slots, h.mean, h.w.rng.Float64())
		h.w.tracef("call %d: %s queue full, retry after %s", c.id, h.id, after.Round(ms))
		h.w.reply(h, c, outcome.NotRun, "queue full")
		return
	}
	h.waiting[c.id] = c
	h.drain()
}

func (h *holder) refuse(it admission.Item, why string) {
	c := h.waiting[it.ID]
	delete(h.waiting, it.ID)
	h.w.tracef("call %d: %s refuses: %s", c.id, h.id, why)
	h.w.reply(h, c, outcome.NotRun, why)
}

// drain starts waiting calls while the pool has slots.
func (h *holder) drain() {
	if h.next != nil || h.dead {
		return
	}
	for _, it := range h.queue.Expire(h.w.now, expectedFactor*h.mean) {
		h.refuse(it, tooLate)
	}
	for h.queue.Len() > 0 {
		g, ok := h.pool.Acquire(h.w.now)
		if !ok {
			h.wait()
			break
		}
		it, _ := h.queue.Pop(h.w.now)
		h.start(g, it)
	}
	h.at.table.RecordLoad(h.w.now, h.id, h.pool.Load(h.w.now).Free, h.queue.Len())
}

func (h *holder) wait() {
	at, ok := h.pool.NextFree(h.w.now)
	if !ok || (h.wake.After(h.w.now) && !at.Before(h.wake)) {
		return
	}
	h.wake = at
	h.w.schedule(at, h.drain)
}

func (h *holder) start(g pool.Slot, it admission.Item) {
	c := h.waiting[it.ID]
	delete(h.waiting, it.ID)
	h.running[c.id] = c
	c.attempts++
	if h.w.counts(c) {
		h.w.Counts.Sends++
		if c.attempts == 1 {
			h.w.Counts.FirstSends++
		}
	}
	h.w.tracef("call %d: %s starts at %s, %d waiting", c.id, h.id, g.Target.Name, h.queue.Len())
	if h.w.onStart != nil {
		h.w.onStart(h, g.Target.Name)
	}
	h.w.servers[g.Target.Name].offer(func(r pool.Result) {
		h.pool.Release(h.w.now, g, r)
		if h.dead {
			return
		}
		delete(h.running, c.id)
		if r.Kind == outcome.Answered && r.Status < 500 {
			h.mean += time.Duration(meanWeight * float64(r.Latency-h.mean))
		}
		if h.next != nil {
			h.w.after(h.w.cfg.NetworkDelay, func() {
				h.next.pool.PredecessorCallsDone(g.Target.Name, 1)
				h.w.tracef("%s: call of the former holder at %s done", h.id, g.Target.Name)
				h.next.drain()
			})
		}
		h.w.traceStates(h)
		h.w.reply(h, c, r.Kind, describe(g.Target.Name, r))
		h.drain()
	})
}

func describe(target string, r pool.Result) string {
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

// traceStates writes one line per target whose limits changed.
func (w *Simulation) traceStates(h *holder) {
	if w.cfg.Trace == nil {
		return
	}
	for _, s := range h.pool.Describe(w.now) {
		line := fmt.Sprintf("%s limit=%d", s.Cause, s.Limit)
		if s.Rate > 0 {
			line += fmt.Sprintf(" rate=%.1f/s", s.Rate)
		}
		if s.PredecessorCalls > 0 {
			line += fmt.Sprintf(" predecessor=%d", s.PredecessorCalls)
		}
		if s.Ejected > 0 {
			line += " ejected until " + (w.Elapsed() + s.Ejected).Round(ms).String()
		}
		if s.Paused > 0 {
			line += " paused until " + (w.Elapsed() + s.Paused).Round(ms).String()
		}
		if s.Leaving {
			line += " leaving"
		}
		if key := string(h.at.info.ID) + " " + s.Name; w.states[key] != line {
			w.states[key] = line
			w.tracef("target %s at %s: %s", s.Name, h.at.info.ID, line)
		}
	}
}

// Handover moves a pool to another VM as planned.
func (w *Simulation) Handover(id inventory.PoolID, to int) {
	old := w.holders[id]
	state := old.pool.Export()
	w.tracef("%s: handover from %s to %s", id, old.at.info.ID, w.vms[to].info.ID)
	old.next = w.hold(id, w.vms[to], &state)
	w.setCandidates()
	w.passOn(old, old.next)
}

// passOn forwards the waiting calls of a former holder once.
func (w *Simulation) passOn(old, next *holder) {
	for old.queue.Len() > 0 {
		it, _ := old.queue.Pop(w.now)
		c := old.waiting[it.ID]
		delete(old.waiting, it.ID)
		w.tracef("call %d: passed on to %s", c.id, next.at.info.ID)
		w.after(w.cfg.NetworkDelay, func() { next.admit(c) })
	}
}

// Takeover moves a pool to another VM after its holder died, under half cap.
// Calls of the dead holder end as unknown.
func (w *Simulation) Takeover(id inventory.PoolID, to int) {
	old := w.holders[id]
	old.dead = true
	w.tracef("%s: takeover by %s without handover", id, w.vms[to].info.ID)
	w.hold(id, w.vms[to], nil)
	w.SetHalfCap(id, true)
	w.setCandidates()
	for _, calls := range []map[uint64]*Call{old.waiting, old.running} {
		for _, id := range slices.Sorted(maps.Keys(calls)) {
			w.reply(old, calls[id], outcome.Unknown, "holder lost")
		}
	}
}

// SetHalfCap sets or lifts the cap of a successor without handover.
func (w *Simulation) SetHalfCap(id inventory.PoolID, on bool) {
	w.tracef("%s: half cap %t", id, on)
	w.holders[id].pool.SetHalfCap(on)
	w.traceStates(w.holders[id])
}

// SetOutOfService takes a failure domain out or puts it back. Its queued calls
// are refused, and on return its targets are assumed cold.
func (w *Simulation) SetOutOfService(domain string, out bool) {
	w.tracef("failure domain %s out of service: %t", domain, out)
	w.out[domain] = out
	w.setCandidates()
	h := w.holders[inventory.PoolID{Service: w.cfg.Service.Name, FailureDomain: domain}]
	if !out {
		h.pool.AssumeCold(w.now, slowstart.DomainReturned)
		w.traceStates(h)
		return
	}
	for h.queue.Len() > 0 {
		it, _ := h.queue.Pop(w.now)
		h.refuse(it, "failure domain out of service")
	}
}

// Probe sends the next probe of a pool, if the budget allows one.
func (w *Simulation) Probe(id inventory.PoolID) bool {
	h := w.holders[id]
	t, ok := h.pool.NextProbe(w.now)
	if !ok {
		return false
	}
	s := w.servers[t.Name]
	w.tracef("probe %s: load=%.1f down=%t leaving=%t", t.Name, s.Load, s.Down, s.Leaving)
	h.pool.ProbeDone(w.now, t.Name, pool.ProbeResult{
		OK: !s.Down, Refused: s.Down, Draining: s.Leaving, Utilization: s.Load, Instance: s.Instance,
	})
	w.traceStates(h)
	return true
}

// SetProbeBudget gives a pool its share of the measuring budget.
func (w *Simulation) SetProbeBudget(id inventory.PoolID, bytesPerSecond float64) {
	w.holders[id].pool.SetProbeBudget(w.now, bytesPerSecond)
}
