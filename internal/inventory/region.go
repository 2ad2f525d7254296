package inventory

// TargetCount returns the number of targets in a region, over all services.
func (s *Snapshot) TargetCount(region string) int {
	n := 0
	for id, targets := range s.pools {
		if s.RegionOf(id.FailureDomain) == region {
			n += len(targets)
		}
	}
	return n
}

// ProbeBytesPerSecond returns the bandwidth limit of load probes within a region,
// or 0 if the region is not defined. Unit: bytes/s.
func (s *Snapshot) ProbeBytesPerSecond(region string) float64 {
	for _, r := range s.Document.Regions {
		if r.Name == region {
			return r.ProbeBytesPerSecond
		}
	}
	return 0
}

// LinkBytesPerSecond returns the bandwidth limit of the link between two regions,
// or 0 if no link is defined. The order of a and b makes no difference.
// Unit: bytes/s.
func (s *Snapshot) LinkBytesPerSecond(a, b string) float64 {
	for _, l := range s.Document.Links {
		if l.Regions == [2]string{a, b} || l.Regions == [2]string{b, a} {
			return l.BytesPerSecond
		}
	}
	return 0
}
