package inventory

// TargetCount returns the number of targets of all services in a region.
func (s *Snapshot) TargetCount(region string) int {
	n := 0
	for id, targets := range s.pools {
		if s.RegionOf(id.FailureDomain) == region {
			n += len(targets)
		}
	}
	return n
}

// ProbeBytesPerSecond returns the measuring budget of a region in bytes/s.
func (s *Snapshot) ProbeBytesPerSecond(region string) float64 {
	for _, r := range s.Document.Regions {
		if r.Name == region {
			return r.ProbeBytesPerSecond
		}
	}
	return 0
}

// LinkBytesPerSecond returns the byte budget of the link between two regions
// in bytes/s, or 0 if there is none.
func (s *Snapshot) LinkBytesPerSecond(a, b string) float64 {
	for _, l := range s.Document.Links {
		if l.Regions == [2]string{a, b} || l.Regions == [2]string{b, a} {
			return l.BytesPerSecond
		}
	}
	return 0
}
