package lease

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// plan starts at most one transaction from the view as last read.
func (c *core) plan(now time.Time) {
	if c.table.inFlight || c.done {
		return
	}
	if c.table.hand != nil {
		c.handoverSettled(now)
		return
	}
	if !c.mayWrite(now) {
		return
	}
	if !c.leaving && now.Before(c.graceUntil) && c.planFirst(now) {
		return
	}
	if !c.leaving && !now.Before(c.graceUntil) && (c.planTakeover(now) || c.planCleanup(now)) {
		return
	}
	c.planHandover(now)
}

// mayWrite reports whether the lease is valid, which a change of assignments
// needs.
func (c *core) mayWrite(now time.Time) bool {
	return c.own.incarnation != 0 && elapsedValid(c.own.renewed, now) < TTL-safetyMargin
}

func (c *core) commit(now time.Time, ops []platform.Op) {
	c.table.inFlight = true
	c.markPending(now)
	c.emit(action{kind: actCommit, ops: ops})
}

// regionPools returns the pools of a region by failure domain.
func regionPools(snap *inventory.Snapshot, region string) map[string][]inventory.PoolID {
	out := map[string][]inventory.PoolID{}
	if snap == nil {
		return out
	}
	for i := range snap.Document.Services {
		for _, id := range snap.Pools(snap.Document.Services[i].Name) {
			if snap.RegionOf(id.FailureDomain) == region {
				out[id.FailureDomain] = append(out[id.FailureDomain], id)
			}
		}
	}
	for _, id := range snap.ClaimPartitionsOf(region) {
		out[id.FailureDomain] = append(out[id.FailureDomain], id)
	}
	return out
}

// live returns the VMs of the region whose lease may still run and that are
// not leaving, with an incarnation known for at least age. The VM itself is
// included unless it is leaving.
func (c *core) live(now time.Time, age time.Duration) []vm.Info {
	var out []vm.Info
	for id, r := range c.vms {
		if r.State != active || r.Leaving || c.leavingHB[id] || (id == c.self.ID && c.leaving) {
			continue
		}
		if id != c.self.ID && c.expired(now, r) {
			continue
		}
		if now.Sub(c.firstSeen[r.Incarnation]) >= age {
			out = append(out, r.info())
		}
	}
	return out
}

// preferred returns the holder that hashing names for a pool: a VM of its
// failure domain if there is one, else one of the region.
func preferred(vms []vm.Info, id inventory.PoolID) (vm.Info, bool) {
	var near []vm.Info
	for _, v := range vms {
		if v.FailureDomain == id.FailureDomain {
			near = append(near, v)
		}
	}
	if len(near) > 0 {
		vms = near
	}
	return vm.RendezvousPick(vms, id.String())
}

// takeoverCandidates prefers VMs that are past their grace or soon will be,
// since the others may take nothing over yet.
func (c *core) takeoverCandidates(now time.Time) []vm.Info {
	if vms := c.live(now, candidateAge); len(vms) > 0 {
		return vms
	}
	return c.live(now, 0)
}

// planFirst takes pools that never had a holder. They have no former holder
// that may still serve them, so only a short wait is needed, for the other VMs
// of a fleet that starts to register.
func (c *core) planFirst(now time.Time) bool {
	if now.Sub(c.firstSeen[c.own.incarnation]) < firstAge {
		return false
	}
	vms := c.live(now, 0)
	for _, domain := range sortedKeys(c.pools) {
		row := c.domains[domain]
		changed := map[string]*siblingpb.Assignment{}
		for _, id := range c.pools[domain] {
			if row.pools[id.Service] != nil {
				continue
			}
			if best, ok := preferred(vms, id); ok && best.ID == c.self.ID {
				changed[id.Service] = c.assignment(id, 1)
			}
		}
		if len(changed) > 0 {
			c.commit(now, []platform.Op{{Key: poolsKey(c.self.Region, domain), Value: row.encode(changed), IfVersion: row.version}})
			return true
		}
	}
	return false
}

// hasNewPool reports whether a pool of the region never had a holder, as last
// read.
func (c *core) hasNewPool() bool {
	for domain, ids := range c.pools {
		row := c.domains[domain]
		for _, id := range ids {
			if row.pools[id.Service] == nil {
				return true
			}
		}
	}
	return false
}

// assignment returns the row entry that makes this VM the holder of a pool.
func (c *core) assignment(id inventory.PoolID, epoch uint64) *siblingpb.Assignment {
	return &siblingpb.Assignment{
		Service: id.Service, VmId: string(c.self.ID), Incarnation: c.own.incarnation, Epoch: epoch,
	}
}

