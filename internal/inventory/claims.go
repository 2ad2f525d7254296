package inventory

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// ClaimPartitions is the number of claim partitions of a region. It must not
// depend on the configuration: if a change moved a key to another partition, its
// claim record would not be found there.
const ClaimPartitions = 16

// claimServicePrefix is the start of the service names of claim partitions. The
// names in a document cannot contain a tilde, so no document can define a service
// with such a name.
const claimServicePrefix = "~claims-"

// IsClaimPartition reports whether service is the name of a claim partition.
func IsClaimPartition(service string) bool { return strings.HasPrefix(service, claimServicePrefix) }

// ClaimRegion returns the region whose claim partitions keep the claims of
// requests with these home regions, or false if the store keeps them. The result
// is the same on all VMs, so duplicates of a request that arrive at different VMs
// are checked against the same claim record.
func (s *Snapshot) ClaimRegion(homeRegions []string) (string, bool) {
	if len(homeRegions) == 0 || slices.Contains(homeRegions, s.storeRegion) {
		return "", false
	}
	return slices.Min(homeRegions), true
}

// ClaimPartitionsOf returns the claim partitions of a region, which has none if
// the claims of no request are kept there. The caller must not change the slice.
func (s *Snapshot) ClaimPartitionsOf(region string) []PoolID { return s.claimPartitions[region] }

// ClaimPartition returns the claim partition of a region that keeps the claim of
// the key with this digest, or false if the region has no claim partitions.
func (s *Snapshot) ClaimPartition(region string, digest [32]byte) (PoolID, bool) {
	ids := s.claimPartitions[region]
	if len(ids) == 0 {
		return PoolID{}, false
	}
	return ids[binary.BigEndian.Uint64(digest[:8])%uint64(len(ids))], true
}

// HasPool reports whether the configuration has the pool or claim partition id.
func (s *Snapshot) HasPool(id PoolID) bool {
	if IsClaimPartition(id.Service) {
		return slices.Contains(s.claimPartitions[s.RegionOf(id.FailureDomain)], id)
	}
	return len(s.pools[id]) > 0
}

// addClaimPartitions creates the claim partitions of every region that keeps
// claims of some route and tenant, and distributes them over the failure domains
// of the region.
func (s *Snapshot) addClaimPartitions() {
	s.claimPartitions = map[string][]PoolID{}
	for _, route := range s.routes {
		if !route.NonIdempotent {
			continue
		}
		s.addClaimPartitionsFor(route, "")
		for tenant := range s.tenants {
			s.addClaimPartitionsFor(route, tenant)
		}
	}
}

func (s *Snapshot) addClaimPartitionsFor(route *Route, tenant string) {
	regions, _ := s.HomeRegions(route, tenant)
	region, ok := s.ClaimRegion(regions)
	if !ok || len(s.claimPartitions[region]) > 0 {
		return
	}
	var domains []string
	for name, d := range s.domains {
		if d.Region == region {
			domains = append(domains, name)
		}
	}
	if len(domains) == 0 {
		return
	}
	slices.Sort(domains)
	for i := range ClaimPartitions {
		s.claimPartitions[region] = append(s.claimPartitions[region], PoolID{
			Service: fmt.Sprintf("%s%02d", claimServicePrefix, i), FailureDomain: domains[i%len(domains)],
		})
	}
}
