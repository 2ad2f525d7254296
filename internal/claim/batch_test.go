package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

var _ = Describe("Group commit", func() {
	// Guards against one transaction per claim, which the table's limit does not bear.
	It("puts a burst into one transaction per 64 claims", bubble(func(w *world) {
		l, _ := w.ledger("a")
		w.Expect(w.claimAll(l, 200)).To(HaveLen(200))
		sizes := map[int]int{}
		for _, t := range w.store.Writes() {
			sizes[len(t.Ops)]++
		}
		w.Expect(sizes).To(Equal(map[int]int{64: 3, 8: 1}))
	}))

	It("commits a single claim after 5 ms", bubble(func(w *world) {
		l, _ := w.ledger("a")
		start := w.clock.Now()
		_, err := l.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(w.store.Writes()[0].At).To(Equal(start.Add(5 * time.Millisecond)))
	}))

	// Guards against claims that fail, or are lost, because others of their
	// transaction conflict.
	It("commits the rest of a group when some of it conflicts", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		w.Expect(w.claimAll(a, 5)).To(HaveLen(5))
		w.Expect(w.claimAll(b, 12)).To(HaveLen(7))
		w.Expect(w.store.Writes()).To(HaveLen(2))
	}))

	// Guards against two permissions for one key within a VM and across VMs.
	It("grants one of many claims of a key", bubble(func(w *world) {
		a, _ := w.ledger("a")
		b, _ := w.ledger("b")
		var granted atomic.Int32
		var wg sync.WaitGroup
		for range 50 {
			for _, l := range []*claim.TableClaimer{a, b} {
				wg.Go(func() {
					if _, err := l.Claim(w.ctx, key); err == nil {
						granted.Add(1)
					}
				})
			}
		}
		wg.Wait()
		w.Expect(granted.Load()).To(BeEquivalentTo(1))
	}))

	// Guards against a queue that grows without bound while the store is frozen.
	It("refuses claims at once when too many wait", bubble(func(w *world) {
		l, _ := w.ledger("a", claim.WithQueue(100))
		w.store.SetFaults(standin.Fault{Blocked: true})
		var full atomic.Int32
		var wg sync.WaitGroup
		start := w.clock.Now()
		const claims = 100 + 4*64 + 50 // queue, in transactions, too many
		for i := range claims {
			wg.Go(func() {
				_, err := l.Claim(w.ctx, claim.Key{Key: fmt.Sprint(i)})
				if refusal(err).Reason == outcome.ReasonQueueFull && w.clock.Since(start) == 0 {
					full.Add(1)
				}
			})
		}
		wg.Wait()
		w.Expect(full.Load()).To(BeNumerically(">=", 50))
	}))
})

var _ = Describe("Close", func() {
	// Guards against a planned stop that loses how calls ended.
	It("waits until the ends of calls are stored", bubble(func(w *world) {
		l, _ := w.ledger("a")
		c, err := l.Claim(w.ctx, key)
		w.Expect(err).NotTo(HaveOccurred())
		w.store.SetFaults(standin.Fault{Down: true, Count: 5})
		ctx, cancel := context.WithCancel(w.ctx)
		cancel()
		w.Expect(c.MarkDone(ctx, 204)).NotTo(Succeed())
		w.Expect(l.Close(w.ctx)).To(Succeed())
		r, err := claim.ParseRecord(w.store.Rows("")[0].Value)
		w.Expect(err).NotTo(HaveOccurred())
		w.Expect(r.Status).To(Equal(204))
		_, err = l.Claim(w.ctx, claim.Key{Key: "later"})
		w.Expect(refusal(err).Kind).To(Equal(outcome.NotRun))
	}))

	// Guards against a stop that hangs on an outage, and one that hides the loss.
	DescribeTable("reports ends of calls that it could not store",
		func(f standin.Fault) {
			bubble(func(w *world) {
				l, _ := w.ledger("a")
				c, err := l.Claim(w.ctx, key)
				w.Expect(err).NotTo(HaveOccurred())
				w.store.SetFaults(f)
				ctx, cancel := w.timeout(3 * time.Second)
				defer cancel()
				stored := make(chan error, 1)
				go func() { stored <- c.MarkDone(w.ctx, 200) }()
				w.sleep(50 * time.Millisecond)
				w.Expect(l.Close(ctx)).NotTo(Succeed())
				w.Expect(<-stored).NotTo(Succeed())
			})()
		},
		Entry("store down", standin.Fault{Down: true}),
		Entry("store frozen", standin.Fault{Blocked: true}),
	)
})
