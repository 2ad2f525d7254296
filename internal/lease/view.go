package lease

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// view is the state that other packages can read without taking a lock. It is
// immutable.
type view struct {
	members     []vm.Info // registered VMs of the region, including this one
	siblings    []vm.Info // other VMs, of the region and of others, with a lease row that is not released
	holders     map[inventory.PoolID]vm.Info
	epochs      map[inventory.PoolID]uint64 // epochs of the assignments in holders
	held        map[inventory.PoolID]uint64
	renewals    map[vm.ID]observedRenewal
	otherRegion map[vm.ID]bool // VMs in renewals that belong to other regions
}

// HolderEpoch returns the epoch of the assignment of the holder that HolderOf
// returns, or 0 if there is none.
func (m *Manager) HolderEpoch(id inventory.PoolID) uint64 { return m.view.Load().epochs[id] }

func (c *core) buildView() *view {
	v := &view{
		holders: map[inventory.PoolID]vm.Info{}, epochs: map[inventory.PoolID]uint64{}, held: make(map[inventory.PoolID]uint64, len(c.held)),
		renewals: map[vm.ID]observedRenewal{}, otherRegion: map[vm.ID]bool{},
	}
	for id, r := range c.leases {
		if r.State == revoked && id != c.self.ID {
			// The revoked VM may still be running and learns from heartbeats
			// that it has lost its lease.
			v.siblings = append(v.siblings, r.info())
		}
		if r.State != active {
			continue
		}
		v.members = append(v.members, r.info())
		v.renewals[id] = c.renewals[id]
		if id != c.self.ID {
			v.siblings = append(v.siblings, r.info())
		}
	}
	for id, r := range c.otherRegionLeases {
		v.siblings = append(v.siblings, r.info())
		v.renewals[id], v.otherRegion[id] = c.renewals[id], true
	}
	for domain, d := range c.domains {
		for service, a := range d.pools {
			r, ok := c.leases[vm.ID(a.VmId)]
			if !ok || r.Incarnation != a.Incarnation || r.State != active {
				continue
			}
			if _, isRevoked := c.revokedSince[a.Incarnation]; !isRevoked {
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

// otherRegionExpiryAge covers two scans of all regions with their jitter.
const otherRegionExpiryAge = 100 * time.Second

// alive reports whether the lease of an incarnation may still be running. The
// lease of this VM counts as alive while it is registered. The end of a lease
// in another region is noticed late, because the counter of such a lease is read
// only every 30 s.
func (v *view) alive(now time.Time, self vm.ID, id vm.ID, inc uint64) bool {
	s, ok := v.renewals[id]
	age := expiryAge
	if v.otherRegion[id] {
		age = otherRegionExpiryAge
	}
	return ok && s.incarnation == inc && (id == self || now.Sub(s.since) < age)
}
