package balancer_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

var (
	t0   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	graz = inventory.PoolID{Service: "kreisplan", FailureDomain: "ost-graz"}
	wien = inventory.PoolID{Service: "kreisplan", FailureDomain: "ost-wien"}
	ibk  = inventory.PoolID{Service: "kreisplan", FailureDomain: "west-ibk"}
)

func candidates() []balancer.Candidate {
	return []balancer.Candidate{
		{Pool: graz, VM: vm.Info{ID: "a", Incarnation: 1}, Local: true, Slots: 4},
		{Pool: wien, VM: vm.Info{ID: "b", Incarnation: 1}, Slots: 4},
		{Pool: ibk, VM: vm.Info{ID: "c", Incarnation: 1}, Slots: 4},
	}
}

func newPicker() *balancer.Picker {
	p := balancer.NewPicker(1)
	p.SetCandidates("kreisplan", candidates())
	return p
}

// Guards against forwarding a call although the local pool has a free slot, and
// against ranking siblings without the calls sent since their last report.
func TestPickOrder(t *testing.T) {
	g := NewWithT(t)
	picker := newPicker()
	pick := func(own int, exclude ...inventory.PoolID) inventory.PoolID {
		c, ok := picker.Pick(t0, "kreisplan", map[inventory.PoolID]int{graz: own}, exclude)
		g.Expect(ok).To(BeTrue())
		return c.Pool
	}
	picker.RecordLoad(t0, wien, 3, 0)
	picker.RecordLoad(t0, ibk, 2, 0)
	g.Expect(pick(1)).To(Equal(graz))
	g.Expect(pick(0)).To(Equal(wien))
	picker.RecordSent(wien)
	picker.RecordSent(wien)
	g.Expect(pick(0)).To(Equal(ibk))
	g.Expect(pick(0, ibk)).To(Equal(wien))
	picker.RecordLoad(t0, wien, 0, 8)
	picker.RecordLoad(t0, ibk, 0, 4)
	picker.RecordLoad(t0, graz, 0, 1)
	g.Expect(pick(0)).To(Equal(graz), "the local pool has the shortest queue")
	g.Expect(pick(0, graz)).To(Equal(ibk))
	_, ok := picker.Pick(t0, "kreisplan", nil, []inventory.PoolID{graz, wien, ibk})
	g.Expect(ok).To(BeFalse())
}

// Guards against an old report of many free slots that outweighs a recent
// report of a few.
func TestOldLoadReportHasLessWeight(t *testing.T) {
	g := NewWithT(t)
	picker := newPicker()
	picker.RecordLoad(t0, wien, 4, 0)
	picker.RecordLoad(t0.Add(500*time.Millisecond), ibk, 2, 0)
	c, _ := picker.Pick(t0.Add(500*time.Millisecond), "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(ibk))
}

// Guards against applying the load report of the previous holder to the new
// holder of a pool.
func TestNewHolderStartsWithoutLoadReport(t *testing.T) {
	g := NewWithT(t)
	picker := newPicker()
	picker.RecordLoad(t0, wien, 4, 0)
	next := candidates()
	next[1].VM.Incarnation = 2
	picker.SetCandidates("kreisplan", next)
	picker.RecordLoad(t0, ibk, 2, 0)
	c, _ := picker.Pick(t0, "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(ibk))
	picker.SetCandidates("kreisplan", nil)
	_, ok := picker.Pick(t0, "kreisplan", nil, nil)
	g.Expect(ok).To(BeFalse())
}

// Guards against data races between Pick and SetCandidates.
func TestPickerIsSafeForConcurrentUse(t *testing.T) {
	picker := newPicker()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 500 {
				picker.RecordLoad(t0, wien, i%4, i%3)
				if c, ok := picker.Pick(t0, "kreisplan", nil, nil); ok {
					picker.RecordSent(c.Pool)
				}
				picker.SetCandidates("kreisplan", candidates())
			}
		})
	}
	wg.Wait()
}
