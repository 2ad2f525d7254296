package inventory_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// Guards against duplicates of a request that are claimed in different
// partitions, and against partitions in regions that never need them.
var _ = Describe("Claim partitions", func() {
	snapshot := func(routes []inventory.Route, tenants ...inventory.Tenant) *inventory.Snapshot {
		return inventory.NewSnapshot(1, &inventory.Document{
			Regions: []inventory.Region{{Name: "ost", Store: true}, {Name: "west"}, {Name: "nord"}},
			FailureDomains: []inventory.FailureDomain{
				{Name: "w2", Region: "west"}, {Name: "w1", Region: "west"}, {Name: "o", Region: "ost"}, {Name: "n", Region: "nord"},
			},
			Rules: inventory.Rules{Routes: routes, Tenants: tenants},
		})
	}
	DescribeTable("exist in a region that may need them",
		func(route inventory.Route, tenant inventory.Tenant, west, nord int) {
			s := snapshot([]inventory.Route{route}, tenant)
			Expect(s.ClaimPartitionsOf("ost")).To(BeEmpty())
			Expect(s.ClaimPartitionsOf("west")).To(HaveLen(west))
			Expect(s.ClaimPartitionsOf("nord")).To(HaveLen(nord))
		},
		Entry("of a route", inventory.Route{NonIdempotent: true, HomeRegions: []string{"west"}}, inventory.Tenant{}, 16, 0),
		Entry("of an idempotent route", inventory.Route{HomeRegions: []string{"west"}}, inventory.Tenant{}, 0, 0),
		Entry("of a route that the store may hold", inventory.Route{NonIdempotent: true, HomeRegions: []string{"west", "ost"}}, inventory.Tenant{}, 0, 0),
		Entry("of a tenant", inventory.Route{NonIdempotent: true}, inventory.Tenant{Name: "t", HomeRegions: []string{"west"}}, 16, 0),
		Entry("of route and tenant", inventory.Route{NonIdempotent: true, HomeRegions: []string{"west", "ost"}},
			inventory.Tenant{Name: "t", HomeRegions: []string{"west", "nord"}}, 16, 0),
		Entry("of two home regions in one of them", inventory.Route{NonIdempotent: true, HomeRegions: []string{"west", "nord"}}, inventory.Tenant{}, 0, 16),
	)
	// Guards against a configuration whose requests are refused in some home
	// regions without a warning: operators would learn of it only from callers.
	It("cause a warning for home regions that have none", func() {
		doc := snapshot([]inventory.Route{{Name: "r", NonIdempotent: true, HomeRegions: []string{"west", "nord"}}}).Document
		Expect(inventory.Warnings(doc)).To(ContainElement(HaveField("Reason", And(
			ContainSubstring("memory of the VMs of nord"), ContainSubstring("(no-claim-store)")))))
	})
	It("are spread over the failure domains and chosen by the digest alone", func() {
		s := snapshot([]inventory.Route{{NonIdempotent: true, HomeRegions: []string{"west"}}})
		partitions, seen := map[string]int{}, map[inventory.PoolID]bool{}
		for i := range 256 {
			id, ok := s.ClaimPartition("west", [32]byte{7: byte(i)})
			Expect(ok).To(BeTrue())
			Expect(s.HasPool(id)).To(BeTrue())
			if !seen[id] {
				partitions[id.FailureDomain]++
			}
			seen[id] = true
		}
		Expect(partitions).To(Equal(map[string]int{"w1": 8, "w2": 8}))
		_, ok := s.ClaimPartition("ost", [32]byte{})
		Expect(ok).To(BeFalse())
		Expect(s.HasPool(inventory.PoolID{Service: "~claims-00", FailureDomain: "o"})).To(BeFalse())
	})
})
