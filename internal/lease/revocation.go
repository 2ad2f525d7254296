package lease

import (
	"maps"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// recordRevoked records that an incarnation is revoked. From now on, this VM
// makes no promise to it and gives it no other supporting answer either. See
// the package comment for these terms.
func (c *core) recordRevoked(now time.Time, inc uint64) {
	if _, ok := c.revokedSince[inc]; !ok {
		c.revokedSince[inc] = now
		c.emit(action{kind: actSendHeartbeats})
	}
}

// clearedAt returns the time from which this VM's promises to a revoked
// incarnation no longer hold, so that it clears the incarnation: the end of its
// last promise to it, or the time at which it learned of the revocation if that
// is later. It returns false if this VM has no record of the revocation.
func (c *core) clearedAt(inc uint64) (time.Time, bool) {
	t, ok := c.revokedSince[inc]
	if !ok {
		return t, false
	}
	if p, promised := c.promisesMade[inc]; promised && p.Add(promiseDuration).After(t) {
		t = p.Add(promiseDuration)
	}
	return t, true
}

// recordCleared records that a witness clears a revoked incarnation at t. If
// several times are recorded, the earliest counts.
func (c *core) recordCleared(inc, witness uint64, t time.Time) {
	m := c.clearedSince[inc]
	if m == nil {
		m = map[uint64]time.Time{}
		c.clearedSince[inc] = m
	}
	if old, ok := m[witness]; !ok || t.Before(old) {
		m[witness] = t
	}
}

// countCleared returns the number of witnesses of a revoked holder, the holder
// itself excluded, that cleared it at least minAge ago.
func (c *core) countCleared(now time.Time, r leaseRow, minAge time.Duration) int {
	n := 0
	for _, w := range r.Witnesses {
		if w == r.Incarnation {
			continue
		}
		t, ok := c.clearedSince[r.Incarnation][w]
		if w == c.own.incarnation {
			t, ok = c.clearedAt(r.Incarnation)
		}
		if !ok {
			if !c.ended[w] && !c.isRemoved(now, r, c.vmByIncarnation[w]) {
				continue
			}
			// The witness has stopped, but the holder may still count a promise
			// that the witness made before. This may have been as late as now, so
			// the promise ends at now + promiseDuration at the latest.
			t = now.Add(promiseDuration)
			c.recordCleared(r.Incarnation, w, t)
		}
		if now.Sub(t) >= minAge {
			n++
		}
	}
	return n
}

// isRemoved reports whether the platform removed the VM id: the platform's VM
// list does not contain it, and this VM learned at least vmListDelay ago that
// the lease r is revoked, as is required before its absence from the list
// proves that it has stopped. r is the lease of the VM id or a lease of which
// that VM is a witness.
func (c *core) isRemoved(now time.Time, r leaseRow, id vm.ID) bool {
	return id != "" && now.Sub(c.revokedSince[r.Incarnation]) >= vmListDelay && c.removedFromPlatform(id)
}

// hasLeftFullMode reports whether the holder of a revoked lease can no longer
// be in ModeFull.
func (c *core) hasLeftFullMode(now time.Time, r leaseRow) bool {
	return c.ended[r.Incarnation] || c.isRemoved(now, r, vm.ID(r.VmId)) ||
		c.countCleared(now, r, 0) >= startQuorum(len(r.Witnesses))
}

// hasStopped reports whether the holder of a revoked lease can no longer be
// serving any pool.
func (c *core) hasStopped(now time.Time, r leaseRow) bool {
	return c.ended[r.Incarnation] || c.isRemoved(now, r, vm.ID(r.VmId)) ||
		c.countCleared(now, r, promiseDuration) >= halfCapLiftQuorum(len(r.Witnesses))
}

// checkPriorHolders reports what the former holders of a pool permit: mayStart,
// that this VM starts the pool under the half cap, and mayLift, that it serves
// the pool without the half cap.
func (c *core) checkPriorHolders(now time.Time, a *siblingpb.Assignment) (mayStart, mayLift bool) {
	mayStart, mayLift = true, true
	for _, inc := range a.Prior {
		if r, ok := c.revokedRow(inc); ok {
			mayStart = mayStart && c.hasLeftFullMode(now, r)
			mayLift = mayLift && c.hasStopped(now, r)
		}
	}
	return mayStart, mayLift
}

// startPools starts the pools that are assigned to this VM and not served yet,
// as far as their former holders permit.
func (c *core) startPools(now time.Time) {
	if c.own.incarnation == 0 || c.releasing || c.snap == nil {
		return
	}
	for _, domain := range sortedKeys(c.domains) {
		row := c.domains[domain]
		for _, service := range sortedKeys(row.pools) {
			a := row.pools[service]
			id := inventory.PoolID{Service: service, FailureDomain: domain}
			_, isHeld := c.held[id]
			if a.Incarnation != c.own.incarnation || isHeld || !c.snap.HasPool(id) || c.isHandingOver(id) {
				continue
			}
			c.startPool(now, id, a)
		}
	}
}

// startPool starts a pool that is assigned to this VM by a, if its former
// holders permit. Otherwise it sets reconciled to false, so the next event
// tries again.
func (c *core) startPool(now time.Time, id inventory.PoolID, a *siblingpb.Assignment) {
	h := heldPool{epoch: a.Epoch}
	state := c.receivedHandovers[id]
	if a.Handover {
		if state == nil || state.Epoch != a.Epoch {
			// The former holder stopped sending before it wrote the row, but
			// its calls in flight are not known here.
			state, h.halfCap, h.earliestLift = nil, true, now.Add(promiseDuration)
		}
	} else {
		mayStart, mayLift := c.checkPriorHolders(now, a)
		if !mayStart {
			c.reconciled = false
			return
		}
		state, h.halfCap = nil, !mayLift
	}
	state = c.claimState(id, a, state)
	delete(c.receivedHandovers, id)
	c.held[id] = h
	c.emit(action{kind: actStartPool, pool: id, epoch: h.epoch, state: state, halfCap: h.halfCap})
}

// liftHalfCaps lifts the half cap of pools whose former holders can no longer
// be serving them. If a half cap remains, it sets reconciled to false, so
// the next event tries again.
func (c *core) liftHalfCaps(now time.Time) {
	for _, id := range c.heldPoolIDs() {
		h := c.held[id]
		a := c.domains[id.FailureDomain].pools[id.Service]
		if !h.halfCap || a == nil {
			continue
		}
		if now.Before(h.earliestLift) {
			c.reconciled = false
			continue
		}
		if _, mayLift := c.checkPriorHolders(now, a); mayLift {
			h.halfCap = false
			c.held[id] = h
			c.emit(action{kind: actLiftHalfCap, pool: id})
		} else {
			c.reconciled = false
		}
	}
}

// pruneRecords deletes the times of promises made and received and of
// supporting answers received that are older than recordRetention. It deletes
// the times at which witnesses cleared an incarnation once no lease row shows
// that incarnation as revoked; the time at which this VM learned of the
// revocation is kept for at least recordRetention. What else is known of an
// incarnation is deleted once no lease row contains it and it was first seen
// more than recordRetention ago.
func (c *core) pruneRecords(now time.Time) {
	maps.DeleteFunc(c.revokedSince, func(inc uint64, t time.Time) bool {
		return now.Sub(t) > recordRetention && !c.isRevoked(inc)
	})
	maps.DeleteFunc(c.clearedSince, func(inc uint64, _ map[uint64]time.Time) bool { return !c.isRevoked(inc) })
	isOutdated := func(_ uint64, t time.Time) bool { return now.Sub(t) > recordRetention }
	maps.DeleteFunc(c.promisesMade, isOutdated)
	maps.DeleteFunc(c.promisesReceived, isOutdated)
	maps.DeleteFunc(c.supportReceived, isOutdated)
	referenced := map[uint64]bool{c.own.incarnation: true}
	for _, r := range c.leases {
		referenced[r.Incarnation] = true
		for _, w := range r.Witnesses {
			referenced[w] = true
		}
	}
	for _, r := range c.otherRegionLeases {
		referenced[r.Incarnation] = true
	}
	isUnreferenced := func(inc uint64, t time.Time) bool { return !referenced[inc] && now.Sub(t) > recordRetention }
	// firstSeen is pruned first, because the other two rules read it.
	maps.DeleteFunc(c.firstSeen, isUnreferenced)
	maps.DeleteFunc(c.vmByIncarnation, func(inc uint64, _ vm.ID) bool { return !referenced[inc] && c.firstSeen[inc].IsZero() })
	maps.DeleteFunc(c.ended, func(inc uint64, _ bool) bool { return !referenced[inc] && c.firstSeen[inc].IsZero() })
}

// revokedAndCleared returns the revoked incarnations to be listed in
// heartbeats, and those of them that this VM has cleared.
func (c *core) revokedAndCleared(now time.Time) (revokedIncs, clearedIncs []uint64) {
	revokedIncs = slices.Sorted(maps.Keys(c.revokedSince))
	for _, inc := range revokedIncs {
		if t, _ := c.clearedAt(inc); !now.Before(t) {
			clearedIncs = append(clearedIncs, inc)
		}
	}
	return revokedIncs, clearedIncs
}
