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

func table() *balancer.Picker {
	t := balancer.NewPicker(1)
	t.SetCandidates("kreisplan", candidates())
	return t
}

// Guards against a forward although the own pool has a free slot, and against
// an order of the siblings that ignores the calls sent since the news.
func TestPickOrder(t *testing.T) {
	g := NewWithT(t)
	d := table()
	pick := func(own int, exclude ...inventory.PoolID) inventory.PoolID {
		c, ok := d.Pick(t0, "kreisplan", map[inventory.PoolID]int{graz: own}, exclude)
		g.Expect(ok).To(BeTrue())
		return c.Pool
	}
	d.RecordLoad(t0, wien, 3, 0)
	d.RecordLoad(t0, ibk, 2, 0)
	g.Expect(pick(1)).To(Equal(graz))
	g.Expect(pick(0)).To(Equal(wien))
	d.RecordSent(wien)
	d.RecordSent(wien)
	g.Expect(pick(0)).To(Equal(ibk))
	g.Expect(pick(0, ibk)).To(Equal(wien))
	d.RecordLoad(t0, wien, 0, 8)
	d.RecordLoad(t0, ibk, 0, 4)
	d.RecordLoad(t0, graz, 0, 1)
	g.Expect(pick(0)).To(Equal(graz), "the shortest queue is the own one")
	g.Expect(pick(0, graz)).To(Equal(ibk))
	_, ok := d.Pick(t0, "kreisplan", nil, []inventory.PoolID{graz, wien, ibk})
	g.Expect(ok).To(BeFalse())
}

// Guards against old news of many free slots that outweighs fresh news of a few.
func TestOldNewsIsBelievedLess(t *testing.T) {
	g := NewWithT(t)
	d := table()
	d.RecordLoad(t0, wien, 4, 0)
	d.RecordLoad(t0.Add(500*time.Millisecond), ibk, 2, 0)
	c, _ := d.Pick(t0.Add(500*time.Millisecond), "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(ibk))
}

// Guards against news of a former holder that is applied to its successor.
func TestNewHolderHasNoNews(t *testing.T) {
	g := NewWithT(t)
	d := table()
	d.RecordLoad(t0, wien, 4, 0)
	next := candidates()
	next[1].VM.Incarnation = 2
	d.SetCandidates("kreisplan", next)
	d.RecordLoad(t0, ibk, 2, 0)
	c, _ := d.Pick(t0, "kreisplan", nil, nil)
	g.Expect(c.Pool).To(Equal(ibk))
	d.SetCandidates("kreisplan", nil)
	_, ok := d.Pick(t0, "kreisplan", nil, nil)
	g.Expect(ok).To(BeFalse())
}

// Guards against data races between picks and swaps of the candidates.
func TestTableIsSafeForConcurrentUse(t *testing.T) {
	d := table()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 500 {
				d.RecordLoad(t0, wien, i%4, i%3)
				if c, ok := d.Pick(t0, "kreisplan", nil, nil); ok {
					d.RecordSent(c.Pool)
				}
				d.SetCandidates("kreisplan", candidates())
			}
		})
	}
	wg.Wait()
}
