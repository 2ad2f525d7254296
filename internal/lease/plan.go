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

// plan starts at most one table transaction, based on the rows as last read.
func (c *core) plan(now time.Time) {
	if c.table.inFlight || c.leaseReleased {
		return
	}
	if c.table.handover != nil {
		c.resolveHandover(now)
		return
	}
	if !c.mayChangeAssignments(now) {
		return
	}
	if !c.leaving && now.Before(c.graceUntil) && c.planFirstAssignments(now) {
		return
	}
	if !c.leaving && !now.Before(c.graceUntil) && (c.planTakeover(now) || c.planCleanup(now)) {
		return
	}
	c.planHandover(now)
}

// mayChangeAssignments reports whether the lease is valid. Assignment rows may
// be changed only with a valid lease.
func (c *core) mayChangeAssignments(now time.Time) bool {
	return c.own.incarnation != 0 && elapsedForValidity(c.own.renewed, now) < TTL-safetyMargin
}

func (c *core) commitAssignments(now time.Time, ops []platform.Op) {
	c.table.inFlight = true
	c.markStoreRequest(now)
	c.emit(action{kind: actCommitAssignments, ops: ops})
}

// regionPools returns the pools and claim partitions of a region by failure
// domain.
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

// activeVMs returns the VMs of the region that are not leaving, whose lease may
// still be running and whose incarnation was first seen at least minAge ago.
// This VM is included unless it is leaving; its own lease is not checked for
// expiry.
func (c *core) activeVMs(now time.Time, minAge time.Duration) []vm.Info {
	var out []vm.Info
	for id, r := range c.leases {
		if r.State != active || r.Leaving || c.reportedLeaving[id] || (id == c.self.ID && c.leaving) {
			continue
		}
		if id != c.self.ID && c.expired(now, r) {
			continue
		}
		if now.Sub(c.firstSeen[r.Incarnation]) >= minAge {
			out = append(out, r.info())
		}
	}
	return out
}

// preferredHolder returns the VM that rendezvous hashing selects as the holder
// of a pool, from vms in the failure domain of the pool if there are any, else
// from all vms. It returns false if vms is empty.
func preferredHolder(vms []vm.Info, id inventory.PoolID) (vm.Info, bool) {
	var sameDomain []vm.Info
	for _, v := range vms {
		if v.FailureDomain == id.FailureDomain {
			sameDomain = append(sameDomain, v)
		}
	}
	if len(sameDomain) > 0 {
		vms = sameDomain
	}
	return vm.RendezvousPick(vms, id.String())
}

// takeoverCandidates returns the VMs whose takeover grace has ended or will end
// soon. Other VMs may not take over pools yet; they are returned only if there
// are no such VMs.
func (c *core) takeoverCandidates(now time.Time) []vm.Info {
	if vms := c.activeVMs(now, takeoverCandidateAge); len(vms) > 0 {
		return vms
	}
	return c.activeVMs(now, 0)
}

// planFirstAssignments assigns pools that never had a holder to this VM, if
// hashing prefers it. No former holder can still be serving these pools, so a
// short wait is enough, in which the other VMs of a starting region can
// register.
func (c *core) planFirstAssignments(now time.Time) bool {
	if now.Sub(c.firstSeen[c.own.incarnation]) < firstAssignmentDelay {
		return false
	}
	vms := c.activeVMs(now, 0)
	for _, domain := range sortedKeys(c.poolsByDomain) {
		row := c.domains[domain]
		changed := map[string]*siblingpb.Assignment{}
		for _, id := range c.poolsByDomain[domain] {
			if row.pools[id.Service] != nil {
				continue
			}
			if best, ok := preferredHolder(vms, id); ok && best.ID == c.self.ID {
				changed[id.Service] = c.assignment(id, 1)
			}
		}
		if len(changed) > 0 {
			c.commitAssignments(now, []platform.Op{{Key: poolsKey(c.self.Region, domain), Value: row.encode(changed), IfVersion: row.version}})
			return true
		}
	}
	return false
}

// hasNeverAssignedPool reports whether some pool of the region has never had a
// holder, according to the assignment rows as last read.
func (c *core) hasNeverAssignedPool() bool {
	for domain, ids := range c.poolsByDomain {
		row := c.domains[domain]
		for _, id := range ids {
			if row.pools[id.Service] == nil {
				return true
			}
		}
	}
	return false
}

// assignment returns the entry of an assignment row that makes this VM the
// holder of a pool.
func (c *core) assignment(id inventory.PoolID, epoch uint64) *siblingpb.Assignment {
	return &siblingpb.Assignment{
		Service: id.Service, VmId: string(c.self.ID), Incarnation: c.own.incarnation, Epoch: epoch,
	}
}

