package e2e_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// forceBound is the time after which a change must be in force everywhere, by
// the design page.
const forceBound = 7 * time.Second

// startMixedLoad starts callers that send lookups and orders through the VMs
// that choose returns.
func (c *cluster) startMixedLoad(name string, n int, timeout time.Duration, choose func(turn int) *entryVM) *load {
	return startLoad(n, 20*time.Millisecond, func(caller, round int) []*result {
		v := choose(caller + round)
		if v == nil {
			return nil
		}
		q := lookup()
		if round%2 == 0 {
			q = order(fmt.Sprintf("%s-%d-%d", name, caller, round))
		}
		q.timeout = timeout
		return []*result{c.call(v, q)}
	})
}

// anyVM takes the VMs of the cluster in turn.
func (c *cluster) anyVM(turn int) *entryVM { return c.vms[turn%len(c.vms)] }

// startedIn counts the runs of a failure domain that started in a time span.
func (c *cluster) startedIn(domain string, from, to time.Time) int {
	GinkgoHelper()
	n := 0
	for _, r := range c.records("") {
		for _, run := range r.Runs {
			if r.FailureDomain == domain && run.Started.After(from) && run.Started.Before(to) {
				n++
			}
		}
	}
	return n
}

// takeOut takes debrecen-a out under load while a holder in it is paused, and
// checks the runs there until it is returned.
func (c *cluster) takeOut(storeDown bool) {
	GinkgoHelper()
	callers := c.startMixedLoad("out", 6, time.Second, c.anyVM)
	defer callers.stop()
	begin := time.Now()
	// Load must run in the failure domain, or its end would show nothing.
	Eventually(func() int { return c.startedIn("debrecen-a", begin, time.Now()) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 20))

	paused := c.vm(c.holders(c.vms[0], "lookups")["debrecen-a"])
	via := c.vms[0]
	if via == paused {
		via = c.vms[1]
	}
	paused.signal(syscall.SIGSTOP)
	code, out, err := c.tool(via, "out", "debrecen-a")
	accepted := time.Now()
	if storeDown {
		c.store(standin.Fault{Down: true})
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(code).To(BeElementOf(0, 5), out)
	time.Sleep(4 * time.Second)
	paused.signal(syscall.SIGCONT)
	time.Sleep(time.Until(accepted.Add(forceBound + 3*time.Second)))

	c.store()
	end := time.Now()
	Expect(c.startedIn("debrecen-a", accepted.Add(forceBound), end)).To(BeZero())
	Expect(c.startedIn("szeged-a", accepted.Add(forceBound), end)).To(BeNumerically(">", 20))

	Eventually(func() int {
		code, out, err = c.tool(via, "return", "debrecen-a", "--wait", "10s")
		return code
	}, waitTimeout, pollInterval).Should(Equal(0), func() string { return fmt.Sprint(err, out) })
	Eventually(func() int { return c.startedIn("debrecen-a", end, time.Now()) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 0))
}

var _ = Describe("a failure domain out of service", func() {
	AfterEach(func() {
		clusters["domains"].dumpLogs()
		clusters["domains-down"].dumpLogs()
	})

	// Guards against a VM that sends on to the failure domain since it was
	// paused while the rule came into force, or since it cannot read the rule
	// from the store. The two cases run at the same time on their own clusters.
	It("gets no new work until it is returned, with a VM paused and with the store down", func() {
		together(
			func() { clusters["domains"].takeOut(false) },
			func() { clusters["domains-down"].takeOut(true) },
		)
	})
})
