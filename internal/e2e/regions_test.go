package e2e_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	platformstandin "goldcresthinge.example/goldcresthinge/internal/platform/standin"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// Marker texts of requests bound to region dunantul, of requests bound to region
// alfold, and of an unbound request, which may cross between regions.
const (
	dunantulMarker = "marker-of-dunantul"
	alfoldMarker   = "marker-of-alfold"
	unboundMarker  = "marker-of-anyone"
)

// markedRequest returns a request with a marker in its path, query, key, tenant,
// body and a header. If homeRegion is not empty, a target in any other region that
// receives the request lists it in OutsideHomeRegions of its record.
func markedRequest(method, path, marker, homeRegion string) request {
	return request{
		method: method, path: path + "/" + marker + "?q=" + marker, key: marker, tenant: marker, body: "body " + marker,
		header: map[string]string{"X-Note": marker, fakebackend.HeaderHomeRegions: homeRegion},
	}
}

// addRegionBoundRoutes adds routes and a tenant that are bound to one home region each,
// and the links between the regions.
func addRegionBoundRoutes(d *inventory.Document) {
	route := func(name, method, service, homeRegion string, nonIdempotent bool) {
		d.Rules.Routes = append(d.Rules.Routes, inventory.Route{
			Name: name, PathPrefix: "/" + name, Methods: []string{method}, Service: service,
			HomeRegions: []string{homeRegion}, NonIdempotent: nonIdempotent,
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

	crossedLink := func(marker string) bool {
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
	sendBoundRequests := func() {
		GinkgoHelper()
		tenantRequest := markedRequest(http.MethodGet, "/certificates", dunantulMarker, "dunantul")
		tenantRequest.tenant = "dunantul-office"
		for _, v := range c.vms {
			for _, q := range []request{markedRequest(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"), tenantRequest} {
				r := c.call(v, q)
				if v != dunantul {
					Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
				}
			}
			// The claim of a bound order is stored only by the VMs of its home region.
			r := c.call(v, markedRequest(http.MethodPost, "/dunantul-order", dunantulMarker, "dunantul"))
			if v != dunantul {
				Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
			}
			r = c.call(v, markedRequest(http.MethodPost, "/alfold-order", alfoldMarker, "alfold"))
			if v != alfold {
				Expect(r.reason).To(Equal(string(outcome.ReasonWrongRegion)), "%v", r)
			}
		}
	}

	// Guards against a bound request that leaves its home regions when it is sent to
	// a VM of another region, when its home region cannot serve it, or when its
	// response is truncated. The next spec checks stored data.
	It("are served, sent and kept in their home regions only", func() {
		r := c.retryWhileNotRun(dunantul, markedRequest(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		Expect(r.ran()).To(BeTrue(), "%v", r)
		r = c.retryWhileNotRun(alfold, markedRequest(http.MethodPost, "/alfold-order", alfoldMarker, "alfold"))
		Expect(r.ran()).To(BeTrue(), "%v", r)
		sendBoundRequests()

		setTruncateShare := func(share float64) {
			for name, t := range c.targets {
				if strings.Contains(name, "gyor-a") || strings.Contains(name, "szeged-a") {
					Expect(c.sendJSON(http.MethodPost, t.Address, "/faults", fakebackend.FaultUpdate{Faults: fakebackend.Faults{Truncate: share}}, nil)).To(Succeed())
				}
			}
		}
		setTruncateShare(1)
		r = c.call(dunantul, markedRequest(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		setTruncateShare(0)
		Expect(r.err).To(HaveOccurred(), "truncated response was accepted as complete: %v", r)

		for _, domain := range []string{"gyor-a", "szeged-a"} {
			code, out, err := c.runCtl(c.vms[2], "out", domain, "--wait", "10s")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero(), out)
		}
		r = c.call(dunantul, markedRequest(http.MethodGet, "/dunantul-lookup", dunantulMarker, "dunantul"))
		Expect(r.kind).To(Equal(outcome.NotRun), "%v", r)
		sendBoundRequests()
		// An unbound request crosses the link now and is found in the record of the
		// link, so a bound request that had crossed would be found there too.
		Eventually(func() bool {
			r = c.call(dunantul, markedRequest(http.MethodGet, "/certificates", unboundMarker, ""))
			return r.ran()
		}, waitTimeout, pollInterval).Should(BeTrue(), func() string { return r.String() })
		Expect(crossedLink(unboundMarker)).To(BeTrue())

		for _, marker := range []string{dunantulMarker, alfoldMarker} {
			Expect(crossedLink(marker)).To(BeFalse(), marker)
		}
		for _, r := range c.targetRecords("") {
			Expect(r.OutsideHomeRegions).To(BeEmpty(), r.Name)
		}
	})

	// Guards against content of bound requests in table rows, objects, metrics, state
	// dumps and logs.
	It("leave no trace in store, metrics, dumps and logs", func() {
		var writes []platformstandin.Write
		Expect(c.get(c.platformAddress, platformstandin.PathWrites, &writes)).To(Succeed())
		Expect(writes).NotTo(BeEmpty())
		for _, w := range writes {
			Expect(w.Object).NotTo(ContainSubstring("marker-of"))
			for _, op := range w.Ops {
				Expect(op.Key+" "+string(op.Value)).NotTo(ContainSubstring("marker-of"), "written by %s", w.Caller)
			}
		}
		for _, v := range c.vms {
			// Metrics are exported with a delay. Each VM has refused at least one
			// request because it is bound to another region.
			Eventually(func() string {
				var text string
				_ = c.get(v.operatorAddress, "/metrics", &text)
				return text
			}, waitTimeout, pollInterval).Should(MatchRegexp(`wrong.region.* [1-9]`), v.id)
			for _, path := range []string{"/metrics", "/v1/state", "/v1/status"} {
				var text string
				Expect(c.get(v.operatorAddress, path, &text)).To(Succeed())
				Expect(text).NotTo(BeEmpty())
				Expect(text).NotTo(ContainSubstring("marker-of"), "%s of %s", path, v.id)
			}
			Expect(v.log.String()).NotTo(BeEmpty())
			Expect(v.log.String()).NotTo(ContainSubstring("marker-of"), "log of %s", v.id)
		}
	})
})
