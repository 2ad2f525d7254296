package e2e_test

import (
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// readiness is what the platform's balancer knows of the VMs of a cluster.
type readiness struct {
	mu    sync.Mutex
	ready map[*entryVM]bool
}

// watchReadiness asks each VM for its readiness until the spec ends.
func (c *cluster) watchReadiness() *readiness {
	r := &readiness{ready: map[*entryVM]bool{}}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range c.vms {
		wg.Go(func() {
			for {
				ready := c.ready(v)
				r.mu.Lock()
				r.ready[v] = ready
				r.mu.Unlock()
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
				}
			}
		})
	}
	DeferCleanup(func() {
		close(done)
		wg.Wait()
	})
	return r
}

func (r *readiness) is(v *entryVM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[v]
}

// slowDown multiplies the service time of calls that arrive from now on.
func (c *cluster) slowDown(factor float64) {
	GinkgoHelper()
	for name := range c.targets {
		c.change(name, fakebackend.FaultUpdate{Faults: fakebackend.Faults{Slow: factor}})
	}
}

// longCalls gives calls more time than slowDown makes them take.
func longCalls(d *inventory.Document) {
	for i := range d.Services {
		d.Services[i].CallTimeoutMs = 10_000
	}
}

var _ = Describe("planned stops", Ordered, func() {
	var c *cluster
	BeforeAll(func() { c = clusters["stops"] })
	AfterEach(func() { c.dumpLogs() })

	// Guards against a stop that cuts off calls in flight, loses queued calls
	// of a pool that is handed over, ends early at a second signal, or waits
	// for a store that is down while its callers are cut off.
	DescribeTable("cut off no call", func(first, count, signals int, storeDown bool) {
		balancer := c.watchReadiness()
		for _, v := range c.vms {
			Eventually(func() bool { return balancer.is(v) }, waitTimeout, pollInterval).Should(BeTrue(), v.id)
		}
		callers := c.startMixedLoad(CurrentSpecReport().LeafNodeText, 16, 10*time.Second, func(turn int) *entryVM {
			for i := range c.vms {
				if v := c.anyVM(turn + i); balancer.is(v) {
					return v
				}
			}
			return nil
		})
		DeferCleanup(func() { callers.stop() })
		answered := func() int { return callers.count((*result).ran) }
		Eventually(answered, waitTimeout, pollInterval).Should(BeNumerically(">", 200))

		// Calls that take longer than the drain lead are in flight when the VM
		// stops to listen.
		c.slowDown(30)
		time.Sleep(300 * time.Millisecond)
		c.slowDown(0)
		stopped := c.vms[first : first+count]
		for range signals {
			for _, v := range stopped {
				v.signal(syscall.SIGTERM)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if storeDown {
			time.Sleep(time.Second)
			c.store(standin.Fault{Down: true})
		}
		for _, v := range stopped {
			Expect(v.awaitExit()).To(BeZero(), v.id)
		}
		c.store()
		before := answered()
		Eventually(answered, waitTimeout, pollInterval).Should(BeNumerically(">", before+20))
		for _, v := range stopped {
			Expect(c.startVM(v)).To(Succeed())
		}
		for _, r := range callers.stop() {
			Expect(r.err).NotTo(HaveOccurred(), "%v", r)
			Expect(r.kind).NotTo(Equal(outcome.Unknown), "%v", r)
		}
	},
		Entry("of one VM", 0, 1, 1, false),
		Entry("of two VMs at once", 1, 2, 1, false),
		Entry("of a VM that is told twice", 3, 1, 2, false),
		Entry("of a VM while the store goes down", 0, 1, 1, true),
	)
})
