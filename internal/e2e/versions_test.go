package e2e_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/ctl"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// configVersion returns the configuration version that a VM reports, or 0 if it does
// not respond.
func (c *cluster) configVersion(v *entryVM) uint64 {
	var s struct {
		Version uint64 `json:"version"`
	}
	_ = c.get(v.operatorAddress, "/v1/state", &s)
	return s.Version
}

// withRoutes returns the initial document of the cluster with one more route to
// service lookups for each name.
func (c *cluster) withRoutes(names ...string) inventory.Document {
	d := c.initialDocument
	d.Rules.Routes = slices.Clone(d.Rules.Routes)
	for _, name := range names {
		d.Rules.Routes = append(d.Rules.Routes, inventory.Route{
			Name: name, PathPrefix: "/" + name, Methods: []string{http.MethodGet}, Service: "lookups",
		})
	}
	return d
}

// hasRoute reports whether a VM serves a route added by withRoutes. The spec fails if,
// until waitTimeout, the VM neither serves it nor refuses it for lack of a route.
func (c *cluster) hasRoute(v *entryVM, name string) bool {
	GinkgoHelper()
	var r *result
	Eventually(func() bool {
		r = c.call(v, request{method: http.MethodGet, path: "/" + name})
		return r.ran() || r.reason == string(outcome.ReasonNoRoute)
	}, waitTimeout, pollInterval).Should(BeTrue(), "%v", r)
	return r.ran()
}

// versionMonitor records each decrease of the configuration version that a running VM
// reports. No decrease is allowed.
type versionMonitor struct {
	mu        sync.Mutex
	decreases []string
}

// startVersionMonitor polls the version of VM v every pollInterval until the cleanup
// of the node that calls it.
func (c *cluster) startVersionMonitor(monitor *versionMonitor, v *entryVM) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		highest := uint64(0)
		for {
			// The version is 0 if the VM did not respond.
			if version := c.configVersion(v); version > 0 {
				if version < highest {
					monitor.mu.Lock()
					monitor.decreases = append(monitor.decreases, fmt.Sprintf("%s: %d after %d", v.id, version, highest))
					monitor.mu.Unlock()
				}
				highest = max(highest, version)
			}
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	DeferCleanup(func() {
		close(done)
		wg.Wait()
	})
}

var _ = Describe("accepted versions", Ordered, func() {
	var c *cluster
	monitor := &versionMonitor{}
	BeforeAll(func() {
		c = clusters["versions"]
		for _, v := range c.vms {
			c.startVersionMonitor(monitor, v)
		}
	})
	AfterEach(func() {
		c.dumpLogs()
		monitor.mu.Lock()
		defer monitor.mu.Unlock()
		Expect(monitor.decreases).To(BeEmpty())
	})
	awaitVersion := func(version uint64) {
		GinkgoHelper()
		for _, v := range c.vms {
			Eventually(func() uint64 { return c.configVersion(v) }, waitTimeout, pollInterval).Should(Equal(version), v.id)
		}
	}

	// Guards against success being reported to both of two operators who change the
	// same version, and against a configuration that mixes both changes.
	It("come from one of two operators who race", func() {
		names := []string{"race-a", "race-b"}
		codes, outs := make([]int, 2), make([]string, 2)
		var wg sync.WaitGroup
		for i, name := range names {
			file := c.writeDocument(name, c.withRoutes(name))
			wg.Go(func() {
				codes[i], outs[i], _ = c.runCtl(c.vms[i], "apply", "--base", "1", "--wait", "10s", file)
			})
		}
		wg.Wait()
		Expect(codes).To(ConsistOf(ctl.ExitDone, ctl.ExitConflict), strings.Join(outs, "\n"))
		awaitVersion(2)
		for _, v := range c.vms {
			for i, name := range names {
				Expect(c.hasRoute(v, name)).To(Equal(codes[i] == ctl.ExitDone), "%s at %s", name, v.id)
			}
		}
	})

	// Guards against a VM that continues to apply the rules from before it was paused.
	It("reach a VM that was paused across the change", func() {
		code, out, err := c.runCtl(c.vms[0], "apply", "--base", "2", "--wait", "10s", c.writeDocument("old", c.withRoutes("old")))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(ctl.ExitDone), out)
		paused := c.vms[3]
		Expect(c.hasRoute(paused, "old")).To(BeTrue())
		paused.signal(syscall.SIGSTOP)
		code, out, err = c.runCtl(c.vms[0], "apply", "--base", "3", c.writeDocument("new", c.withRoutes("new")))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(ctl.ExitPending), out)
		time.Sleep(4 * time.Second)
		paused.signal(syscall.SIGCONT)
		resumed := time.Now()
		// The callers run past the bound, so they also see a return to the old version
		// after it.
		callers := startLoad(4, pollInterval, func(int, int) []*result {
			return []*result{c.call(paused, request{method: http.MethodGet, path: "/old"})}
		})
		DeferCleanup(func() { callers.stop() })
		time.Sleep(maxActivationDelay + 2*time.Second)
		afterBound := 0
		for _, r := range callers.stop() {
			if r.sent.After(resumed.Add(maxActivationDelay)) {
				afterBound++
				Expect(r.reason).To(Equal(string(outcome.ReasonNoRoute)), "%v", r)
			}
		}
		Expect(afterBound).To(BeNumerically(">", 0))
		awaitVersion(4)
	})

	// Guards against a new VM that waits for the store, or starts with an old
	// version, although its siblings have the version in force.
	It("are taken from siblings by a new VM while the store is down", func() {
		c.setPlatformFaults(platformstandin.Fault{Down: true})
		DeferCleanup(func() { c.setPlatformFaults() })
		seeds := make([]string, len(c.vms))
		for i, v := range c.vms {
			seeds[i] = v.siblingListenAddress
		}
		Expect(c.addVM(szeged, "--seeds", strings.Join(seeds, ","))).To(Succeed())
		v := c.vms[len(c.vms)-1]
		c.startVersionMonitor(monitor, v)
		var firstVersion uint64
		Eventually(func() uint64 {
			firstVersion = c.configVersion(v)
			return firstVersion
		}, waitTimeout, 5*time.Millisecond).ShouldNot(BeZero())
		Expect(firstVersion).To(Equal(uint64(4)))
		var doc operatorapi.Document
		Expect(c.get(v.operatorAddress, "/v1/config", &doc)).To(Succeed())
		Expect(doc.Document).To(ContainSubstring("path_prefix: /new"))
		Expect(doc.Document).NotTo(ContainSubstring("path_prefix: /old"))
		c.setPlatformFaults()
		Eventually(func() bool { return c.isReady(v) }, waitTimeout, pollInterval).Should(BeTrue())
		awaitVersion(4)
	})
})
