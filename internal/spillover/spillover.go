// Package spillover decides how many requests of a service leave the failure domain or the
// region in which they arrive, and which part of each region's servers the VMs of another
// region may use.
//
// It answers the load of demand and servers that are uneven: a failure domain whose own
// servers are too few while others have room, demand that swings, and VMs of several regions
// that send to the same servers without knowing of each other's latest requests. Each VM makes
// the plan for itself from counts of all VMs; with counts that differ by their delay, plans
// differ a little, which the servers' queues absorb. Without recent counts of a region there is
// no plan for it, and placement goes on with its fixed penalties.
//
// A request leaves at most once: it goes from the VM where it arrived to a server, never to
// another VM.
package spillover

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what is asked of a service by the requests of one class that arrive in a failure
// domain.
type Demand struct {
	// Regions are the regions that may serve the class, sorted; none stands for all.
	Regions []string
	// Slots is the number of slots of usual speed that the requests of the latest second
	// would keep busy.
	Slots float64
	// Bytes is the number of bytes per second of these requests and their answers, without
	// headers of the network.
	Bytes float64
}

// allows reports whether servers of a region may serve the class.
func (d Demand) allows(region string) bool {
	return len(d.Regions) == 0 || slices.Contains(d.Regions, region)
}

// Domain is the state of one failure domain with regard to a service.
type Domain struct {
	Name   string
	Region string
	// Room is the number of slots of usual speed that its servers offer together: a server that
	// takes twice the usual time counts half.
	Room float64
	// Trouble says why the failure domain neither offers room nor is counted on; empty if it
	// does.
	Trouble Reason
	// Demand is that of the requests that arrive in the failure domain, and Age the age of the
	// counts from which it is known. Known is false without recent counts.
	Demand []Demand
	Age    time.Duration
	Known  bool
}

// Reason says why the share of a pair of failure domains is what it is. Its values appear in
// dumps and metrics.
type Reason string

// Reasons. The first group describes failure domains in trouble.
const (
	Evacuated   Reason = "evacuated"      // operators took it out of service
	Cold        Reason = "cold"           // more than half of its slots are cold
	NoServers   Reason = "no-servers"     // none of its servers is usable
	VMsLost     Reason = "vms-lost"       // it has lost half of its VMs
	Unknown     Reason = "counts-missing" // no recent counts of it
	OwnSuffices Reason = "own-servers-suffice"
	NoOffer     Reason = "no-room-offered" // its own demand leaves nothing free
	Overflow    Reason = "own-servers-full"
	LinkFull    Reason = "link-limit"   // the limit for the link allows no more
	HomeRegions Reason = "home-regions" // the requests may be served there only
	SwitchedOff Reason = "switched-off"
)

// Pair is the decision for the requests that arrive in one failure domain and the servers of
// another one.
type Pair struct {
	From   string
	To     string
	Share  float64 // share of the requests of From that are to go to To
	Slots  float64 // the same in slots of usual speed
	Reason Reason
	Age    time.Duration // age of the oldest counts behind the decision
}

// Plan is the decision for one service. It is immutable.
type Plan struct {
	Pairs   []Pair
	regions map[string]*regionPlan
}

// regionPlan is the part of a Plan about the servers of one region.
type regionPlan struct {
	// contended is true if demand takes up most of the room, so that the slots are divided
	// among the regions.
	contended bool
	// parts are the parts of the slots for the VMs of each region, sorted by region. If
	// contended is set, they cover all slots.
	parts []part
}

// part is the part of the slots from a number in [0, 1] until another one.
type part struct {
	region      string
	from, until float64
	mayLeave    bool // some of it is for requests that could stay in their own region
}

// Known reports whether the plan covers the servers of a region.
func (p *Plan) Known(region string) bool { return p != nil && p.regions[region] != nil }

// Contended reports whether the slots of a region are divided among the regions.
func (p *Plan) Contended(region string) bool { return p.Known(region) && p.regions[region].contended }

// MayLeave reports whether requests that arrive in region from, and may be served there, may
// also go to region to.
func (p *Plan) MayLeave(from, to string) bool {
	if !p.Known(to) {
		return false
	}
	for _, part := range p.regions[to].parts {
		if part.region == from {
			return part.mayLeave
		}
	}
	return false
}

// Slots returns the number of slots of a server in region to that the VMs of region from may
// use together. hash is a number in [0, 1) that belongs to the server; it spreads the rounding,
// so that the slots of all servers add up to the part of the region. All VMs must use the same.
func (p *Plan) Slots(from, to string, slots int, hash float64) int {
	if !p.Known(to) {
		return slots
	}
	for _, part := range p.regions[to].parts {
		if part.region == from {
			n := int(part.until*float64(slots)+hash) - int(part.from*float64(slots)+hash)
			return min(max(n, 0), slots)
		}
	}
	return 0
}

// sortedDomains returns the failure domains in the order of their names, so that all VMs make
// the same plan from the same counts.
func sortedDomains(domains []Domain) []Domain {
	return slices.SortedFunc(slices.Values(domains), func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
}
