package e2e_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// forwards returns how many calls a VM has handed to siblings.
func (c *cluster) forwards(v *entryVM) string {
	var text string
	if c.get(v.operator, "/metrics", &text) != nil {
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

	// Guards against a receiver that serves only its own pools, asks more than
	// one holder, or loses part of the answer on the way back.
	It("passes a call over two VMs to a target and back", func() {
		held := c.holders(c.vms[0], "lookups")
		Expect(held).To(HaveLen(2))
		var receiver *entryVM
		for _, v := range c.vms {
			if v.id != held["szeged-a"] && v.id != held["debrecen-a"] {
				receiver = v
			}
		}
		Expect(receiver).NotTo(BeNil())
		Expect(c.forwards(receiver)).To(Equal("0"))
		r := c.untilRan(receiver, lookup())
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.kind).To(Equal(outcome.Answered))
		Expect(r.head.Length).To(BeNumerically(">", 0))
		Eventually(func() string { return c.forwards(receiver) }, waitTimeout, pollInterval).Should(Equal("1"))
		for _, v := range c.vms {
			if v != receiver {
				Expect(c.forwards(v)).To(Equal("0"), v.id)
			}
		}
	})

	// Guards against a change that is reported in force where it is not.
	It("shows a change in force on every VM", func() {
		d := c.document
		d.Rules.Routes = append(d.Rules.Routes[:2:2], inventory.Route{
			Name: "permits", PathPrefix: "/permits", Methods: []string{"GET"}, Service: "lookups",
		})
		Expect(c.call(c.vms[0], request{method: "GET", path: "/permits"}).reason).To(Equal(string(outcome.ReasonNoRoute)))
		code, out, err := c.tool(c.vms[1], "apply", "--base", "1", "--wait", "10s", c.file("permits", d))
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(0), out)
		for _, v := range c.vms {
			Expect(out).To(MatchRegexp(v.id + `\s.*in-force`))
			Expect(c.call(v, request{method: "GET", path: "/permits"}).ran()).To(BeTrue(), v.id)
		}
	})
})
