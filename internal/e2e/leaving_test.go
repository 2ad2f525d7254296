package e2e_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/platform/wire"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// change switches faults of a target or makes something happen to it.
func (c *cluster) change(name string, ch fakebackend.FaultUpdate) {
	GinkgoHelper()
	Expect(c.targets).To(HaveKey(name))
	err := c.send(http.MethodPost, c.targets[name].Address, "/faults", ch, nil)
	if ch.DownMs == 0 { // a target that goes down does not answer
		Expect(err).NotTo(HaveOccurred())
	}
}

// runs returns how many runs of a target started after a time.
func (c *cluster) runs(name string, after time.Time) int {
	GinkgoHelper()
	n := 0
	for _, r := range c.records(name) {
		for _, run := range r.Runs {
			if run.Started.After(after) {
				n++
			}
		}
	}
	return n
}

// checkCold brings about each cause of a cold start under load.
func (c *cluster) checkCold() {
	GinkgoHelper()
	callers := c.startMixedLoad("cold", 12, time.Second, c.anyVM)
	defer callers.stop()
	more := func(name string) {
		GinkgoHelper()
		since := time.Now()
		// The stand-in is warm after 40 calls.
		Eventually(func() int { return c.runs(name, since) }, waitTimeout, pollInterval).Should(BeNumerically(">", 45), name)
	}
	more("lookups-szeged-a-001")
	down := fakebackend.FaultUpdate{DownMs: 300}
	c.change("lookups-szeged-a-001", down)
	more("lookups-szeged-a-001")

	v := c.vm(c.holders(c.vms[0], "lookups")["debrecen-a"])
	v.signal(syscall.SIGKILL)
	v.awaitExit()
	c.change("lookups-debrecen-a-002", down) // cold while nobody holds its pool
	more("lookups-debrecen-a-002")
	Expect(c.startVM(v)).To(Succeed())

	via := c.vms[1]
	if via == v { // may not listen yet
		via = c.vms[2]
	}
	tool := func(verb string) {
		GinkgoHelper()
		code, out, err := c.tool(via, verb, "szeged-a", "--wait", "15s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), out)
	}
	tool("out")
	c.change("lookups-szeged-a-002", fakebackend.FaultUpdate{TurnCold: true})
	tool("return")
	more("lookups-szeged-a-002")
	seenCold := 0
	for _, r := range c.records("") {
		Expect(r.ColdOverloads).To(BeZero(), r.Name)
		seenCold = max(seenCold, r.ColdHighWater)
	}
	Expect(seenCold).To(BeNumerically(">", 0))
}

// checkLeaving lets one target announce that it leaves and lists another as
// leaving, and kills the holder of the latter after the bound.
func (c *cluster) checkLeaving() {
	GinkgoHelper()
	callers := c.startMixedLoad("leaving", 12, time.Second, c.anyVM)
	defer callers.stop()
	const said, listed = "lookups-debrecen-a-003", "lookups-debrecen-a-001"
	start := time.Now()
	for _, name := range []string{said, listed} {
		Eventually(func() int { return c.runs(name, start) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20), name)
	}
	drain := true
	c.change(said, fakebackend.FaultUpdate{Drain: &drain})
	Expect(c.send(http.MethodPut, c.platform, wire.PathVMs, []platform.VMEntry{
		{Name: listed, Address: c.targets[listed].Address, Leaving: true},
	}, nil)).To(Succeed())
	bound := time.Now().Add(forceBound)
	time.Sleep(time.Until(bound))

	v := c.vm(c.holders(c.vms[0], "lookups")["debrecen-a"])
	v.signal(syscall.SIGKILL)
	v.awaitExit()
	killed := time.Now().Add(time.Second)
	// Work must go on in the pool, or its target would get none anyway.
	Eventually(func() int { return c.runs("lookups-debrecen-a-002", killed) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 45))
	Expect(c.runs(listed, bound)).To(BeZero(), "target on the VM list")
	Expect(c.runs(said, bound)).To(BeZero(), "target that announced to leave")
}

var _ = Describe("targets", func() {
	AfterEach(func() {
		clusters["cold"].dumpLogs()
		clusters["leaving"].dumpLogs()
	})

	// Guards against a holder that sends a cold target more than it bears:
	// after the start, after a restart of the target, after a takeover without
	// handover, and when its failure domain is returned. Guards also against
	// work for a target that announced to leave, and for one that the VM list
	// names, the latter also after its holder was killed. The two cases run at
	// the same time on their own clusters.
	It("get no more work than they can bear while cold, and none after they are known to leave", func() {
		together(clusters["cold"].checkCold, clusters["leaving"].checkLeaving)
	})
})
