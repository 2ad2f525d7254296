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
	t0           = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	localPool    = inventory.PoolID{Service: "kreisplan", FailureDomain: "ost-graz"}
	siblingPool1 = inventory.PoolID{Service: "kreisplan", FailureDomain: "ost-wien"}
	siblingPool2 = inventory.PoolID{Service: "kreisplan", FailureDomain: "west-ibk"}
)

// candidates returns one pool that is held by the VM of the picker and two that
// are held by siblings.
func candidates() []balancer.Candidate {
	return []balancer.Candidate{
		{Pool: localPool, VM: vm.Info{ID: "a", Incarnation: 1}, Local: true, Slots: 4},
		{Pool: siblingPool1, VM: vm.Info{ID: "b", Incarnation: 1}, Slots: 4},
		{Pool: siblingPool2, VM: vm.Info{ID: "c", Incarnation: 1}, Slots: 4},
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
	pick := func(ownFree int, exclude ...inventory.PoolID) inventory.PoolID {
		c, ok := picker.Pick(t0, "kreisplan", map[inventory.PoolID]int{localPool: ownFree}, exclude)
		g.Expect(ok).To(BeTrue())
		return c.Pool
	}
	picker.RecordLoad(t0, siblingPool1, 3, 0)
	picker.RecordLoad(t0, siblingPool2, 2, 0)
	g.Expect(pick(1)).To(Equal(localPool))
	g.Expect(pick(0)).To(Equal(siblingPool1))
	picker.RecordSent(siblingPool1)
	picker.RecordSent(siblingPool1)
	g.Expect(pick(0)).To(Equal(siblingPool2))
	g.Expect(pick(0, siblingPool2)).To(Equal(siblingPool1))
	picker.RecordLoad(t0, siblingPool1, 0, 8)
	picker.RecordLoad(t0, siblingPool2, 0, 4)
	picker.RecordLoad(t0, localPool, 0, 1)
	g.Expect(pick(0)).To(Equal(localPool), "the local pool has the shortest queue")
	g.Expect(pick(0, localPool)).To(Equal(siblingPool2))
	_, ok := picker.Pick(t0, "kreisplan", nil, []inventory.PoolID{localPool, siblingPool1, siblingPool2})
	g.Expect(ok).To(BeFalse())
}

// Guards against an old report of many free slots that outweighs a recent
// report of a few.
func TestOldLoadReportHasLessWeight(t *testing.T) {
	g := NewWithT(t)
	picker := newPicker()
	picker.RecordLoad(t0, siblingPool1, 4, 0)
	picker.RecordLoad(t0.Add(500*time.Millisecond), siblingPool2, 2, 0)
	c, _ := picker.Pick(t0.Add(500*time.Millisecond), "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(siblingPool2))
}

// Guards against applying the load report of the previous holder to the new
// holder of a pool.
func TestNewHolderStartsWithoutLoadReport(t *testing.T) {
	g := NewWithT(t)
	picker := newPicker()
	picker.RecordLoad(t0, siblingPool1, 4, 0)
	next := candidates()
	next[1].VM.Incarnation = 2
	picker.SetCandidates("kreisplan", next)
	picker.RecordLoad(t0, siblingPool2, 2, 0)
	c, _ := picker.Pick(t0, "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(siblingPool2))
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
				picker.RecordLoad(t0, siblingPool1, i%4, i%3)
				if c, ok := picker.Pick(t0, "kreisplan", nil, nil); ok {
					picker.RecordSent(c.Pool)
				}
				picker.SetCandidates("kreisplan", candidates())
			}
		})
	}
	wg.Wait()
}
