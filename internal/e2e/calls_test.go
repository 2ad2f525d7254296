package e2e_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// forwardCount returns how many calls a VM has forwarded to siblings, as printed
// in its metrics. It returns "0" if the metric is absent, and an empty string if
// the VM does not respond.
func (c *cluster) forwardCount(v *entryVM) string {
	var text string
	if c.get(v.operatorAddress, "/metrics", &text) != nil {
		return ""
	}
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "goldcresthinge_call_forwards") {
			return line[strings.LastIndex(line, " ")+1 : len(line)-1]
		}
	}
	return "0"
}

var _ = Describe("calls and changes", Ordered, func() {
	var c *cluster
	BeforeAll(func() { c = clusters["calls"] })
	AfterEach(func() { c.dumpLogs() })

	// Guards against a VM that receives a call and serves only from pools that it
	// holds itself, that forwards the call to more than one holder, or that returns
	// only part of the response.
	It("passes a call over two VMs to a target and back", func() {
		holderIDs := c.holders(c.vms[0], "lookups")
		Expect(holderIDs).To(HaveLen(2))
		var receiver *entryVM
		for _, v := range c.vms {
			if v.id != holderIDs["szeged-a"] && v.id != holderIDs["debrecen-a"] {
				receiver = v
			}
		}
		Expect(receiver).NotTo(BeNil())
		Expect(c.forwardCount(receiver)).To(Equal("0"))
		r := c.retryWhileNotRun(receiver, lookupRequest())
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.kind).To(Equal(outcome.Answered))
		Expect(r.metadata.Length).To(BeNumerically(">", 0))
		Eventually(func() string { return c.forwardCount(receiver) }, waitTimeout, pollInterval).Should(Equal("1"))
		for _, v := range c.vms {
			if v != receiver {
				Expect(c.forwardCount(v)).To(Equal("0"), v.id)
			}
		}
	})

	// Guards against a configuration change that is reported as in force on a VM
	// that does not apply it yet.
	It("shows a change in force on every VM", func() {
		d := c.initialDocument
		d.Rules.Routes = append(d.Rules.Routes[:2:2], inventory.Route{
			Name: "permits", PathPrefix: "/permits", Methods: []string{"GET"}, Service: "lookups",
		})
		Expect(c.call(c.vms[0], request{method: "GET", path: "/permits"}).reason).To(Equal(string(outcome.ReasonNoRoute)))
		code, out, err := c.runCtl(c.vms[1], "apply", "--base", "1", "--wait", "10s", c.writeDocument("permits", d))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(0), out)
		for _, v := range c.vms {
			Expect(out).To(MatchRegexp(v.id + `\s.*in-force`))
			Expect(c.call(v, request{method: "GET", path: "/permits"}).ran()).To(BeTrue(), v.id)
		}
	})
})
