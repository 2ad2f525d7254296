package pool_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// rampModel computes independently the rate and the number of concurrent calls
// that slow start allows one target. A ramp step takes 8 responses since the
// last sign that the target is cold. Each step raises the rate by half. The
// limit is 1 in steps 0 to 3 and rises by one call per step from step 4 on. The
// ramp has 8 steps, or 3 more than the target has slots if that is more.
type rampModel struct {
	coldSince  time.Time
	answered   int
	lastCallAt time.Time
	started    bool
	instance   string
}

func (m *rampModel) steps() int { return m.answered / 8 }

func (m *rampModel) limit(slots int) int {
	if m.steps() >= max(8, 3+slots) {
		return slots
	}
	return min(slots, max(1, m.steps()-2))
}

func (m *rampModel) minInterval() time.Duration {
	return time.Duration(float64(time.Second) / (10 * math.Pow(1.5, float64(m.steps()))))
}

func (m *rampModel) markCold(now time.Time) { m.coldSince, m.answered = now, 0 }

// harness runs one pool through changes of its holder and counts the calls of
// its targets.
type harness struct {
	t          *rapid.T
	slots      int
	now        time.Time
	pool       *pool.Pool
	halfCapped bool
	calls      []runningCall
	models     map[string]*rampModel
}

type runningCall struct {
	slot   pool.Slot
	holder *pool.Pool
}

func (h *harness) inFlight(name string) int {
	n := 0
	for _, c := range h.calls {
		if c.slot.Target.Name == name {
			n++
		}
	}
	return n
}

func (h *harness) acquire() {
	slot, ok := h.pool.Acquire(h.now)
	if !ok {
		if at, free := h.pool.NextFree(h.now); free && !at.After(h.now) {
			h.t.Fatalf("no slot, but NextFree returned the current time and Load %+v", h.pool.Load(h.now))
		}
		return
	}
	name := slot.Target.Name
	model := h.models[name]
	h.calls = append(h.calls, runningCall{slot, h.pool})
	limit := model.limit(h.slots)
	if h.halfCapped {
		limit = min(limit, (h.slots+1)/2)
	}
	if n := h.inFlight(name); n > limit {
		h.t.Fatalf("target %s has %d calls in flight, want at most %d after %d answers", name, n, limit, model.answered)
	}
	if model.steps() < max(8, 3+h.slots) && model.started && h.now.Sub(model.lastCallAt) < model.minInterval() {
		h.t.Fatalf("target %s got a call %s after the previous one, want at least %s", name, h.now.Sub(model.lastCallAt), model.minInterval())
	}
	model.lastCallAt, model.started = h.now, true
}

func (h *harness) release() {
	if len(h.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.calls)-1).Draw(h.t, "call")
	c := h.calls[i]
	h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
	name := c.slot.Target.Name
	r := pool.Result{Kind: outcome.Answered, Status: 200, Latency: h.now.Sub(c.slot.At)}
	model := h.models[name]
	// Rapid draws small values and the highest value more often than others, so
	// the rare events have numbers from the middle of the range.
	switch rapid.IntRange(0, 200).Draw(h.t, "result") {
	case 101:
		r = pool.Result{Kind: outcome.NotRun, ConnRefused: true}
	case 102:
		r = pool.Result{Kind: outcome.Unknown, ConnReset: true, Failed: true}
	case 103:
		r = pool.Result{Kind: outcome.NotRun, Status: 503, Shed: true}
	case 104:
		r.Status = 500
	}
	if rapid.IntRange(0, 200).Draw(h.t, "restart") == 101 {
		model.instance += "x"
	}
	r.Instance = model.instance
	before := h.status(name).Instance
	c.holder.Release(h.now, c.slot, r)
	if c.holder != h.pool {
		// The new holder only learns that the call has ended.
		h.pool.PredecessorCallsDone(name, 1)
		return
	}
	if replaced := before != "" && r.Instance != before; r.ConnRefused || r.ConnReset || replaced {
		model.markCold(h.now)
	}
	if r.Kind == outcome.Answered && r.Status < 500 && !c.slot.At.Before(model.coldSince) {
		model.answered++
	}
}

func (h *harness) status(name string) pool.TargetStatus {
	for _, s := range h.pool.Describe(h.now) {
		if s.Name == name {
			return s
		}
	}
	return pool.TargetStatus{}
}

// applyLoadReport applies a load report with any utilization and checks that it
// raises no limit.
func (h *harness) applyLoadReport(name string) {
	before := h.status(name)
	p := pool.ProbeResult{
		OK: true, Utilization: rapid.Float64Range(0, 2).Draw(h.t, "load"),
		Instance: h.models[name].instance,
	}
	h.pool.ProbeDone(h.now, name, p)
	after := h.status(name)
	rate := func(r float64) float64 {
		if r == 0 {
			return math.Inf(1)
		}
		return r
	}
	if after.Limit > before.Limit || rate(after.Rate) > rate(before.Rate) {
		h.t.Fatalf("a load report raised limits from %+v to %+v", before, after)
	}
	if after.Cause == slowstart.InstanceChanged && before.Instance != after.Instance {
		h.models[name].markCold(h.now)
	}
}

