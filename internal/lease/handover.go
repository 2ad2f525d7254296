package lease

import (
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// handover is a planned handover in progress. No VM serves the pool from its
// export until the successor has read the assignment row that names it.
type handover struct {
	pool           inventory.PoolID
	successor      vm.Info
	epoch          uint64 // epoch under which the successor will hold the pool
	state          *siblingpb.Handover
	sending        bool
	writeUncertain bool // a write of the assignment row had no certain result and may still take effect
}

// sendingHandover reports whether the state of a handover is being sent.
func (c *core) sendingHandover() bool { return c.table.handover != nil && c.table.handover.sending }

// isHandingOver reports whether a pool is in a handover in progress.
func (c *core) isHandingOver(id inventory.PoolID) bool {
	return c.table.handover != nil && c.table.handover.pool == id
}

// handoverCandidates returns the VMs that may receive pools in a handover:
// active VMs that have been registered for handoverCandidateAge and are not
// silent. In a planned stop, newer VMs are accepted if no other is available.
func (c *core) handoverCandidates(now time.Time) []vm.Info {
	var out []vm.Info
	for _, minAge := range []time.Duration{handoverCandidateAge, 0} {
		for _, v := range c.activeVMs(now, minAge) {
			if v.ID == c.self.ID || now.Sub(c.lastHeartbeatFrom(v.ID)) <= siblingSilentAfter {
				out = append(out, v)
			}
		}
		if len(out) > 0 || !c.leaving {
			break
		}
	}
	return out
}

// planHandover starts the handover of one held pool for which rendezvous
// hashing prefers another VM. It starts at most one handover per
// handoverInterval (1 s); in a planned stop the next one follows without a
// pause.
func (c *core) planHandover(now time.Time) {
	if now.Before(c.table.nextHandover) {
		return
	}
	c.table.nextHandover = now.Add(handoverInterval)
	vms := c.handoverCandidates(now)
	if !c.leaving {
		includesSelf := false
		for _, v := range vms {
			includesSelf = includesSelf || v.ID == c.self.ID
		}
		if !includesSelf {
			vms = append(vms, c.self)
		}
	}
	for _, id := range c.heldPoolIDs() {
		h := c.held[id]
		best, ok := preferredHolder(vms, id)
		if !ok || best.ID == c.self.ID || (h.halfCap && !c.leaving) {
			continue
		}
		c.table.handover = &handover{pool: id, successor: best, epoch: h.epoch + 1, sending: true}
		delete(c.held, id)
		c.emit(action{kind: actSendHandover, pool: id, successor: best, epoch: h.epoch + 1})
		return
	}
}

// handoverSendDone handles the result of sending the exported state. accepted
// reports whether the successor has taken the state.
func (c *core) handoverSendDone(now time.Time, state *siblingpb.Handover, accepted bool) {
	h := c.table.handover
	if h == nil || !h.sending {
		return
	}
	h.sending, h.state = false, state
	if !accepted {
		c.table.nextHandover = now.Add(handoverRetryDelay)
		if c.leaving {
			c.table.nextHandover = now.Add(handoverInterval / 4)
		}
		c.abortHandover(now)
	} else {
		c.resolveHandover(now)
	}
	c.reconcile(now)
}

// resolveHandover compares the assignment row as last read with the handover in
// progress. It writes the row if the row still names this VM. The pool remains
// stopped until a write has a certain result.
func (c *core) resolveHandover(now time.Time) {
	h := c.table.handover
	if h.sending || c.table.inFlight {
		return
	}
	row := c.domains[h.pool.FailureDomain]
	a := row.pools[h.pool.Service]
	switch {
	case a != nil && a.Incarnation == h.successor.Incarnation && a.Epoch == h.epoch:
		c.completeHandover(now)
	case a != nil && a.Incarnation == c.own.incarnation && a.Epoch == h.epoch-1:
		next := &siblingpb.Assignment{
			Service: h.pool.Service, VmId: string(h.successor.ID), Incarnation: h.successor.Incarnation, Epoch: h.epoch, Handover: true,
		}
		// A pool under the half cap is handed over only in a planned stop. Its
		// former holders may then still be serving it, so the successor must
		// wait for them too.
		next.Prior = c.unresolvedPriorHolders(now, a)
		next.Handover = len(next.Prior) == 0
		c.commitAssignments(now, []platform.Op{{
			Key:       poolsKey(c.self.Region, h.pool.FailureDomain),
			Value:     row.encode(map[string]*siblingpb.Assignment{h.pool.Service: next}),
			IfVersion: row.version,
		}})
	default:
		c.table.handover = nil
		c.emit(action{kind: actStopPool, pool: h.pool, epoch: h.epoch - 1})
	}
}

// unresolvedPriorHolders returns the revoked prior holders in a that may still
// be serving the pool.
func (c *core) unresolvedPriorHolders(now time.Time, a *siblingpb.Assignment) []uint64 {
	var out []uint64
	for _, inc := range a.Prior {
		if r, ok := c.revokedRow(inc); ok && !c.hasStopped(now, r) {
			out = append(out, inc)
		}
	}
	return out
}

// completeHandover ends a handover whose assignment row is written.
func (c *core) completeHandover(now time.Time) {
	h := c.table.handover
	c.table.handover = nil
	if c.leaving {
		c.table.nextHandover = now
		c.table.nextScan = now
	}
	c.emit(action{kind: actStopPool, pool: h.pool, epoch: h.epoch - 1})
	c.emit(action{kind: actNotifySuccessor, pool: h.pool, epoch: h.epoch, successor: h.successor})
}

// abortHandover serves the pool again. It is called only after a result that
// guarantees that the handover did not change the assignment row.
func (c *core) abortHandover(now time.Time) {
	h := c.table.handover
	c.table.handover = nil
	a := c.domains[h.pool.FailureDomain].pools[h.pool.Service]
	if c.own.incarnation == 0 || a == nil || a.Incarnation != c.own.incarnation {
		c.emit(action{kind: actStopPool, pool: h.pool, epoch: h.epoch - 1})
		return
	}
	_, mayLift := c.checkPriorHolders(now, a)
	c.held[h.pool] = heldPool{epoch: h.epoch - 1, halfCap: !mayLift}
	c.reconciled = false
	c.emit(action{kind: actStartPool, pool: h.pool, epoch: h.epoch - 1, state: h.state, halfCap: !mayLift})
}

// receiveHandover handles a handover message of the current holder of a pool
// and reports whether this VM accepts the pool.
func (c *core) receiveHandover(now time.Time, h *siblingpb.Handover) bool {
	if c.own.incarnation == 0 || h.ToIncarnation != c.own.incarnation {
		return false
	}
	id := inventory.PoolID{Service: h.Service, FailureDomain: h.FailureDomain}
	if h.Committed {
		c.table.pendingReads = append(c.table.pendingReads, id.FailureDomain)
		c.tickTable(now)
		return true
	}
	if c.leaving {
		return false
	}
	// The message of an earlier, failed handover may arrive after the message
	// of the next one. Its state is older: it lacks what the former holder did
	// between the two exports.
	if old := c.receivedHandovers[id]; old == nil || old.Epoch != h.Epoch || old.Export <= h.Export {
		c.receivedHandovers[id] = h
	}
	return true
}

// startLeave begins a planned stop: siblings no longer choose this VM as a
// successor, and its pools are handed over. With release set, the lease is
// released as soon as no pool can be handed over any more.
func (c *core) startLeave(now time.Time, release bool) {
	if !c.leaving {
		c.leaving = true
		c.own.nextWrite = now
		c.table.nextScan, c.table.nextHandover = now, now
		c.emit(action{kind: actSendHeartbeats})
	}
	c.releaseRequested = c.releaseRequested || release
	c.tick(now)
}

// mayRelease reports whether the lease can be released now: no pool is held, or
// no VM is available as a successor.
func (c *core) mayRelease(now time.Time) bool {
	if !c.releaseRequested || c.table.handover != nil || c.table.inFlight || !c.table.scanned {
		return false
	}
	// Without a valid lease it is not known which VMs are running, so the pools
	// are kept.
	return len(c.held) == 0 || (c.mayChangeAssignments(now) && len(c.handoverCandidates(now)) == 0)
}

// stopRemainingPools stops all pools that are still held, before the lease is
// released.
func (c *core) stopRemainingPools() {
	c.releasing = true
	c.modeTimes = &modeTimes{}
	for _, id := range c.heldPoolIDs() {
		c.stopHeldPool(id)
	}
}
