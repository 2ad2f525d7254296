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

// updateTarget sets the faults of a target and triggers the events in update.
func (c *cluster) updateTarget(name string, update fakebackend.FaultUpdate) {
	GinkgoHelper()
	Expect(c.targets).To(HaveKey(name))
	err := c.sendJSON(http.MethodPost, c.targets[name].Address, "/faults", update, nil)
	if update.DownMs == 0 { // a target that goes down does not respond
		Expect(err).NotTo(HaveOccurred())
	}
}

// runsStartedAfter returns how many runs of a target started after a time.
func (c *cluster) runsStartedAfter(name string, after time.Time) int {
	GinkgoHelper()
	n := 0
	for _, r := range c.targetRecords(name) {
		for _, run := range r.Runs {
			if run.Started.After(after) {
				n++
			}
		}
	}
	return n
}

// checkColdStarts causes each kind of cold start of a target under load: at first
// use, after a restart, during a takeover of its pool and while its failure domain is
// out of service. It checks that no cold target was overloaded.
func (c *cluster) checkColdStarts() {
	GinkgoHelper()
	callers := c.startMixedLoad("cold", 12, time.Second, c.anyVM)
	defer callers.stop()
	awaitRuns := func(name string) {
		GinkgoHelper()
		since := time.Now()
		// The target stand-in is warm after 40 calls.
		Eventually(func() int { return c.runsStartedAfter(name, since) }, waitTimeout, pollInterval).Should(BeNumerically(">", 45), name)
	}
	awaitRuns("lookups-szeged-a-001")
	restart := fakebackend.FaultUpdate{DownMs: 300}
	c.updateTarget("lookups-szeged-a-001", restart)
	awaitRuns("lookups-szeged-a-001")

	v := c.vmByID(c.holders(c.vms[0], "lookups")["debrecen-a"])
	v.signal(syscall.SIGKILL)
	v.awaitExit()
	c.updateTarget("lookups-debrecen-a-002", restart) // turns cold while its pool has no holder
	awaitRuns("lookups-debrecen-a-002")
	Expect(c.startVM(v)).To(Succeed())

	toolVM := c.vms[1]
	if toolVM == v { // has just been started and may not listen yet
		toolVM = c.vms[2]
	}
	changeDomain := func(subcommand string) {
		GinkgoHelper()
		code, out, err := c.runCtl(toolVM, subcommand, "szeged-a", "--wait", "15s")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), out)
	}
	changeDomain("out")
	c.updateTarget("lookups-szeged-a-002", fakebackend.FaultUpdate{TurnCold: true})
	changeDomain("return")
	awaitRuns("lookups-szeged-a-002")
	maxColdCalls := 0
	for _, r := range c.targetRecords("") {
		Expect(r.ColdOverloads).To(BeZero(), r.Name)
		maxColdCalls = max(maxColdCalls, r.ColdHighWater)
	}
	Expect(maxColdCalls).To(BeNumerically(">", 0))
}

// checkLeavingTargets makes one target announce that it is leaving and marks another
// as leaving in the platform's VM list. After maxActivationDelay it kills the holder
// of their pool. It checks that no runs start on either target after that delay.
func (c *cluster) checkLeavingTargets() {
	GinkgoHelper()
	callers := c.startMixedLoad("leaving", 12, time.Second, c.anyVM)
	defer callers.stop()
	const announcing, listed = "lookups-debrecen-a-003", "lookups-debrecen-a-001"
	start := time.Now()
	for _, name := range []string{announcing, listed} {
		Eventually(func() int { return c.runsStartedAfter(name, start) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20), name)
	}
	drain := true
	c.updateTarget(announcing, fakebackend.FaultUpdate{Drain: &drain})
	Expect(c.sendJSON(http.MethodPut, c.platformAddress, wire.PathVMs, []platform.VMEntry{
		{Name: listed, Address: c.targets[listed].Address, Leaving: true},
	}, nil)).To(Succeed())
	activationDeadline := time.Now().Add(maxActivationDelay)
	time.Sleep(time.Until(activationDeadline))

	v := c.vmByID(c.holders(c.vms[0], "lookups")["debrecen-a"])
	v.signal(syscall.SIGKILL)
	v.awaitExit()
	afterKill := time.Now().Add(time.Second)
	// The pool must still get calls. Otherwise the two targets would get none in
	// any case, and the checks below would prove nothing.
	Eventually(func() int { return c.runsStartedAfter("lookups-debrecen-a-002", afterKill) }, waitTimeout, pollInterval).
		Should(BeNumerically(">", 45))
	Expect(c.runsStartedAfter(listed, activationDeadline)).To(BeZero(), "target marked as leaving in the VM list")
	Expect(c.runsStartedAfter(announcing, activationDeadline)).To(BeZero(), "target that announced that it is leaving")
}

var _ = Describe("targets", func() {
	AfterEach(func() {
		clusters["cold-targets"].dumpLogs()
		clusters["leaving-targets"].dumpLogs()
	})

	// Guards against a holder that sends a cold target more calls than it can
	// handle: after the start, after a restart of the target, after a takeover
	// without handover, and when its failure domain is returned. Also guards against
	// calls to a target that has announced that it is leaving, and to a target that
	// the VM list marks as leaving, the latter also after its holder was killed. The
	// two cases run concurrently, each on its own cluster.
	It("get no more work than they can handle while cold, and none after they are known to leave", func() {
		runConcurrently(clusters["cold-targets"].checkColdStarts, clusters["leaving-targets"].checkLeavingTargets)
	})
})