// planTakeover takes over all pools of one failure domain that have no holder
// and for which hashing prefers this VM. A single transaction assigns the pools
// and revokes the leases of their expired holders.
func (c *core) planTakeover(now time.Time) bool {
	vms := c.takeoverCandidates(now)
	for _, domain := range sortedKeys(c.poolsByDomain) {
		row := c.domains[domain]
		changed := map[string]*siblingpb.Assignment{}
		revoke := map[vm.ID]bool{}
		for _, id := range c.poolsByDomain[domain] {
			a := row.pools[id.Service]
			free, mustRevoke := c.isFree(now, a)
			if best, ok := preferredHolder(vms, id); !free || !ok || best.ID != c.self.ID {
				continue
			}
			next := c.assignment(id, 1)
			if a != nil {
				next.Epoch = a.Epoch + 1
				next.Prior = c.priorHolders(a, mustRevoke)
			}
			changed[id.Service] = next
			if mustRevoke {
				revoke[vm.ID(a.VmId)] = true
			}
		}
		if len(changed) == 0 {
			continue
		}
		ops := []platform.Op{{Key: poolsKey(c.self.Region, domain), Value: row.encode(changed), IfVersion: row.version}}
		for _, id := range sortedIDs(revoke) {
			ops = append(ops, c.revocationOp(id, incarnationOf(row, id)))
		}
		c.commitAssignments(now, ops)
		return true
	}
	return false
}

// incarnationOf returns the incarnation that row contains for a VM, or 0.
func incarnationOf(row domainRow, id vm.ID) uint64 {
	for _, a := range row.pools {
		if a.VmId == string(id) {
			return a.Incarnation
		}
	}
	return 0
}

// isFree reports whether a pool has no holder. mustRevoke means that the
// takeover must also write the lease row of the former holder as revoked in the
// same transaction.
func (c *core) isFree(now time.Time, a *siblingpb.Assignment) (free, mustRevoke bool) {
	if a == nil {
		return true, false
	}
	r, ok := c.leases[vm.ID(a.VmId)]
	switch {
	case !ok:
		// The lease row was deleted. Writing it as revoked on the condition
		// that no row exists proves that it is still absent.
		return true, true
	case r.Incarnation != a.Incarnation, r.State != active:
		return true, false
	case vm.ID(a.VmId) == c.self.ID:
		return false, false
	}
	return c.expired(now, r), true
}

// priorHolders returns the incarnations of former holders of a pool that may
// still be serving it.
func (c *core) priorHolders(a *siblingpb.Assignment, mustRevoke bool) []uint64 {
	var out []uint64
	if mustRevoke || c.isRevoked(a.Incarnation) {
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
// registered again or the row is deleted, inc serves no pools any more and is
// no longer reported as revoked.
func (c *core) isRevoked(inc uint64) bool {
	r, ok := c.revokedRow(inc)
	return ok && r.State == revoked
}

func (c *core) revokedRow(inc uint64) (leaseRow, bool) {
	for _, r := range c.leases {
		if r.Incarnation == inc && r.State == revoked {
			return r, true
		}
	}
	return leaseRow{}, false
}

// revocationOp returns the operation that rewrites the lease row of an expired
// holder as revoked, so that the holder's next renewal conflicts.
func (c *core) revocationOp(id vm.ID, inc uint64) platform.Op {
	key := vmKey(c.self.Region, id)
	r, ok := c.leases[id]
	if !ok {
		return platform.Op{Key: key, Value: encode(&siblingpb.LeaseRow{VmId: string(id), Incarnation: inc, State: revoked})}
	}
	m := proto.CloneOf(r.LeaseRow)
	m.State = revoked
	return platform.Op{Key: key, Value: encode(m), IfVersion: r.version}
}

// planCleanup revokes expired leases without pools, so that they no longer
// count as witnesses, and deletes released and revoked rows that are no longer
// needed. Only the VM selected by hashing does this, one row at a time.
func (c *core) planCleanup(now time.Time) bool {
	best, ok := vm.RendezvousPick(c.takeoverCandidates(now), "cleanup")
	if !ok || best.ID != c.self.ID {
		return false
	}
	for _, id := range sortedIDs(c.leases) {
		r := c.leases[id]
		if id == c.self.ID {
			continue
		}
		if r.State == active && c.expired(now, r) && !c.hasAssignments(id, r.Incarnation) {
			c.commitAssignments(now, []platform.Op{c.revocationOp(id, r.Incarnation)})
			return true
		}
		if r.State != active && now.Sub(c.renewals[id].since) > cleanupDelay && !c.hasAssignments(id, r.Incarnation) &&
			(r.State == released || c.hasStopped(now, r)) {
			c.commitAssignments(now, []platform.Op{{Key: r.key, Delete: true, IfVersion: r.version}})
			return true
		}
	}
	return false
}

func (c *core) hasAssignments(id vm.ID, inc uint64) bool {
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
