package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// duties knows which servers this VM measures, and to which it may send without a
// reading. Siblings that see other VMs alive may measure the same servers, which
// costs some probes.
type duties struct {
	started time.Time

	mu      sync.RWMutex
	mine    map[string]*quota.ProbeAssignment
	unknown map[string]bool
	known   map[string]bool // servers of the last look
	ranks   map[string]int  // of this VM, by server
	ranked  []string        // VMs for which ranks hold
}

func newDuties(now time.Time) *duties { return &duties{started: now} }

// standing returns what this VM is to a server.
func (d *duties) standing(server string) quota.SenderState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s := quota.SenderState{MaySendUnmeasured: d.unknown[server]}
	if duty, ok := d.mine[server]; ok {
		own := *duty // Update changes the original
		s.ProbeAssignment = &own
	}
	return s
}

// rank returns the position of this VM in a server's own order of the VMs near it.
func (d *duties) rank(server string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.ranks[server]
}

// setRanks computes the ranks again if servers or the live VMs have changed.
func (d *duties) setRanks(self fleet.VM, alive []fleet.VM, servers []fleet.Server) {
	near := lo.Filter(alive, func(v fleet.VM, _ int) bool { return v.Region == self.Region })
	ids := lo.Map(near, func(v fleet.VM, _ int) string { return v.ID })
	d.mu.RLock()
	same := slices.Equal(ids, d.ranked) && len(servers) == len(d.ranks) &&
		!slices.ContainsFunc(servers, func(s fleet.Server) bool { _, ok := d.ranks[s.ID]; return !ok })
	d.mu.RUnlock()
	if same {
		return
	}
	ranks := make(map[string]int, len(servers))
	for _, s := range servers {
		others := lo.FilterMap(near, func(v fleet.VM, _ int) (vm.Info, bool) {
			return vm.Info{ID: vm.ID(v.ID)}, v.FailureDomain == s.FailureDomain || self.FailureDomain != s.FailureDomain
		})
		ranks[s.ID] = vm.RendezvousRank(vm.ID(self.ID), others, s.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranks, d.ranked = ranks, ids
}

// duty is a server that this VM measures for a group of VMs.
type duty struct {
	server fleet.Server
	group  quota.Group
}

// set replaces the duties. all are the servers that this VM knows, and
// unknownSender tells for which of them this VM may send without a reading.
func (d *duties) set(now time.Time, mine []duty, all []fleet.Server, unknownSender func(server fleet.Server) bool) {
	// What an earlier process of this VM sent counts no more.
	settled := now.Sub(d.started) >= quota.SettleTime
	known := make(map[string]bool, len(all))
	unknown := map[string]bool{}
	for _, s := range all {
		known[s.ID] = true
		if settled && unknownSender(s) {
			unknown[s.ID] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*quota.ProbeAssignment, len(mine))
	for _, m := range mine {
		if before, ok := d.mine[m.server.ID]; ok {
			before.Update(now, m.group)
			next[m.server.ID] = before
			continue
		}
		// A server that has just come had no other measurer.
		next[m.server.ID] = quota.NewProbeAssignment(now, m.group, settled && !d.known[m.server.ID])
	}
	d.mine, d.unknown, d.known = next, unknown, known
}

// assign returns the servers that self measures: for each server the VM with
// the highest rendezvous hash among the live VMs of its failure domain, or of
// its region where the failure domain has none.
func assign(self fleet.VM, registered, alive []fleet.VM, servers []fleet.Server, regionOf func(string) string) []duty {
	byDomain := newGroups(self, registered, alive, func(v fleet.VM) string { return v.FailureDomain })
	byRegion := newGroups(self, registered, alive, func(v fleet.VM) string { return v.Region })
	var mine []duty
	for _, s := range servers {
		groups, key := byDomain, s.FailureDomain
		if len(groups.strongest[key]) == 0 {
			groups, key = byRegion, regionOf(s.FailureDomain)
		}
		if best, ok := vm.RendezvousPick(groups.strongest[key], s.ID); ok && string(best.ID) == self.ID {
			mine = append(mine, duty{s, groups.sizes[key]})
		}
	}
	return mine
}

// groups are the VMs of each failure domain or region.
type groups struct {
	strongest map[string][]vm.Info // of the live ones
	sizes     map[string]quota.Group
}

func newGroups(self fleet.VM, registered, alive []fleet.VM, by func(fleet.VM) string) groups {
	g := groups{strongest: map[string][]vm.Info{}, sizes: map[string]quota.Group{}}
	count := lo.CountValuesBy(registered, by)
	for key, list := range lo.GroupBy(append([]fleet.VM{self}, alive...), by) {
		g.sizes[key] = quota.Group{Alive: len(list), Registered: max(count[key], len(list))}
		for _, v := range fleet.LargestVMs(list) {
			g.strongest[key] = append(g.strongest[key], vm.Info{ID: vm.ID(v.ID)})
		}
	}
	return g
}

// isUnknownSender reports whether self is one of the VMs of the server's failure
// domain that may send to it without a reading.
func isUnknownSender(self fleet.VM, registered []fleet.VM, s fleet.Server) bool {
	if s.FailureDomain != self.FailureDomain {
		return false
	}
	infos := lo.Map(vmsOf(registered, s.FailureDomain), func(v fleet.VM, _ int) vm.Info { return vm.Info{ID: vm.ID(v.ID)} })
	for range quota.UnmeasuredSenders {
		best, ok := vm.RendezvousPick(infos, s.ID)
		if !ok {
			return false
		}
		if string(best.ID) == self.ID {
			return true
		}
		infos = lo.Without(infos, best)
	}
	return false
}
