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
	// Guards against one transaction per claim, which would exceed the table's
	// limit of write transactions per second.
	It("puts a burst into one transaction per 64 claims", inBubble(func(env *testEnv) {
		tc, _ := env.newClaimer("a")
		env.Expect(env.claimAll(tc, 200)).To(HaveLen(200))
		sizes := map[int]int{}
		for _, t := range env.store.Writes() {
			sizes[len(t.Ops)]++
		}
		env.Expect(sizes).To(Equal(map[int]int{64: 3, 8: 1}))
	}))

	It("commits a single claim after 5 ms", inBubble(func(env *testEnv) {
		tc, _ := env.newClaimer("a")
		start := env.clock.Now()
		_, err := tc.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(env.store.Writes()[0].At).To(Equal(start.Add(5 * time.Millisecond)))
	}))

	// Guards against claims that fail or get lost because other claims in their
	// transaction conflict.
	It("commits the remaining claims of a group when some of them conflict", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		env.Expect(env.claimAll(a, 5)).To(HaveLen(5))
		env.Expect(env.claimAll(b, 12)).To(HaveLen(7))
		env.Expect(env.store.Writes()).To(HaveLen(2))
	}))

	// Guards against two permissions for one key, within one VM and across VMs.
	It("grants one of many claims of a key", inBubble(func(env *testEnv) {
		a, _ := env.newClaimer("a")
		b, _ := env.newClaimer("b")
		var granted atomic.Int32
		var wg sync.WaitGroup
		for range 50 {
			for _, tc := range []*claim.TableClaimer{a, b} {
				wg.Go(func() {
					if _, err := tc.Claim(env.ctx, key); err == nil {
						granted.Add(1)
					}
				})
			}
		}
		wg.Wait()
		env.Expect(granted.Load()).To(BeEquivalentTo(1))
	}))

	// Guards against a queue that grows without bound while the store does not
	// answer.
	It("refuses claims at once when the queue is full", inBubble(func(env *testEnv) {
		tc, _ := env.newClaimer("a", claim.WithQueueLimit(100))
		env.store.SetFaults(standin.Fault{Blocked: true})
		var full atomic.Int32
		var wg sync.WaitGroup
		start := env.clock.Now()
		const claims = 100 + 4*64 + 50 // in the queue, in transactions, above the limit
		for i := range claims {
			wg.Go(func() {
				_, err := tc.Claim(env.ctx, claim.Key{Key: fmt.Sprint(i)})
				if refusal(err).Reason == outcome.ReasonQueueFull && env.clock.Since(start) == 0 {
					full.Add(1)
				}
			})
		}
		wg.Wait()
		env.Expect(full.Load()).To(BeNumerically(">=", 50))
	}))
})

var _ = Describe("Close", func() {
	// Guards against a planned stop that loses the outcomes of calls.
	It("waits until the outcomes of calls are stored", inBubble(func(env *testEnv) {
		tc, _ := env.newClaimer("a")
		c, err := tc.Claim(env.ctx, key)
		env.Expect(err).NotTo(HaveOccurred())
		env.store.SetFaults(standin.Fault{Down: true, Count: 5})
		ctx, cancel := context.WithCancel(env.ctx)
		cancel()
		env.Expect(c.MarkDone(ctx, 204)).NotTo(Succeed())
		env.Expect(tc.Close(env.ctx)).To(Succeed())
		r, err := claim.ParseRecord(env.store.Rows("")[0].Value)
		env.Expect(err).NotTo(HaveOccurred())
		env.Expect(r.Status).To(Equal(204))
		_, err = tc.Claim(env.ctx, claim.Key{Key: "later"})
		env.Expect(refusal(err).Kind).To(Equal(outcome.NotRun))
	}))

	// Guards against a stop that never ends during an outage, and against one
	// that does not report lost outcomes.
	DescribeTable("reports outcomes of calls that it could not store",
		func(f standin.Fault) {
			inBubble(func(env *testEnv) {
				tc, _ := env.newClaimer("a")
				c, err := tc.Claim(env.ctx, key)
				env.Expect(err).NotTo(HaveOccurred())
				env.store.SetFaults(f)
				ctx, cancel := env.timeout(3 * time.Second)
				defer cancel()
				stored := make(chan error, 1)
				go func() { stored <- c.MarkDone(env.ctx, 200) }()
				env.sleep(50 * time.Millisecond)
				env.Expect(tc.Close(ctx)).NotTo(Succeed())
				env.Expect(<-stored).NotTo(Succeed())
			})()
		},
		Entry("store down", standin.Fault{Down: true}),
		Entry("store not answering", standin.Fault{Blocked: true}),
	)
})
