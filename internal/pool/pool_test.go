package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	id    = inventory.PoolID{Service: "kreisplan", FailureDomain: "ost-wien"}
)

func service(slots int) *inventory.Service {
	return &inventory.Service{Name: id.Service, Slots: slots, ColdRate: 10, ProbesPerSecond: 0.2, CallTimeoutMs: 2000}
}

func targets(n int) []inventory.Target {
	out := make([]inventory.Target, n)
	for i := range out {
		out[i] = inventory.Target{Name: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), FailureDomain: id.FailureDomain}
	}
	return out
}

// warmPool returns a pool of n targets that are warm because of a handover.
func warmPool(n, slots int) *pool.Pool {
	h := pool.Handover{}
	for _, t := range targets(n) {
		h.Targets = append(h.Targets, pool.TargetHandover{Name: t.Name, Limit: slots, Warm: true, Baseline: 20 * time.Millisecond})
	}
	return pool.New(id, service(slots), targets(n), start, &h)
}

func answered(ms int) pool.Result {
	return pool.Result{Kind: outcome.Answered, Status: 200, Latency: time.Duration(ms) * time.Millisecond}
}

// Guards against freeing two slots when the slot of one call is released twice.
func TestReleaseTwiceFreesOneSlot(t *testing.T) {
	g := NewWithT(t)
	p := warmPool(1, 2)
	slot, ok := p.Acquire(start)
	g.Expect(ok).To(BeTrue())
	_, ok = p.Acquire(start)
	g.Expect(ok).To(BeTrue())
	p.Release(start, slot, answered(20))
	p.Release(start, slot, answered(20))
	g.Expect(p.Load(start)).To(Equal(pool.Load{Free: 1, Slots: 2, InFlight: 1}))
}

// Guards against two holders that together exceed the slots of a target during
// a handover.
func TestHandoverKeepsSlotsOfCallsInFlight(t *testing.T) {
	g := NewWithT(t)
	old := warmPool(1, 2)
	_, _ = old.Acquire(start)
	h := old.Export()
	p := pool.New(id, service(2), targets(1), start, &h)
	_, ok := p.Acquire(start)
	g.Expect(ok).To(BeTrue())
	_, ok = p.Acquire(start)
	g.Expect(ok).To(BeFalse(), "the second slot is in use by the previous holder")
	next, ok := p.NextFree(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(next).To(Equal(start.Add(2*time.Second)), "the call timeout frees the slot")
	p.PredecessorCallsDone("t0", 1)
	_, ok = p.Acquire(start)
	g.Expect(ok).To(BeTrue())
}

// Guards against preferring a target because it fails quickly and so appears to
// be fast.
func TestTargetThatFailsFastDoesNotAttractCalls(t *testing.T) {
	g := NewWithT(t)
	p := warmPool(3, 2)
	now, failed := start, 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		slot, ok := p.Acquire(now)
		g.Expect(ok).To(BeTrue())
		if slot.Target.Name == "t1" {
			failed++
			p.Release(now, slot, pool.Result{Kind: outcome.Answered, Status: 500, Latency: time.Millisecond})
			continue
		}
		p.Release(now, slot, answered(20))
	}
	g.Expect(failed).To(BeNumerically("<", 5))
}

// Guards against granting slots that are still in use when a target is removed
// and added again.
func TestRemovedTargetThatReturnsKeepsCallsInFlight(t *testing.T) {
	g := NewWithT(t)
	p := warmPool(1, 2)
	_, _ = p.Acquire(start)
	p.Update(start, service(2), nil)
	_, ok := p.Acquire(start)
	g.Expect(ok).To(BeFalse())
	p.Update(start, service(2), targets(1))
	_, ok = p.Acquire(start.Add(time.Second))
	g.Expect(ok).To(BeFalse(), "the one slot of a cold target is in use")
}

// Guards against limits that are too high in the reduced mode or under the half
// cap.
func TestReducedModeAndHalfCapLowerLimits(t *testing.T) {
	g := NewWithT(t)
	p := warmPool(1, 3)
	p.SetReduced(true)
	g.Expect(p.Load(start).Slots).To(Equal(1))
	p.SetReduced(false)
	p.SetHalfCap(true)
	g.Expect(p.Load(start).Slots).To(Equal(2))
	p.SetHalfCap(false)
	g.Expect(p.Load(start).Slots).To(Equal(3))
	cold := pool.New(id, service(3), targets(1), start, nil)
	cold.SetReduced(true)
	g.Expect(cold.Load(start).Slots).To(Equal(0))
}

// Guards against new calls to a target whose health endpoint does not yet show
// that it is leaving, and against never using the process that replaces it.
func TestLeavingTarget(t *testing.T) {
	g := NewWithT(t)
	p := warmPool(1, 2)
	slot, _ := p.Acquire(start)
	r := answered(20)
	r.Leaving, r.Instance = true, "a"
	p.Release(start, slot, r)
	p.ProbeDone(start, "t0", pool.ProbeResult{OK: true, Instance: "a"})
	_, ok := p.Acquire(start)
	g.Expect(ok).To(BeFalse())
	p.ProbeDone(start, "t0", pool.ProbeResult{OK: true, Instance: "b"})
	g.Expect(p.Load(start).Slots).To(Equal(1), "the new process is cold")
}
