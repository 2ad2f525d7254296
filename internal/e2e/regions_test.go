package e2e_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// Markers of requests that are bound to dunantul or alfold, and of a request
// that may cross.
const (
	dunantulMarker = "marker-of-dunantul"
	alfoldMarker   = "marker-of-alfold"
	freeMarker     = "marker-of-anyone"
)

// marked returns a request with a marker in all its parts.
func marked(method, path, marker, home string) request {
	return request{
		method: method, path: path + "/" + marker + "?q=" + marker, key: marker, tenant: marker, body: "body " + marker,
		header: map[string]string{"X-Note": marker, fakebackend.HeaderHomeRegions: home},
	}
}

// boundRoutes binds routes to regions.
func boundRoutes(d *inventory.Document) {
	route := func(name, method, service, home string, nonIdempotent bool) {
		d.Rules.Routes = append(d.Rules.Routes, inventory.Route{
			Name: name, PathPrefix: "/" + name, Methods: []string{method}, Service: service,
			HomeRegions: []string{home}, NonIdempotent: nonIdempotent,
		})
	}
	route("dunantul-lookup", http.MethodGet, "lookups", "dunantul", false)
	route("dunantul-order", http.MethodPost, "orders", "dunantul", true)
	route("alfold-order", http.MethodPost, "orders", "alfold", true)
	for _, pair := range [][2]string{{"alfold", "dunantul"}, {"alfold", "tisza"}, {"dunantul", "tisza"}} {
		d.Links = append(d.Links, inventory.Link{Regions: pair, BytesPerSecond: 750_000})
	}
	d.Rules.Tenants = append(d.Rules.Tenants, inventory.Tenant{Name: "dunantul-office", HomeRegions: []string{"dunantul"}})
}

var _ = Describe("bound requests", Ordered, func() {
	var c *cluster
	var alfold, dunantul *entryVM
	BeforeAll(func() {
		c = clusters["regions"]
		alfold, dunantul = c.vms[0], c.vms[1]
		c.topology.link.SetRecording(true)
	})
	AfterEach(func() { c.dumpLogs() })

	crossed := func(marker string) bool {
		GinkgoHelper()
		for _, d := range []netem.Direction{netem.AToB, netem.BToA} {
			found, err := c.topology.link.Contains(d, []byte(marker))
			Expect(err).NotTo(HaveOccurred())
			if found {
				return true
			}
		}
		return false
	}
	sendBound := func() {
		GinkgoHelper()
		tenant := marked(http.MethodGet, "/certificates", dunantulMarker, "dunantul")
		tenant.tenant = "dunantul-office"
		for _, v := range c.vms {
			for _, q := range []request{marked(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"), tenant} {
				r := c.call(v, q)
				if v != dunantul {
					Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
				}
			}
			// Its claim is kept by the VMs of its home region only.
			r := c.call(v, marked(http.MethodPost, "/dunantul-order", dunantulMarker, "dunantul"))
			if v != dunantul {
				Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
			}
			r = c.call(v, marked(http.MethodPost, "/alfold-order", alfoldMarker, "alfold"))
			if v != alfold {
				Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
			}
		}
	}

	// Guards against a bound request that leaves its regions when it is sent
	// to the wrong VM, when its home region cannot serve it, or when its
	// answer breaks off; and against traces of it in what is kept elsewhere.
	It("are served, sent and kept in their home regions only", func() {
		r := c.untilRan(dunantul, marked(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		Expect(r.ran()).To(BeTrue(), "%v", r)
		r = c.untilRan(alfold, marked(http.MethodPost, "/alfold-order", alfoldMarker, "alfold"))
		Expect(r.ran()).To(BeTrue(), "%v", r)
		sendBound()

		setTruncate := func(share float64) {
			for name, t := range c.targets {
				if strings.Contains(name, "gyor-a") || strings.Contains(name, "szeged-a") {
					Expect(c.send(http.MethodPost, t.Address, "/faults", fakebackend.FaultUpdate{Faults: fakebackend.Faults{Truncate: share}}, nil)).To(Succeed())
				}
			}
		}
		setTruncate(1)
		r = c.call(dunantul, marked(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		setTruncate(0)
		Expect(r.err).To(HaveOccurred(), "a truncated answer looks whole: %v", r)

		for _, domain := range []string{"gyor-a", "szeged-a"} {
			code, out, err := c.tool(c.vms[2], "out", domain, "--wait", "10s")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero(), out)
		}
		r = c.call(dunantul, marked(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		Expect(r.kind).To(Equal(outcome.NotRun), "%v", r)
		sendBound()
		// An unbound request crosses now, so the record would show a bound one.
		Eventually(func() bool {
			r = c.call(dunantul, marked(http.MethodGet, "/certificates", freeMarker, ""))
			return r.ran()
		}, waitTimeout, pollInterval).Should(BeTrue(), func() string { return r.String() })
		Expect(crossed(freeMarker)).To(BeTrue())

		for _, marker := range []string{dunantulMarker, alfoldMarker} {
			Expect(crossed(marker)).To(BeFalse(), marker)
		}
		for _, r := range c.records("") {
			Expect(r.OutsideHomeRegions).To(BeEmpty(), r.Name)
		}
	})

	// Guards against content of bound requests in rows, objects, metrics, state
	// dumps and logs.
	It("leave no trace in store, metrics, dumps and logs", func() {
		var writes []standin.Write
		Expect(c.get(c.platform, standin.PathWrites, &writes)).To(Succeed())
		Expect(writes).NotTo(BeEmpty())
		for _, w := range writes {
			Expect(w.Object).NotTo(ContainSubstring("marker-of"))
			for _, op := range w.Ops {
				Expect(op.Key+" "+string(op.Value)).NotTo(ContainSubstring("marker-of"), "written by %s", w.Caller)
			}
		}
		for _, v := range c.vms {
			// Metrics are shown with a delay; each VM has refused something.
			Eventually(func() string {
				var text string
				_ = c.get(v.operator, "/metrics", &text)
				return text
			}, waitTimeout, pollInterval).Should(MatchRegexp(`wrong.region.* [1-9]`), v.id)
			for _, path := range []string{"/metrics", "/v1/state", "/v1/status"} {
				var text string
				Expect(c.get(v.operator, path, &text)).To(Succeed())
				Expect(text).NotTo(BeEmpty())
				Expect(text).NotTo(ContainSubstring("marker-of"), "%s of %s", path, v.id)
			}
			Expect(v.log.String()).NotTo(BeEmpty())
			Expect(v.log.String()).NotTo(ContainSubstring("marker-of"), "log of %s", v.id)
		}
	})
})
