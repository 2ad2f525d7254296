package e2e_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// takeoverWait is longer than the sum of three times: the duration of a VM's lease, the
// time until the next scan finds the lease expired, and the takeover of the VM's pools.
const takeoverWait = 6 * time.Second

// sendConcurrently sends requests with the same idempotency key through two VMs at
// the same time, beginning with the VM at index firstVM, and then through a third VM.
// This imitates callers that stop waiting for a response and retry through another VM.
func (c *cluster) sendConcurrently(key string, firstVM int, timeout time.Duration) []*result {
	q := orderRequest(key)
	q.timeout = timeout
	results := make([]*result, 2, 3)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = c.call(c.vms[(firstVM+i)%len(c.vms)], q) })
	}
	wg.Wait()
	return append(results, c.call(c.vms[(firstVM+2)%len(c.vms)], q))
}

// checkRunsPerKey compares the results of callers with the runs that the targets of
// service orders recorded. It fails if a key ran more than once, or if the result of
// a request contradicts the records.
func (c *cluster) checkRunsPerKey(results []*result) {
	GinkgoHelper()
	byKey, byID := map[string]int{}, map[string]int{}
	for _, r := range c.targetRecords("orders") {
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
			Expect(byID[r.id]).To(BeZero(), "runs of a request refused as not run: %v", r)
		case r.ran():
			Expect(byID[r.id]).To(Equal(1), "runs of a request answered as run: %v", r)
		case r.duplicate:
			Expect(byKey[r.key]).To(Equal(1), "runs of the key of a request answered as a duplicate: %v", r)
		}
		// A request without a complete response may have run.
		mayHaveRun[r.key] = mayHaveRun[r.key] || r.kind != outcome.NotRun || r.err != nil
	}
	for key, possible := range mayHaveRun {
		if !possible {
			Expect(byKey[key]).To(BeZero(), "every request with key %s was refused as not run", key)
		}
	}
}

var _ = Describe("requests with an idempotency key", Ordered, func() {
	var c *cluster
	var callers *loadGenerator

	ran := func(r *result) bool { return r.ran() }
	// awaitRuns waits until callers have received n more responses of orders
	// that ran.
	awaitRuns := func(n int) {
		GinkgoHelper()
		before := callers.count(ran)
		Eventually(func() int { return callers.count(ran) }, waitTimeout, pollInterval).Should(BeNumerically(">=", before+n))
	}
	// debrecenHolder returns the holder of the pool of service orders in debrecen-a.
	debrecenHolder := func() *entryVM {
		GinkgoHelper()
		holderIDs := c.holders(c.vms[0], "orders")
		Expect(holderIDs).To(HaveKey("debrecen-a"))
		return c.vmByID(holderIDs["debrecen-a"])
	}
	startCallers := func(name string) {
		callers = startLoad(20, 30*time.Millisecond, func(caller, round int) []*result {
			return c.sendConcurrently(fmt.Sprintf("%s-%d-%d", name, caller, round), caller+round, 3*time.Second)
		})
		DeferCleanup(func() { callers.stop() })
		// After 100 runs all slots are in use, so calls are in flight when the
		// failure is injected.
		awaitRuns(100)
	}

	BeforeAll(func() { c = clusters["idempotency"] })
	AfterEach(func() { c.dumpLogs() })

	// Guards against a second run of a request after its VM was killed between sending
	// the request to a target and receiving the response.
	It("run at most once per key when a holder is killed", func() {
		startCallers("killed")
		v := debrecenHolder()
		v.signal(syscall.SIGKILL)
		v.awaitExit()
		time.Sleep(takeoverWait)
		awaitRuns(10)
		Expect(c.startVM(v)).To(Succeed())
		Eventually(func() bool { return c.isReady(v) }, waitTimeout, pollInterval).Should(BeTrue())
		results := callers.stop()
		c.checkRunsPerKey(results)
	})

	// Guards against a VM that was paused until its lease expired and, when resumed,
	// continues as before: its pools have another holder by then, and the keys of
	// its waiting requests have been sent through other VMs in the meantime.
	It("run at most once per key when a VM is paused past its lease", func() {
		startCallers("paused")
		v := debrecenHolder()
		v.signal(syscall.SIGSTOP)
		var pending sync.WaitGroup
		for i := range 20 {
			key := fmt.Sprintf("waiting-%d", i)
			q := orderRequest(key)
			q.timeout = 15 * time.Second
			pending.Go(func() { callers.add(c.call(v, q)) })
			pending.Go(func() {
				time.Sleep(takeoverWait / 2)
				for _, other := range c.vms {
					if other != v {
						callers.add(c.call(other, orderRequest(key)))
					}
				}
			})
		}
		time.Sleep(takeoverWait)
		awaitRuns(10)
		v.signal(syscall.SIGCONT)
		pending.Wait()
		Eventually(func() bool { return c.isReady(v) }, waitTimeout, pollInterval).Should(BeTrue())
		awaitRuns(10)
		c.checkRunsPerKey(callers.stop())
	})

	// Guards against orders that run without a claim while the store is down, and
	// against a request that is refused as not run but sent to a target later.
	It("are refused as not run while the store is down", func() {
		startCallers("down")
		c.setPlatformFaults(platformstandin.Fault{Down: true})
		refused := func(r *result) bool { return r.reason == string(outcome.ReasonStoreDown) && r.kind == outcome.NotRun }
		Eventually(func() int { return callers.count(refused) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20))
		c.setPlatformFaults()
		awaitRuns(10)
		c.checkRunsPerKey(callers.stop())
	})

	// Guards against a VM that treats a claim as failed when only the store's
	// response to it was lost: the key would then stay blocked, or its request run twice.
	It("run at most once per key when responses of the store are lost", func() {
		startCallers("lost")
		c.setPlatformFaults(platformstandin.Fault{Service: platformstandin.ServiceTable, WritesOnly: true, DropResponse: true, Share: 0.4})
		awaitRuns(10)
		time.Sleep(3 * time.Second) // the fault lasts at least this long
		awaitRuns(10)
		c.setPlatformFaults()
		c.checkRunsPerKey(callers.stop())
	})
})
