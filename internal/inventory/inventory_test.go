package inventory_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

func TestInventory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inventory")
}

func readExample(name string) []byte {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".yaml"))
	Expect(err).NotTo(HaveOccurred())
	return text
}

// designSizeDocument returns a document of the size that the load balancer is
// designed for: 1,800 targets in 69 services, 4 regions and 11 failure domains.
func designSizeDocument() []byte {
	var b strings.Builder
	b.WriteString("regions:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  - name: region-%d\n    store: %t\n", i, i == 0)
	}
	b.WriteString("failure_domains:\n")
	for i := range 11 {
		fmt.Fprintf(&b, "  - name: domain-%d\n    region: region-%d\n", i, i%4)
	}
	b.WriteString("services:\n")
	target := 0
	for i := range 69 {
		fmt.Fprintf(&b, "  - name: service-%d\n    targets:\n", i)
		for ; target*69 < 1800*(i+1); target++ {
			fmt.Fprintf(&b, "      - name: target-%d\n        address: 10.%d.%d.%d:8080\n        failure_domain: domain-%d\n",
				target, target%11, target/250, target%250+1, target%11)
		}
	}
	b.WriteString("rules:\n  routes:\n")
	for i := range 69 {
		fmt.Fprintf(&b, "    - name: route-%d\n      path_prefix: /service-%d\n      service: service-%d\n", i, i, i)
	}
	return []byte(b.String())
}

var _ = Describe("a document", func() {
	DescribeTable("of an example is valid without warnings and keeps its meaning when encoded",
		func(name string, targets int) {
			doc, warnings, err := inventory.Check(readExample(name))
			Expect(err).NotTo(HaveOccurred())
			Expect(warnings).To(BeEmpty())
			count := 0
			for _, s := range doc.Services {
				count += len(s.Targets)
			}
			Expect(count).To(Equal(targets))
			text, err := inventory.Encode(doc)
			Expect(err).NotTo(HaveOccurred())
			reparsed, err := inventory.Parse(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(inventory.Diff(doc, reparsed)).To(BeEmpty())
			Expect(inventory.Encode(reparsed)).To(Equal(text), "Encode must be deterministic: VMs compare digests of the text")
			formatted, err := inventory.Format(doc)
			Expect(err).NotTo(HaveOccurred())
			reparsed, err = inventory.Parse(formatted)
			Expect(err).NotTo(HaveOccurred())
			Expect(inventory.Encode(reparsed)).To(Equal(text))
		},
		Entry("Authority", "authority", 32),
		Entry("Taktwerk", "taktwerk", 28),
	)

	DescribeTable("with errors is rejected with line, path and reason of each error",
		func(name string) {
			text, err := os.ReadFile(filepath.Join("testdata", "broken", name+".yaml"))
			Expect(err).NotTo(HaveOccurred())
			_, err = inventory.Parse(text)
			var faults *inventory.FaultsError
			Expect(errors.As(err, &faults)).To(BeTrue())
			goldie.New(GinkgoTB()).Assert(GinkgoTB(), name, []byte(err.Error()+"\n"))
		},
		Entry(nil, "missing-and-unknown-fields"),
		Entry(nil, "duplicate-names"),
		Entry(nil, "undefined-references"),
		Entry(nil, "bad-values"),
		Entry(nil, "bad-indentation"),
	)

	DescribeTable("causes a warning",
		func(old, replacement, warning string) {
			text := strings.Replace(string(readExample("authority")), old, replacement, 1)
			_, warnings, err := inventory.Check([]byte(text))
			Expect(err).NotTo(HaveOccurred())
			Expect(warnings).To(ContainElement(HaveField("Reason", ContainSubstring(warning))))
			Expect(warnings[0].Line).To(BeNumerically(">", 0))
		},
		Entry("for claims that are kept in memory only, due to a route", "home_regions: [alfold]", "home_regions: [dunantul]", "exclude alfold, the region of the store: their claims are kept in the memory of the VMs of dunantul"),
		Entry("for claims that are kept in memory only, due to a tenant", "name: showmen", "name: showmen\n      home_regions: [dunantul]", "requests of tenant showmen must run at most once"),
		Entry("for requests served nowhere", "name: showmen", "name: showmen\n      home_regions: [dunantul]", "requests of tenant showmen are served nowhere"),
		Entry("for a region whose failure domains are all out of service", "out_of_service: []", "out_of_service: [gyor-a, pecs-a]", "all 2 failure domains of region dunantul"),
		Entry("for a service without targets", "services:", "services:\n  - name: empty", "service has no targets"),
	)

	DescribeTable("is rejected if the text is not a single YAML document of the right form",
		func(text, reason string) {
			_, err := inventory.Parse([]byte(text))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("empty", "", "document is empty"),
		Entry("two documents", "regions: []\n---\nregions: []\n", "more than one YAML document"),
		Entry("a list", "- a\n", "line 1: a list is not a group of fields"),
		Entry("three regions in a link", "links:\n  - regions: [a, b, c]\n", "line 2: "),
		Entry("too large", strings.Repeat("#", inventory.MaxDocumentBytes+1), "the limit is"),
	)
})

var _ = Describe("Diff", func() {
	It("has a readable line per difference", func() {
		text := strings.NewReplacer("out_of_service: []", "out_of_service: [pecs-a]", "- name: showmen", "- name: clerks",
			"127.0.0.1:7003", "127.0.0.1:7903", "deadline_ms: 2000", "deadline_ms: 1500").Replace(string(readExample("authority")))
		from, err := inventory.Parse(readExample("authority"))
		Expect(err).NotTo(HaveOccurred())
		to, err := inventory.Parse([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		var lines []string
		for _, c := range inventory.Diff(from, to) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{
			"~ services[nyilvantarto].targets[nyilvantarto-03].address: 127.0.0.1:7003 -> 127.0.0.1:7903",
			"~ rules.routes[certificates].deadline_ms: 2000 -> 1500",
			"+ rules.tenants[clerks]",
			"- rules.tenants[showmen]",
			"+ rules.out_of_service[pecs-a]",
		}))
	})
})
