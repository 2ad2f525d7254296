package lease

import (
	"errors"
	"maps"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// tableState is the state of the requests to the table of the platform's store
// for assignment rows and for the lease rows of other VMs. At most one such
// request is in flight, so an answer is never older than the rows already
// known.
type tableState struct {
	scanned            bool // at least one scan of the region has succeeded
	inFlight           bool
	nextScan           time.Time // time of the next scan of the region
	lastScan           time.Time // end of the last scan of the region
	nextAllRegionsScan time.Time
	nextHandover       time.Time
	conflicts          int       // consecutive conflicts since the last scan or successful commit
	handover           *handover // planned handover in progress, or nil
	pendingReads       []string  // failure domains whose assignment row must be read
}

// scanResult is the result of a scan of the region. The assignment rows are
// read before the lease rows, so the lease row of every holder that is named by
// an assignment had been written before it was read.
type scanResult struct {
	assignments, leases []platform.Row
}

// tickTable starts the next request to the table, or a handover, if one is due
// and no request is in flight.
func (c *core) tickTable(now time.Time) {
	t := &c.table
	if t.inFlight || c.leaseReleased || c.sendingHandover() {
		return
	}
	switch {
	case len(t.pendingReads) > 0:
		t.inFlight = true
		c.markStoreRequest(now)
		c.emit(action{kind: actReadAssignments, key: poolsKey(c.self.Region, t.pendingReads[0])})
		t.pendingReads = t.pendingReads[1:]
	case !now.Before(t.nextScan) || (c.rowsMayHaveChanged(now) && now.Sub(t.lastScan) >= earlyScanInterval) || c.expiryScanDue(now):
		t.inFlight = true
		c.markStoreRequest(now)
		c.emit(action{kind: actScanRegion})
	case !now.Before(t.nextAllRegionsScan) && t.scanned:
		t.inFlight = true
		c.markStoreRequest(now)
		c.emit(action{kind: actScanAllRegions})
	case t.handover == nil && len(c.held) > 0 && c.mayChangeAssignments(now):
		c.planHandover(now)
	}
}

// rowsMayHaveChanged reports whether the table should be scanned early: a
// sibling is silent, its digest of the assignment rows differs, or some pool
// has never had a holder while this VM is in its takeover grace, as in a
// starting region.
func (c *core) rowsMayHaveChanged(now time.Time) bool {
	if now.Before(c.graceUntil) && c.hasNeverAssignedPool() {
		return true
	}
	for _, r := range c.activeSiblings() {
		id := vm.ID(r.VmId)
		if now.Sub(c.lastHeartbeatFrom(id)) > siblingSilentAfter {
			return true
		}
		if d, ok := c.siblingDigests[id]; ok && d != c.assignmentsDigest {
			return true
		}
	}
	return false
}

// expiryScanDue reports whether the lease of a sibling has expired since the
// last scan, so that a scan now can lead to a takeover.
func (c *core) expiryScanDue(now time.Time) bool {
	for _, r := range c.activeSiblings() {
		s := c.renewals[vm.ID(r.VmId)]
		if c.expired(now, r) && c.table.lastScan.Sub(s.since) < expiryAge {
			return true
		}
	}
	return false
}

// expired reports whether there is evidence that the lease of r has ended. Only
// the monotonic clock is used, because a jump of the wall clock is not
// evidence.
func (c *core) expired(now time.Time, r leaseRow) bool {
	s, ok := c.renewals[vm.ID(r.VmId)]
	return ok && s.incarnation == r.Incarnation && s.counter == r.Counter && now.Sub(s.since) >= expiryAge
}

// recordRenewal records the counter of a renewal that took effect, read from a
// lease row or a heartbeat. The age of the renewal counts from the first
// heartbeat that reported it as sent.
func (c *core) recordRenewal(now time.Time, id vm.ID, inc, counter uint64) {
	s, ok := c.renewals[id]
	switch {
	case !ok || s.incarnation != inc:
		s = observedRenewal{incarnation: inc, counter: counter, since: now}
	case counter > s.counter:
		s.counter, s.since = counter, now
		for _, t := range s.sent {
			if t.counter >= counter {
				s.since = t.seenAt
				break
			}
		}
		s.sent = slices.DeleteFunc(s.sent, func(t sentRenewal) bool { return t.counter <= counter })
	default:
		return
	}
	c.viewGeneration++
	c.renewals[id] = s
	if _, ok := c.firstSeen[inc]; !ok {
		c.firstSeen[inc] = now
	}
	c.vmByIncarnation[inc] = id
}

// recordSentRenewal records the counter of a renewal that was sent and may not
// have taken effect. Counters only increase, so all renewals up to this counter
// have been sent by now.
func (c *core) recordSentRenewal(now time.Time, id vm.ID, counter uint64) {
	s := c.renewals[id]
	if n := len(s.sent); counter > s.counter && n < maxSentRenewals && (n == 0 || counter > s.sent[n-1].counter) {
		s.sent = append(s.sent, sentRenewal{counter: counter, seenAt: now})
		c.renewals[id] = s
	}
}

// applyLeaseRow records a lease row as read. If exists is false, the row does
// not exist and r is not used.
func (c *core) applyLeaseRow(now time.Time, id vm.ID, r leaseRow, exists bool) {
	if !exists {
		c.deleteLeaseRow(id)
		return
	}
	if old, had := c.leases[id]; had && old.Incarnation != r.Incarnation {
		c.ended[old.Incarnation] = true
	}
	if r.State == released {
		c.ended[r.Incarnation] = true
	}
	c.setLeaseRow(id, r)
	c.recordRenewal(now, id, r.Incarnation, r.Counter)
	if r.State == revoked {
		c.recordRevoked(now, r.Incarnation)
	}
}

// setLeaseRow replaces a lease row as last read. Like all changes of the rows
// or renewals, it increments viewGeneration, so that Manager rebuilds its view.
func (c *core) setLeaseRow(id vm.ID, r leaseRow) {
	c.viewGeneration++
	c.leases[id], c.siblingCache = r, nil
}

func (c *core) deleteLeaseRow(id vm.ID) {
	c.viewGeneration++
	c.siblingCache = nil
	delete(c.leases, id)
}

// regionScanDone handles the result of a scan of the region and plans the next
// transaction.
func (c *core) regionScanDone(now time.Time, res scanResult, err error) {
	t := &c.table
	t.inFlight = false
	if err != nil {
		c.storeFailed()
		t.nextScan = now.Add(c.jitter(earlyScanInterval))
		t.lastScan = now
		c.reconcile(now)
		return
	}
	c.storeAnswered()
	t.scanned, t.lastScan, t.conflicts = true, now, 0
	t.nextScan = now.Add(scanInterval*4/5 + c.jitter(scanInterval/5))
	domains := map[string]domainRow{}
	for _, row := range res.assignments {
		// A row that cannot be decoded is treated as absent, also below. The
		// error contains its key.
		if d, err := decodeDomain(row); err != nil {
			c.logMessage(err.Error())
		} else {
			_, domain := cutSlash(row.Key[len("pools/"):])
			domains[domain] = d
		}
	}
	present := map[vm.ID]bool{}
	for _, row := range res.leases {
		r, err := decodeLease(row)
		if err != nil {
			c.logMessage(err.Error())
			continue
		}
		present[vm.ID(r.VmId)] = true
		if vm.ID(r.VmId) != c.self.ID || c.own.incarnation == 0 {
			c.applyLeaseRow(now, vm.ID(r.VmId), r, true)
		}
	}
	for id := range c.leases {
		if !present[id] && (id != c.self.ID || c.own.incarnation == 0) {
			c.deleteLeaseRow(id)
		}
	}
	c.setDomains(domains)
	c.pruneRecords(now)
	c.plan(now)
	c.reconcile(now)
}

// setDomains replaces the assignment rows as last read and stops pools that are
// no longer assigned to this VM.
func (c *core) setDomains(domains map[string]domainRow) {
	before := c.assignmentsDigest
	c.viewGeneration++
	c.reconciled = false
	c.domains = domains
	c.assignmentsDigest = hashAssignments(domains)
	c.stopUnassignedPools()
	if before != c.assignmentsDigest {
		c.emit(action{kind: actSendHeartbeats})
	}
}

// stopUnassignedPools stops pools whose assignment names another holder and
// pools that the configuration no longer contains.
func (c *core) stopUnassignedPools() {
	for _, id := range c.heldPoolIDs() {
		a := c.domains[id.FailureDomain].pools[id.Service]
		if a != nil && a.Incarnation == c.own.incarnation && c.snap != nil && c.snap.HasPool(id) {
			continue
		}
		c.stopHeldPool(id)
	}
}

func (c *core) stopHeldPool(id inventory.PoolID) {
	c.reconciled = false
	h := c.held[id]
	delete(c.held, id)
	c.emit(action{kind: actStopPool, pool: id, epoch: h.epoch})
}

// assignmentReadDone handles the result of reading one assignment row. A row
// with version 0 does not exist.
func (c *core) assignmentReadDone(now time.Time, row platform.Row, err error) {
	c.table.inFlight = false
	if err != nil {
		c.storeFailed()
		c.table.nextScan = now
	} else {
		c.storeAnswered()
		c.applyRows(now, []platform.Row{row})
	}
	c.reconcile(now)
}

// allRegionsScanDone handles the lease rows of all regions and keeps the active
// ones of other regions.
func (c *core) allRegionsScanDone(now time.Time, rows []platform.Row, err error) {
	c.table.inFlight = false
	if err != nil {
		c.storeFailed()
		c.table.nextAllRegionsScan = now.Add(c.jitter(scanInterval))
		return
	}
	c.storeAnswered()
	c.table.nextAllRegionsScan = now.Add(c.jitter(allRegionsScanInterval))
	c.viewGeneration++
	clear(c.otherRegionLeases)
	for _, row := range rows {
		if r, err := decodeLease(row); err == nil && r.region != c.self.Region && r.State == active {
			c.otherRegionLeases[vm.ID(r.VmId)] = r
			c.recordRenewal(now, vm.ID(r.VmId), r.Incarnation, r.Counter)
		}
	}
	c.reconcile(now)
}

// commitDone handles the result of a transaction for a first assignment, a
// takeover, a cleanup or a handover.
func (c *core) commitDone(now time.Time, rows []platform.Row, err error) {
	c.table.inFlight = false
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.storeAnswered()
		c.table.conflicts = 0
		c.applyRows(now, rows)
		if c.table.handover != nil {
			c.completeHandover(now)
		}
		c.plan(now)
	case errors.As(err, &conflict):
		c.storeAnswered()
		c.applyRows(now, conflict.Rows)
		if c.table.handover != nil {
			c.resolveHandover(now)
		}
		// Another VM changed the same row; the error contains its current
		// state.
		if c.table.conflicts++; c.table.conflicts < maxConflicts {
			c.plan(now)
		} else {
			c.table.nextScan = now.Add(c.jitter(earlyScanInterval / 4))
		}
	case errors.Is(err, platform.ErrUnavailable):
		c.storeFailed()
		c.table.nextScan = now.Add(c.jitter(earlyScanInterval))
		if c.table.handover != nil && !c.table.handover.writeUncertain {
			c.abortHandover(now)
		}
	default:
		c.storeFailed()
		if c.table.handover != nil {
			c.table.handover.writeUncertain = true
		}
		// The next scan shows whether the transaction took effect.
		c.table.nextScan = now.Add(c.jitter(earlyScanInterval / 4))
	}
	c.reconcile(now)
}