// planTakeover takes all pools of one failure domain that hashing names this
// VM for and that have no holder, in one transaction that also revokes the
// leases of their expired holders.
func (c *core) planTakeover(now time.Time) bool {
	vms := c.takeoverCandidates(now)
	for _, domain := range sortedKeys(c.pools) {
		row := c.domains[domain]
		changed := map[string]*siblingpb.Assignment{}
		revoke := map[vm.ID]bool{}
		for _, id := range c.pools[domain] {
			a := row.pools[id.Service]
			free, dead := c.takeable(now, a)
			if best, ok := preferred(vms, id); !free || !ok || best.ID != c.self.ID {
				continue
			}
			next := c.assignment(id, 1)
			if a != nil {
				next.Epoch = a.Epoch + 1
				next.Prior = c.unresolved(a, dead)
			}
			changed[id.Service] = next
			if dead {
				revoke[vm.ID(a.VmId)] = true
			}
		}
		if len(changed) == 0 {
			continue
		}
		ops := []platform.Op{{Key: poolsKey(c.self.Region, domain), Value: row.encode(changed), IfVersion: row.version}}
		for _, id := range sortedIDs(revoke) {
			ops = append(ops, c.revocation(id, incarnationOf(row, id)))
		}
		c.commit(now, ops)
		return true
	}
	return false
}

// incarnationOf returns the incarnation that row names for a VM.
func incarnationOf(row domainRow, id vm.ID) uint64 {
	for _, a := range row.pools {
		if a.VmId == string(id) {
			return a.Incarnation
		}
	}
	return 0
}

// takeable reports whether a pool has no holder. dead means that its holder's
// lease row must be rewritten as revoked in the same transaction.
func (c *core) takeable(now time.Time, a *siblingpb.Assignment) (free, dead bool) {
	if a == nil {
		return true, false
	}
	r, ok := c.vms[vm.ID(a.VmId)]
	switch {
	case !ok:
		// The row was deleted. Writing it as revoked proves that it is absent.
		return true, true
	case r.Incarnation != a.Incarnation, r.State != active:
		return true, false
	case vm.ID(a.VmId) == c.self.ID:
		return false, false
	}
	return c.expired(now, r), true
}

// unresolved returns the former holders of a pool that may still serve it.
func (c *core) unresolved(a *siblingpb.Assignment, dead bool) []uint64 {
	var out []uint64
	if dead || c.isRevoked(a.Incarnation) {
		out = append(out, a.Incarnation)
	}
	for _, inc := range a.Prior {
		if c.isRevoked(inc) && !slices.Contains(out, inc) {
			out = append(out, inc)
		}
	}
	return out
}

// isRevoked reports whether a lease row shows inc as revoked. Once the VM has
// registered again, or the row is deleted, inc holds nothing any more.
func (c *core) isRevoked(inc uint64) bool {
	r, ok := c.revokedRow(inc)
	return ok && r.State == revoked
}

func (c *core) revokedRow(inc uint64) (leaseRow, bool) {
	for _, r := range c.vms {
		if r.Incarnation == inc && r.State == revoked {
			return r, true
		}
	}
	return leaseRow{}, false
}

// revocation rewrites the lease row of an expired holder, so that its renewal
// conflicts.
func (c *core) revocation(id vm.ID, inc uint64) platform.Op {
	key := vmKey(c.self.Region, id)
	r, ok := c.vms[id]
	if !ok {
		return platform.Op{Key: key, Value: encode(&siblingpb.LeaseRow{VmId: string(id), Incarnation: inc, State: revoked})}
	}
	m := proto.CloneOf(r.LeaseRow)
	m.State = revoked
	return platform.Op{Key: key, Value: encode(m), IfVersion: r.version}
}

// planCleanup revokes expired leases that hold no pool, so that they no longer
// count as witnesses, and deletes rows that have served their purpose. One
// chosen VM does it, one row at a time.
func (c *core) planCleanup(now time.Time) bool {
	best, ok := vm.RendezvousPick(c.takeoverCandidates(now), "cleanup")
	if !ok || best.ID != c.self.ID {
		return false
	}
	for _, id := range sortedIDs(c.vms) {
		r := c.vms[id]
		if id == c.self.ID {
			continue
		}
		if r.State == active && c.expired(now, r) && !c.holdsAny(id, r.Incarnation) {
			c.commit(now, []platform.Op{c.revocation(id, r.Incarnation)})
			return true
		}
		if r.State != active && now.Sub(c.seen[id].since) > cleanupAfter && !c.holdsAny(id, r.Incarnation) &&
			(r.State == released || c.lifted(now, r)) {
			c.commit(now, []platform.Op{{Key: r.key, Delete: true, IfVersion: r.version}})
			return true
		}
	}
	return false
}

func (c *core) holdsAny(id vm.ID, inc uint64) bool {
	for _, d := range c.domains {
		for _, a := range d.pools {
			if a.VmId == string(id) && a.Incarnation == inc {
				return true
			}
		}
	}
	return false
}

func sortedIDs[V any](m map[vm.ID]V) []vm.ID {
	ids := make([]vm.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
