package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/placement"
)

const (
	// trialServersFactor multiplies the share of requests on trial. The result is the share of the target's
	// servers that get them, so that these have about the load of ordinary operation.
	trialServersFactor = 1.5
	// minTrialServers is the least number of these servers. A single one may be faulty.
	minTrialServers = 3
)

// selectVersion returns the candidates that a roll-out allows for the next request. versions holds the
// versions of the candidates at the same index.
func selectVersion(p canary.Plan, candidates []placement.Candidate, versions []string) []placement.Candidate {
	var present, target []placement.Candidate
	for i, c := range candidates {
		if versions[i] == p.Target {
			target = append(target, c)
		} else {
			present = append(present, c)
		}
	}
	switch {
	case p.Mode == canary.PresentOnly:
		return present
	case len(present) == 0, p.Mode == canary.TargetOnly && len(target) > 0:
		return target
	case p.Mode == canary.TargetOnly:
		return present
	case p.Trial:
		target = onTrial(target, p.Share)
	}
	if slices.ContainsFunc(target, func(c placement.Candidate) bool { return !c.Blocked && c.Busy < c.Slots }) {
		return target
	}
	return present
}

// onTrial returns the servers of the target that get requests during the trial: the same at all VMs as
// far as these may use the same servers.
func onTrial(target []placement.Candidate, share float64) []placement.Candidate {
	n := max(int(math.Round(trialServersFactor*share*float64(len(target)))), minTrialServers)
	if n >= len(target) {
		return target
	}
	hashes := make(map[string]uint64, len(target))
	for _, c := range target {
		hashes[c.ID] = xxhash.Sum64String(c.ID)
	}
	slices.SortFunc(target, func(a, b placement.Candidate) int { return cmp.Compare(hashes[a.ID], hashes[b.ID]) })
	return target[:n]
}