// applyRows merges rows from a commit, a conflict or a read into the rows as
// last read. Of the rows that cannot be decoded, a lease row is ignored and an
// assignment row is treated as absent; the next scan logs the error.
func (c *core) applyRows(now time.Time, rows []platform.Row) {
	domains := maps.Clone(c.domains)
	for _, row := range rows {
		if region, id := splitKey(row.Key); len(row.Key) > 3 && row.Key[:3] == vmPrefix {
			if region != c.self.Region || vm.ID(id) == c.self.ID && c.own.incarnation != 0 {
				continue
			}
			r, err := decodeLease(row)
			if err == nil {
				c.applyLeaseRow(now, vm.ID(id), r, row.Version != 0)
			}
			continue
		}
		_, domain := cutSlash(row.Key[len("pools/"):])
		if d, err := decodeDomain(row); err == nil && row.Version != 0 {
			domains[domain] = d
		} else {
			delete(domains, domain)
		}
	}
	c.setDomains(domains)
}

// lastHeartbeatFrom returns the time of the last heartbeat or answer of a VM. A
// VM that has sent none counts from the creation of the core.
func (c *core) lastHeartbeatFrom(id vm.ID) time.Time {
	if t, ok := c.lastHeartbeatAt[id]; ok {
		return t
	}
	return c.started
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
