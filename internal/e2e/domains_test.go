package e2e_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// maxActivationDelay is the longest time that the design allows from the acceptance
// of a configuration change until it is in force on every VM.
const maxActivationDelay = 7 * time.Second

// startMixedLoad starts n callers that send lookups and orders in alternate rounds.
// chooseVM returns the VM for a request, or nil to send none in that round.
func (c *cluster) startMixedLoad(name string, n int, timeout time.Duration, chooseVM func(seq int) *entryVM) *loadGenerator {
	return startLoad(n, 20*time.Millisecond, func(caller, round int) []*result {
		v := chooseVM(caller + round)
		if v == nil {
			return nil
		}
		q := lookupRequest()
		if round%2 == 0 {
			q = orderRequest(fmt.Sprintf("%s-%d-%d", name, caller, round))
		}
		q.timeout = timeout
		return []*result{c.call(v, q)}
	})
}

// anyVM returns the VMs of the cluster in rotation for successive values of seq.
func (c *cluster) anyVM(seq int) *entryVM { return c.vms[seq%len(c.vms)] }

// runsStartedBetween returns how many runs on targets of a failure domain started
// after from and before to.
func (c *cluster) runsStartedBetween(domain string, from, to time.Time) int {
	GinkgoHelper()
	n := 0
	for _, r := range c.targetRecords("") {
		for _, run := range r.Runs {
			if r.FailureDomain == domain && run.Started.After(from) && run.Started.Before(to) {
				n++
			}
		}
	}
	return n
}

// checkOutOfService takes failure domain debrecen-a out of service under load, while
// the holder of its lookups pool is paused. It checks that no runs start there later
// than maxActivationDelay after the change was accepted, and that runs start again
// after the failure domain is returned. With storeDown, the store is down from the
// acceptance until just before the return.
func (c *cluster) checkOutOfService(storeDown bool) {
	GinkgoHelper()
	callers := c.startMixedLoad("out", 6, time.Second, c.anyVM)
	defer callers.stop()
	loadStart := time.Now()
	// Without runs in the failure domain beforehand, their absence later would
	// prove nothing.
	Eventually(func() int { return c.runsStartedBetween("debrecen-a", loadStart, time.Now()) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 20))

	paused := c.vmByID(c.holders(c.vms[0], "lookups")["debrecen-a"])
	toolVM := c.vms[0]
	if toolVM == paused {
		toolVM = c.vms[1]
	}
	paused.signal(syscall.SIGSTOP)
	code, out, err := c.runCtl(toolVM, "out", "debrecen-a")
	accepted := time.Now()
	if storeDown {
		c.setPlatformFaults(platformstandin.Fault{Down: true})
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(BeElementOf(0, 5), out)
	time.Sleep(4 * time.Second)
	paused.signal(syscall.SIGCONT)
	time.Sleep(time.Until(accepted.Add(maxActivationDelay + 3*time.Second)))

	c.setPlatformFaults()
	end := time.Now()
	Expect(c.runsStartedBetween("debrecen-a", accepted.Add(maxActivationDelay), end)).To(BeZero())
	Expect(c.runsStartedBetween("szeged-a", accepted.Add(maxActivationDelay), end)).To(BeNumerically(">", 20))

	Eventually(func() int {
		code, out, err = c.runCtl(toolVM, "return", "debrecen-a", "--wait", "10s")
		return code
	}, waitTimeout, pollInterval).Should(Equal(0), func() string { return fmt.Sprint(err, out) })
	Eventually(func() int { return c.runsStartedBetween("debrecen-a", end, time.Now()) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 0))
}

var _ = Describe("a failure domain out of service", func() {
	AfterEach(func() {
		clusters["domains"].dumpLogs()
		clusters["domains-down"].dumpLogs()
	})

	// Guards against a VM that still sends calls to the failure domain because it
	// was paused while the rule came into force, or because it cannot read the rule
	// from the store. The two cases run concurrently, each on its own cluster.
	It("gets no new work until it is returned, with a VM paused and with the store down", func() {
		runConcurrently(
			func() { clusters["domains"].checkOutOfService(false) },
			func() { clusters["domains-down"].checkOutOfService(true) },
		)
	})
})
