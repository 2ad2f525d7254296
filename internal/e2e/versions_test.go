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
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
)

// version returns the configuration version of a VM, or 0.
func (c *cluster) version(v *entryVM) uint64 {
	var s struct {
		Version uint64 `json:"version"`
	}
	_ = c.get(v.operator, "/v1/state", &s)
	return s.Version
}

// withRoutes returns the first document of the cluster with more lookup routes.
func (c *cluster) withRoutes(names ...string) inventory.Document {
	d := c.document
	d.Rules.Routes = slices.Clone(d.Rules.Routes)
	for _, name := range names {
		d.Rules.Routes = append(d.Rules.Routes, inventory.Route{
			Name: name, PathPrefix: "/" + name, Methods: []string{http.MethodGet}, Service: "lookups",
		})
	}
	return d
}

// hasRoute reports whether a VM serves a route of withRoutes. It fails if the
// VM neither serves it nor says that there is no such route.
func (c *cluster) hasRoute(v *entryVM, name string) bool {
	GinkgoHelper()
	var r *result
	Eventually(func() bool {
		r = c.call(v, request{method: http.MethodGet, path: "/" + name})
		return r.ran() || r.reason == string(outcome.ReasonNoRoute)
	}, waitTimeout, pollInterval).Should(BeTrue(), "%v", r)
	return r.ran()
}

// versionLog watches that the version of no process goes down.
type versionLog struct {
	mu      sync.Mutex
	reports []string
}

func (c *cluster) watchVersions(l *versionLog, v *entryVM) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		highest := uint64(0)
		for {
			// A request without an answer reports nothing.
			if now := c.version(v); now > 0 {
				if now < highest {
					l.mu.Lock()
					l.reports = append(l.reports, fmt.Sprintf("%s: %d after %d", v.id, now, highest))
					l.mu.Unlock()
				}
				highest = max(highest, now)
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
	watched := &versionLog{}
	BeforeAll(func() {
		c = clusters["versions"]
		for _, v := range c.vms {
			c.watchVersions(watched, v)
		}
	})
	AfterEach(func() {
		c.dumpLogs()
		watched.mu.Lock()
		defer watched.mu.Unlock()
		Expect(watched.reports).To(BeEmpty())
	})
	inForce := func(version uint64) {
		GinkgoHelper()
		for _, v := range c.vms {
			Eventually(func() uint64 { return c.version(v) }, waitTimeout, pollInterval).Should(Equal(version), v.id)
		}
	}

	// Guards against two operators who both believe that their change is in
	// force, and against a mixture of both.
	It("come from one of two operators who race", func() {
		names := []string{"race-a", "race-b"}
		codes, outs := make([]int, 2), make([]string, 2)
		var wg sync.WaitGroup
		for i, name := range names {
			file := c.file(name, c.withRoutes(name))
			wg.Go(func() {
				codes[i], outs[i], _ = c.tool(c.vms[i], "apply", "--base", "1", "--wait", "10s", file)
			})
		}
		wg.Wait()
		Expect(codes).To(ConsistOf(ctl.ExitDone, ctl.ExitConflict), strings.Join(outs, "\n"))
		inForce(2)
		for _, v := range c.vms {
			for i, name := range names {
				Expect(c.hasRoute(v, name)).To(Equal(codes[i] == ctl.ExitDone), "%s at %s", name, v.id)
			}
		}
	})

	// Guards against a VM that goes on by the rules from before it was paused.
	It("reach a VM that was paused across the change", func() {
		code, out, err := c.tool(c.vms[0], "apply", "--base", "2", "--wait", "10s", c.file("old", c.withRoutes("old")))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(ctl.ExitDone), out)
		paused := c.vms[3]
		Expect(c.hasRoute(paused, "old")).To(BeTrue())
		paused.signal(syscall.SIGSTOP)
		code, out, err = c.tool(c.vms[0], "apply", "--base", "3", c.file("new", c.withRoutes("new")))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(ctl.ExitPending), out)
		time.Sleep(4 * time.Second)
		paused.signal(syscall.SIGCONT)
		resumed := time.Now()
		// A version that came back later would be seen in the calls after the bound.
		callers := startLoad(4, pollInterval, func(int, int) []*result {
			return []*result{c.call(paused, request{method: http.MethodGet, path: "/old"})}
		})
		DeferCleanup(func() { callers.stop() })
		time.Sleep(forceBound + 2*time.Second)
		late := 0
		for _, r := range callers.stop() {
			if r.sent.After(resumed.Add(forceBound)) {
				late++
				Expect(r.reason).To(Equal(string(outcome.ReasonNoRoute)), "%v", r)
			}
		}
		Expect(late).To(BeNumerically(">", 0))
		inForce(4)
	})

	// Guards against a VM that waits for the store, or starts with an old
	// version, although its siblings know the one in force.
	It("are taken from siblings by a new VM while the store is down", func() {
		c.store(standin.Fault{Down: true})
		DeferCleanup(func() { c.store() })
		seeds := make([]string, len(c.vms))
		for i, v := range c.vms {
			seeds[i] = v.sibling
		}
		Expect(c.addVM(szeged, "--seeds", strings.Join(seeds, ","))).To(Succeed())
		v := c.vms[len(c.vms)-1]
		c.watchVersions(watched, v)
		var first uint64
		Eventually(func() uint64 {
			first = c.version(v)
			return first
		}, waitTimeout, 5*time.Millisecond).ShouldNot(BeZero())
		Expect(first).To(Equal(uint64(4)))
		var doc operatorapi.Document
		Expect(c.get(v.operator, "/v1/config", &doc)).To(Succeed())
		Expect(doc.Document).To(ContainSubstring("path_prefix: /new"))
		Expect(doc.Document).NotTo(ContainSubstring("path_prefix: /old"))
		c.store()
		Eventually(func() bool { return c.ready(v) }, waitTimeout, pollInterval).Should(BeTrue())
		inForce(4)
	})
})
