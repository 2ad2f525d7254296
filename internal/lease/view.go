package lease

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// view is what other packages may read without a lock. It is immutable.
type view struct {
	members  []vm.Info // registered VMs of the region, this one included
	siblings []vm.Info // other VMs with a lease row that is not released
	holders  map[inventory.PoolID]vm.Info
	epochs   map[inventory.PoolID]uint64 // of the holders
	held     map[inventory.PoolID]uint64
	counters map[vm.ID]seen
	far      map[vm.ID]bool // VMs of other regions in counters
}

// HolderEpoch returns the epoch of the holder that HolderOf names, or 0.
func (k *Manager) HolderEpoch(id inventory.PoolID) uint64 { return k.view.Load().epochs[id] }

func (c *core) buildView() *view {
	v := &view{
		holders: map[inventory.PoolID]vm.Info{}, epochs: map[inventory.PoolID]uint64{}, held: make(map[inventory.PoolID]uint64, len(c.held)),
		counters: map[vm.ID]seen{}, far: map[vm.ID]bool{},
	}
	for id, r := range c.vms {
		if r.State == revoked && id != c.self.ID {
			// It may still run, and heartbeats tell it that its lease is lost.
			v.siblings = append(v.siblings, r.info())
		}
		if r.State != active {
			continue
		}
		v.members = append(v.members, r.info())
		v.counters[id] = c.seen[id]
		if id != c.self.ID {
			v.siblings = append(v.siblings, r.info())
		}
	}
	for id, r := range c.far {
		v.siblings = append(v.siblings, r.info())
		v.counters[id], v.far[id] = c.seen[id], true
	}
	for domain, d := range c.domains {
		for service, a := range d.pools {
			r, ok := c.vms[vm.ID(a.VmId)]
			if !ok || r.Incarnation != a.Incarnation || r.State != active {
				continue
			}
			if _, isRevoked := c.noted[a.Incarnation]; !isRevoked {
				id := inventory.PoolID{Service: service, FailureDomain: domain}
				v.holders[id], v.epochs[id] = r.info(), a.Epoch
			}
		}
	}
	for id, h := range c.held {
		v.held[id] = h.epoch
	}
	byID := func(a, b vm.Info) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(v.members, byID)
	slices.SortFunc(v.siblings, byID)
	return v
}

// farAlive covers two scans of all regions with their jitter.
const farAlive = 100 * time.Second

// alive reports whether the lease of an incarnation may still run. The own
// lease is alive while the VM is registered. For a VM of another region it is
// known late, since its counter is read only every 30 s.
func (v *view) alive(now time.Time, self vm.ID, id vm.ID, inc uint64) bool {
	s, ok := v.counters[id]
	age := evidenceAge
	if v.far[id] {
		age = farAlive
	}
	return ok && s.incarnation == inc && (id == self || now.Sub(s.since) < age)
}
