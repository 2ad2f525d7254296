package e2e_test

import (
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// readinessMonitor stands in for the platform's balancer: it holds the readiness of
// each VM of a cluster as last polled. isReady may be called from any goroutine.
type readinessMonitor struct {
	mu    sync.Mutex
	ready map[*entryVM]bool
}

// startReadinessMonitor polls the readiness of each VM every pollInterval until the
// spec ends.
func (c *cluster) startReadinessMonitor() *readinessMonitor {
	r := &readinessMonitor{ready: map[*entryVM]bool{}}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, v := range c.vms {
		wg.Go(func() {
			for {
				ready := c.isReady(v)
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

func (r *readinessMonitor) isReady(v *entryVM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[v]
}

// setServiceTimeFactor multiplies the service time of calls that reach any target from
// now on; a factor of 0 restores the normal service time.
func (c *cluster) setServiceTimeFactor(factor float64) {
	GinkgoHelper()
	for name := range c.targets {
		c.updateTarget(name, fakebackend.FaultUpdate{Faults: fakebackend.Faults{Slow: factor}})
	}
}

// setLongCallTimeout sets a call timeout longer than the service time of calls that
// setServiceTimeFactor has slowed down.
func setLongCallTimeout(d *inventory.Document) {
	for i := range d.Services {
		d.Services[i].CallTimeoutMs = 10_000
	}
}

var _ = Describe("planned stops", Ordered, func() {
	var c *cluster
	BeforeAll(func() { c = clusters["vm-stops"] })
	AfterEach(func() { c.dumpLogs() })

	// Guards against a planned stop that cuts off calls in flight, loses queued calls
	// of a pool that is handed over, ends early at a second signal, or waits for a
	// store that is down while the VM's callers are cut off.
	DescribeTable("cut off no call", func(first, count, signals int, storeDown bool) {
		monitor := c.startReadinessMonitor()
		for _, v := range c.vms {
			Eventually(func() bool { return monitor.isReady(v) }, waitTimeout, pollInterval).Should(BeTrue(), v.id)
		}
		callers := c.startMixedLoad(CurrentSpecReport().LeafNodeText, 16, 10*time.Second, func(seq int) *entryVM {
			for i := range c.vms {
				if v := c.anyVM(seq + i); monitor.isReady(v) {
					return v
				}
			}
			return nil
		})
		DeferCleanup(func() { callers.stop() })
		answered := func() int { return callers.count((*result).ran) }
		Eventually(answered, waitTimeout, pollInterval).Should(BeNumerically(">", 200))

		// Calls with a service time longer than the drain lead, so that they are
		// still in flight when the VM stops listening.
		c.setServiceTimeFactor(30)
		time.Sleep(300 * time.Millisecond)
		c.setServiceTimeFactor(0)
		stoppedVMs := c.vms[first : first+count]
		for range signals {
			for _, v := range stoppedVMs {
				v.signal(syscall.SIGTERM)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if storeDown {
			time.Sleep(time.Second)
			c.setPlatformFaults(platformstandin.Fault{Down: true})
		}
		for _, v := range stoppedVMs {
			Expect(v.awaitExit()).To(BeZero(), v.id)
		}
		c.setPlatformFaults()
		before := answered()
		Eventually(answered, waitTimeout, pollInterval).Should(BeNumerically(">", before+20))
		for _, v := range stoppedVMs {
			Expect(c.startVM(v)).To(Succeed())
		}
		for _, r := range callers.stop() {
			Expect(r.err).NotTo(HaveOccurred(), "%v", r)
			Expect(r.kind).NotTo(Equal(outcome.Unknown), "%v", r)
		}
	},
		Entry("of one VM", 0, 1, 1, false),
		Entry("of two VMs at once", 1, 2, 1, false),
		Entry("of a VM that gets two signals", 3, 1, 2, false),
		Entry("of a VM while the store goes down", 0, 1, 1, true),
	)
})
