package entry

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// probeAssignments records which servers this VM measures, and to which servers
// it may send requests without a recent reading. VMs that see different VMs
// alive may measure the same server, which costs some additional probes. It is
// safe for concurrent use.
type probeAssignments struct {
	started time.Time

	mu                sync.RWMutex
	assigned          map[string]*quota.ProbeAssignment
	maySendUnmeasured map[string]bool
	knownServers      map[string]bool // servers in the latest call of set
	ranks             map[string]int  // rank of this VM, by server ID
}

func newProbeAssignments(now time.Time) *probeAssignments { return &probeAssignments{started: now} }

// senderState returns what quota needs to know about this VM as a sender to a
// server. The caller sets Known and Cold.
func (a *probeAssignments) senderState(server string) quota.SenderState {
	a.mu.RLock()
	defer a.mu.RUnlock()
	s := quota.SenderState{MaySendUnmeasured: a.maySendUnmeasured[server]}
	if assignment, ok := a.assigned[server]; ok {
		snapshot := *assignment // set may update the original later
		s.ProbeAssignment = &snapshot
	}
	return s
}

// rank returns the position of this VM, from 0, in the server's rendezvous
// order of VMs (see setRanks), as of the latest call of setRanks.
func (a *probeAssignments) rank(server string) int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.ranks[server]
}

// setRanks computes the ranks among the live VMs. For a server of this VM's failure
// domain, the rank is among the VMs of that domain; for any other server, it is among all
// VMs of this VM's region, and only estimated if these are more than maxExactRank.
func (a *probeAssignments) setRanks(self fleet.VM, alive []fleet.VM, servers []fleet.Server) {
	regionVMs := lo.Filter(alive, func(v fleet.VM, _ int) bool { return v.Region == self.Region })
	inDomain, inRegion := vmInfos(vmsInDomain(regionVMs, self.FailureDomain)), vmInfos(regionVMs)
	ranks := make(map[string]int, len(servers))
	for _, s := range servers {
		switch {
		case s.FailureDomain == self.FailureDomain:
			ranks[s.ID] = vm.RendezvousRank(vm.ID(self.ID), inDomain, s.ID)
		case len(inRegion) > maxExactRank:
			ranks[s.ID] = vm.EstimatedRendezvousRank(vm.ID(self.ID), len(inRegion), s.ID)
		default:
			ranks[s.ID] = vm.RendezvousRank(vm.ID(self.ID), inRegion, s.ID)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ranks = ranks
}

// maxExactRank is the number of other VMs in a region up to which the rank of this VM for a
// server of another failure domain is computed from the hashes of all. Beyond, it is
// estimated: with 236 VMs and 720 servers the exact ranks take 11 ms.
const maxExactRank = 64

// assignedServer is a server that this VM measures on behalf of a group of VMs.
type assignedServer struct {
	server fleet.Server
	group  quota.Group
}

// settled reports whether the requests that an earlier process of this VM sent no
// longer count towards the limits.
func (a *probeAssignments) settled(now time.Time) bool { return now.Sub(a.started) >= quota.RateWindow }

// setUnmeasured replaces the servers to which this VM may send without a reading by
// those with the given IDs, or by none if an earlier process of this VM may have sent
// requests to them.
func (a *probeAssignments) setUnmeasured(now time.Time, servers []string) {
	unmeasured := make(map[string]bool, len(servers))
	if a.settled(now) {
		for _, id := range servers {
			unmeasured[id] = true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maySendUnmeasured = unmeasured
}

// set replaces the servers that this VM measures by assigned. all are the
// servers that this VM knows.
func (a *probeAssignments) set(now time.Time, assigned []assignedServer, all []fleet.Server) {
	settled := a.settled(now)
	knownServers := make(map[string]bool, len(all))
	for _, s := range all {
		knownServers[s.ID] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[string]*quota.ProbeAssignment, len(assigned))
	for _, m := range assigned {
		if previous, ok := a.assigned[m.server.ID]; ok {
			previous.Update(now, m.group)
			next[m.server.ID] = previous
			continue
		}
		// A server that this VM did not know at the previous call counts as new, so
		// that no other VM has measured it before.
		next[m.server.ID] = quota.NewProbeAssignment(now, m.group, settled && !a.knownServers[m.server.ID])
	}
	a.assigned, a.knownServers = next, knownServers
}

// assignServers returns the servers that self measures. Each server is measured
// by the VM with the highest rendezvous hash among the largest live VMs of the
// server's failure domain, or of its region if no VM of the failure domain is
// alive.
func assignServers(self fleet.VM, registered, alive []fleet.VM, servers []fleet.Server, regionOf func(string) string) []assignedServer {
	byDomain := newVMGroups(self, registered, alive, func(v fleet.VM) string { return v.FailureDomain })
	byRegion := newVMGroups(self, registered, alive, func(v fleet.VM) string { return v.Region })
	var assigned []assignedServer
	for _, s := range servers {
		groups, key := byDomain, s.FailureDomain
		if len(groups.largest[key]) == 0 {
			groups, key = byRegion, regionOf(s.FailureDomain)
		}
		if best, ok := vm.RendezvousPick(groups.largest[key], s.ID); ok && string(best.ID) == self.ID {
			assigned = append(assigned, assignedServer{s, groups.sizes[key]})
		}
	}
	return assigned
}

// vmGroups holds the VMs by failure domain or by region.
type vmGroups struct {
	largest map[string][]vm.Info // largest live VMs of each group
	sizes   map[string]quota.Group
}

// newVMGroups groups self and the VMs in alive, which does not contain self, by keyOf.
func newVMGroups(self fleet.VM, registered, alive []fleet.VM, keyOf func(fleet.VM) string) vmGroups {
	g := vmGroups{largest: map[string][]vm.Info{}, sizes: map[string]quota.Group{}}
	registeredCount := lo.CountValuesBy(registered, keyOf)
	for key, list := range lo.GroupBy(append([]fleet.VM{self}, alive...), keyOf) {
		g.sizes[key] = quota.Group{Alive: len(list), Registered: max(registeredCount[key], len(list))}
		for _, v := range fleet.LargestVMs(list) {
			g.largest[key] = append(g.largest[key], vm.Info{ID: vm.ID(v.ID)})
		}
	}
	return g
}

// isUnmeasuredSender reports whether self is one of the quota.UnmeasuredSenders
// VMs of the server's failure domain that may send to the server without a
// reading. domainVMs are the registered VMs of the failure domain of self.
func isUnmeasuredSender(self fleet.VM, domainVMs []vm.Info, s fleet.Server) bool {
	return s.FailureDomain == self.FailureDomain &&
		vm.RendezvousRank(vm.ID(self.ID), domainVMs, s.ID) < quota.UnmeasuredSenders
}

// serversInDomain returns the servers of list in a failure domain.
func serversInDomain(list []fleet.Server, domain string) []fleet.Server {
	return lo.Filter(list, func(s fleet.Server, _ int) bool { return s.FailureDomain == domain })
}

func vmInfos(vms []fleet.VM) []vm.Info {
	return lo.Map(vms, func(v fleet.VM, _ int) vm.Info { return vm.Info{ID: vm.ID(v.ID)} })
}
