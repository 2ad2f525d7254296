package inventory

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
)

// ClaimPartitions is the number of claim partitions of a region. It never
// changes with the configuration, because a key that moves to another
// partition would lose its record there.
const ClaimPartitions = 16

// claimPrefix begins the service names of claim partitions. Names of entries
// cannot hold the tilde, so no document can define such a service.
const claimPrefix = "~claims-"

// IsClaimPartition reports whether a service name is that of a claim partition.
func IsClaimPartition(service string) bool { return strings.HasPrefix(service, claimPrefix) }

// ClaimRegion returns the region in whose partitions the claims of requests
// with these home regions are kept, or false if they are kept in the store. All
// receivers name the same region, so that duplicates meet.
func (s *Snapshot) ClaimRegion(homeRegions []string) (string, bool) {
	if len(homeRegions) == 0 || slices.Contains(homeRegions, s.storeRegion) {
		return "", false
	}
	return slices.Min(homeRegions), true
}

// ClaimPartitionsOf returns the partitions of a region. It is empty if no
// request can need them there. The caller must not change the slice.
func (s *Snapshot) ClaimPartitionsOf(region string) []PoolID { return s.claimPools[region] }

// ClaimPartition returns the partition of a digest in a region.
func (s *Snapshot) ClaimPartition(region string, digest [32]byte) (PoolID, bool) {
	ids := s.claimPools[region]
	if len(ids) == 0 {
		return PoolID{}, false
	}
	return ids[binary.BigEndian.Uint64(digest[:8])%uint64(len(ids))], true
}

// HasPool reports whether the configuration has a pool or claim partition.
func (s *Snapshot) HasPool(id PoolID) bool {
	if IsClaimPartition(id.Service) {
		return slices.Contains(s.claimPools[s.RegionOf(id.FailureDomain)], id)
	}
	return len(s.pools[id]) > 0
}

// addClaimPartitions spreads the partitions of each region that needs them over
// its failure domains.
func (s *Snapshot) addClaimPartitions() {
	s.claimPools = map[string][]PoolID{}
	for _, route := range s.routes {
		if !route.NonIdempotent {
			continue
		}
		s.addClaimRegion(route, "")
		for tenant := range s.tenants {
			s.addClaimRegion(route, tenant)
		}
	}
}

func (s *Snapshot) addClaimRegion(route *Route, tenant string) {
	regions, _ := s.HomeRegions(route, tenant)
	region, ok := s.ClaimRegion(regions)
	if !ok || len(s.claimPools[region]) > 0 {
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
		s.claimPools[region] = append(s.claimPools[region], PoolID{
			Service: fmt.Sprintf("%s%02d", claimPrefix, i), FailureDomain: domains[i%len(domains)],
		})
	}
}