// Guards against a cold target that gets more concurrent calls or a higher rate
// than its slow start allows. Events are signs of a cold target, load reports,
// planned handovers, takeovers under the half cap and configuration changes.
func TestColdTargetNeverExceedsItsRamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, slots: rapid.IntRange(1, 4).Draw(t, "slots"), now: start, models: map[string]*rampModel{}}
		ts := targets(2)
		for _, target := range ts {
			h.models[target.Name] = &rampModel{coldSince: start, instance: "1"}
		}
		h.pool = pool.New(id, service(h.slots), ts, start, nil)
		allCold := func() {
			for _, model := range h.models {
				model.markCold(h.now)
			}
		}
		for range rapid.IntRange(100, 1500).Draw(t, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			// Calls end before the timeout after which slots of the previous
			// holder become free.
			for len(h.calls) > 0 && h.now.Sub(h.calls[0].slot.At) > time.Second {
				h.release()
			}
			// The numbers are from the middle of the range for the same reason as in
			// release.
			switch rapid.IntRange(0, 300).Draw(t, "event") {
			default:
				h.acquire()
				h.release()
			case 100:
				h.pool.AssumeCold(h.now, slowstart.DomainReturned)
				allCold()
			case 101, 102:
				h.applyLoadReport(rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "target"))
			case 103:
				handover := h.pool.Export()
				h.pool = pool.New(id, service(h.slots), ts, h.now, &handover)
				h.pool.SetHalfCap(h.halfCapped)
			case 104:
				// The previous holder has stopped and its calls have ended.
				h.calls = nil
				h.pool = pool.New(id, service(h.slots), ts, h.now, nil)
				h.halfCapped = true
				h.pool.SetHalfCap(true)
				allCold()
			case 105:
				h.halfCapped = false
				h.pool.SetHalfCap(false)
			case 106:
				h.pool.Update(h.now, service(h.slots), ts[:1])
				h.pool.Update(h.now, service(h.slots), ts)
				h.models["t1"].markCold(h.now)
			case 107:
				h.pool.SetReduced(true)
				if l := h.pool.Load(h.now); l.Slots > len(ts)*(h.slots/2) {
					t.Fatalf("%d slots in reduced mode, want at most half of each target's slots", l.Slots)
				}
				h.acquire()
				h.pool.SetReduced(false)
			case 108, 109:
				h.acquire()
				h.acquire()
			}
		}
	})
}

// Guards against ejecting more than half of the targets, whatever the results
// of calls are.
func TestAtMostHalfOfTheTargetsAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "targets")
		p := warmPool(n, 2)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if slot, ok := p.Acquire(now); ok {
				p.Release(now, slot, pool.Result{Kind: outcome.Unknown, Failed: rapid.IntRange(0, 9).Draw(t, "ok") > 0, Latency: time.Millisecond})
			}
			ejected := 0
			for _, s := range p.Describe(now) {
				if s.Ejected > 0 {
					ejected++
				}
			}
			if ejected > n/2 {
				t.Fatalf("%d of %d targets are ejected, want at most half", ejected, n)
			}
		}
	})
}

// Guards against probes beyond the budget when the pool changes its holder and
// targets are added and removed.
func TestProbesOfThePoolStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, p, sent := start, warmPool(3, 2), map[string]int{}
		p.SetProbeBudget(start, 400)
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				handover := p.Export()
				p = pool.New(id, service(2), targets(3), now, &handover)
				p.SetProbeBudget(now, 400)
			case 1:
				p.Update(now, service(2), targets(2))
				p.Update(now, service(2), targets(3))
			case 102:
				moved := append([]inventory.Target{}, targets(3)...)
				moved[0].Address = "127.0.0.1:9"
				p.Update(now, service(2), moved)
			}
			for target, ok := p.NextProbe(now); ok; target, ok = p.NextProbe(now) {
				sent[target.Name]++
				total++
			}
			elapsed := now.Sub(start).Seconds()
			for name, n := range sent {
				if float64(n) > 0.2*elapsed+1e-6 {
					t.Fatalf("%d probes of target %s in %.1f s, budget 0.2 probes/s", n, name, elapsed)
				}
			}
			if float64(total*512) > 400*elapsed+1e-3 {
				t.Fatalf("the pool got %d probes of 512 bytes in %.1f s, budget 400 bytes/s", total, elapsed)
			}
		}
	})
}
