package e2e_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// pastLease is longer than the lease of a VM, a takeover and the scan before it.
const pastLease = 6 * time.Second

// sendKey sends the same key through two VMs at the same time and through a
// third one afterwards, as a caller does who gives up waiting.
func (c *cluster) sendKey(key string, first int, timeout time.Duration) []*result {
	q := order(key)
	q.timeout = timeout
	results := make([]*result, 2, 3)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = c.call(c.vms[(first+i)%len(c.vms)], q) })
	}
	wg.Wait()
	return append(results, c.call(c.vms[(first+2)%len(c.vms)], q))
}

// checkKeys compares what callers were told with what the targets ran.
func (c *cluster) checkKeys(results []*result) {
	GinkgoHelper()
	byKey, byID := map[string]int{}, map[string]int{}
	for _, r := range c.records("orders") {
		for _, run := range r.Runs {
			byKey[run.IdempotencyKey]++
			byID[run.RequestID]++
		}
	}
	for key, n := range byKey {
		Expect(n).To(Equal(1), "runs of key %s", key)
	}
	mayHaveRun := map[string]bool{}
	for _, r := range results {
		switch {
		case r.kind == outcome.NotRun:
			Expect(byID[r.id]).To(BeZero(), "refused as not run, but ran: %v", r)
		case r.ran():
			Expect(byID[r.id]).To(Equal(1), "answered, but did not run: %v", r)
		case r.duplicate:
			Expect(byKey[r.key]).To(Equal(1), "said to have run before: %v", r)
		}
		mayHaveRun[r.key] = mayHaveRun[r.key] || r.kind != outcome.NotRun || r.err != nil
	}
	for key, may := range mayHaveRun {
		if !may {
			Expect(byKey[key]).To(BeZero(), "every request with key %s was refused as not run", key)
		}
	}
}

var _ = Describe("idempotency keys", Ordered, func() {
	var c *cluster
	var callers *load

	answered := func(r *result) bool { return r.ran() }
	// awaitAnswers waits until n more orders have run.
	awaitAnswers := func(n int) {
		GinkgoHelper()
		before := callers.count(answered)
		Eventually(func() int { return callers.count(answered) }, waitTimeout, pollInterval).Should(BeNumerically(">=", before+n))
	}
	holder := func() *entryVM {
		GinkgoHelper()
		held := c.holders(c.vms[0], "orders")
		Expect(held).To(HaveKey("debrecen-a"))
		return c.vm(held["debrecen-a"])
	}
	begin := func(name string) {
		callers = startLoad(20, 30*time.Millisecond, func(caller, round int) []*result {
			return c.sendKey(fmt.Sprintf("%s-%d-%d", name, caller, round), caller+round, 3*time.Second)
		})
		DeferCleanup(func() { callers.stop() })
		// After that many the targets are warm and all slots are in use, so
		// that a failure meets calls in flight.
		awaitAnswers(100)
	}

	BeforeAll(func() { c = clusters["keys"] })
	AfterEach(func() { c.dumpLogs() })

	// Guards against a second run of a key whose VM was killed between the
	// send and the answer.
	It("run at most once when a holder is killed", func() {
		begin("killed")
		v := holder()
		v.signal(syscall.SIGKILL)
		v.awaitExit()
		time.Sleep(pastLease)
		awaitAnswers(10)
		Expect(c.startVM(v)).To(Succeed())
		Eventually(func() bool { return c.ready(v) }, waitTimeout, pollInterval).Should(BeTrue())
		results := callers.stop()
		c.checkKeys(results)
	})

	// Guards against a paused VM that goes on after its lease has expired: its
	// pools have another holder, and the keys of its waiting requests were
	// sent through other VMs meanwhile.
	It("run at most once when a VM is paused past its lease", func() {
		begin("paused")
		v := holder()
		v.signal(syscall.SIGSTOP)
		var late sync.WaitGroup
		for i := range 20 {
			key := fmt.Sprintf("waiting-%d", i)
			q := order(key)
			q.timeout = 15 * time.Second
			late.Go(func() { callers.add(c.call(v, q)) })
			late.Go(func() {
				time.Sleep(pastLease / 2)
				for _, other := range c.vms {
					if other != v {
						callers.add(c.call(other, order(key)))
					}
				}
			})
		}
		time.Sleep(pastLease)
		awaitAnswers(10)
		v.signal(syscall.SIGCONT)
		late.Wait()
		Eventually(func() bool { return c.ready(v) }, waitTimeout, pollInterval).Should(BeTrue())
		awaitAnswers(10)
		c.checkKeys(callers.stop())
	})

	// Guards against orders that run without a claim while the store is down,
	// and against a refusal as not run of a request that is sent later.
	It("are refused as not run while the store is down", func() {
		begin("down")
		c.store(standin.Fault{Down: true})
		refused := func(r *result) bool { return r.reason == string(outcome.ReasonStoreDown) && r.kind == outcome.NotRun }
		Eventually(func() int { return callers.count(refused) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20))
		c.store()
		awaitAnswers(10)
		c.checkKeys(callers.stop())
	})

	// Guards against a claim whose lost answer is taken for a failure, so that
	// the key stays blocked or runs twice.
	It("run at most once when answers of the store are lost", func() {
		begin("lost")
		c.store(standin.Fault{Service: standin.ServiceTable, WritesOnly: true, DropResponse: true, Share: 0.4})
		awaitAnswers(10)
		time.Sleep(3 * time.Second)
		awaitAnswers(10)
		c.store()
		c.checkKeys(callers.stop())
	})
})
