package entry

import (
	"hash/fnv"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/spillover"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
)

// leavePenalty replaces placement.Penalties.OtherRegion for requests that the plan lets leave:
// the time to the other region and back.
const leavePenalty = 30 * time.Millisecond

// serverHash returns a number in [0, 1) that belongs to a server and differs little between VMs.
func serverHash(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

// applyPlan adapts a candidate to the plan of its service. ownAllowed tells whether servers of
// this VM's region may serve the request. It reports whether the server may get the request.
func (c *candidates) applyPlan(plan *spillover.Plan, v *fleet.View, region string, ownAllowed bool, out *placement.Candidate) bool {
	own := c.state.self.Region
	if !plan.Known(region) {
		return true
	}
	contended := plan.Contended(region)
	leaves := region != own && ownAllowed
	mayLeave := leaves && plan.MayLeave(own, region)
	switch {
	case !contended && !mayLeave:
		return true
	case leaves && !mayLeave:
		return false
	}
	mine := plan.Slots(own, region, v.Server.Slots, serverHash(v.Server.ID))
	out.Leaving = leaves
	if region == own {
		// Requests of other regions are seen only once they run, so their slots are kept free.
		out.Busy = max(v.Busy, v.InFlightInRegion+v.Server.Slots-mine)
		return true
	}
	out.Busy = v.InFlightInRegion + v.Server.Slots - mine
	return true
}

// ownRegionAllowed reports whether servers of this VM's region may serve a request.
func (c *candidates) ownRegionAllowed(a *waitqueue.AcquireRequest) bool {
	return a.AllowsRegion(c.state.self.Region)
}
