package lease

import (
	"errors"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// leaseWrite is a write of this VM's lease row that may have taken effect.
type leaseWrite struct {
	row    *siblingpb.LeaseRow
	sentAt time.Time
}

// ownLease is the state of this VM's lease row and of the requests for it.
type ownLease struct {
	incarnation        uint64 // 0 if not registered
	counter            uint64 // renewal counter of the last write that took effect
	sentCounter        uint64 // renewal counter of the last write sent; no counter is sent twice
	version            uint64
	renewed            time.Time    // time just before the last renewal that took effect was sent
	witnesses          []uint64     // as in the row after the last write that took effect
	pendingWrites      []leaseWrite // writes that are conditional on version and may have taken effect, oldest first
	inFlight           bool
	seq                uint64 // number of the request in flight; answers to other requests are ignored
	mustRead           bool   // a write was not answered: read the row before the next write
	nextWrite          time.Time
	formerIncarnations []uint64 // earlier incarnations of this process, whose pools it has stopped itself
}

// storeState records whether this VM can reach the store.
type storeState struct {
	down          bool
	oldestPending time.Time // start of the oldest request since the last answer or failure; zero if there is none
}

// storeUnreachable reports whether the store counts as unreachable: the last
// request failed, or a request sent since the last answer has been unanswered
// for more than unreachableAfter. Heartbeats carry the inverse in
// store_reachable.
func (c *core) storeUnreachable(now time.Time) bool {
	return c.store.down || (!c.store.oldestPending.IsZero() && now.Sub(c.store.oldestPending) > unreachableAfter)
}

// witnessSets returns every set of witnesses that the lease row may hold now:
// the last set known to be written and those of pending writes.
func (o *ownLease) witnessSets() [][]uint64 {
	sets := [][]uint64{o.witnesses}
	for _, write := range o.pendingWrites {
		if write.row.State == active {
			sets = append(sets, write.row.Witnesses)
		}
	}
	return sets
}

// currentWitnesses returns the witnesses of a new lease row: own and the
// incarnations of all siblings with an active lease, sorted.
func (c *core) currentWitnesses(own uint64) []uint64 {
	witnesses := []uint64{own}
	for _, r := range c.activeSiblings() {
		witnesses = append(witnesses, r.Incarnation)
	}
	slices.Sort(witnesses)
	return witnesses
}

// tickLease sends the next request for this VM's lease row if it is due: a read
// after an unanswered write, else a registration, renewal or release.
func (c *core) tickLease(now time.Time) {
	o := &c.own
	release := o.incarnation != 0 && c.mayRelease(now)
	// The first attempt to release the lease does not wait for nextWrite; its
	// repetitions do.
	if o.inFlight || c.leaseReleased || (now.Before(o.nextWrite) && (!release || c.releasing)) {
		return
	}
	key := vmKey(c.self.Region, c.self.ID)
	if o.mustRead {
		c.markLeaseRequest(now)
		c.emit(action{kind: actReadLease, key: key, seq: o.seq})
		return
	}
	row := &siblingpb.LeaseRow{
		VmId: string(c.self.ID), FailureDomain: c.self.FailureDomain,
		SiblingAddress: c.self.SiblingAddress, Leaving: c.leaving, Counter: o.sentCounter + 1,
	}
	switch {
	case o.incarnation == 0 && (c.leaving || !c.mayRegister(now)):
		if c.leaving {
			c.reportReleased()
		}
		return
	case o.incarnation == 0:
		row.Incarnation = c.nextIncarnation()
		o.version = c.leases[c.self.ID].version
	case release:
		c.stopRemainingPools()
		row.Incarnation = o.incarnation
		row.State = released
	default:
		row.Incarnation = o.incarnation
	}
	if row.State == active {
		row.Witnesses = c.currentWitnesses(row.Incarnation)
	}
	o.sentCounter = row.Counter
	o.pendingWrites = append(o.pendingWrites, leaseWrite{row: row, sentAt: now})
	c.markLeaseRequest(now)
	c.emit(action{kind: actWriteLease, seq: o.seq, ops: []platform.Op{{Key: key, Value: encode(row), IfVersion: o.version}}})
	// Siblings measure the age of a renewal from the first heartbeat that
	// reports it as sent, so the heartbeat must not wait.
	c.emit(action{kind: actSendHeartbeats})
}

// mayRegister reports whether this VM may write its lease row under a new
// incarnation. A row left behind by another process of this VM is treated like
// the row of another VM: its lease must have ended first.
func (c *core) mayRegister(now time.Time) bool {
	if !c.table.scanned {
		return false
	}
	r, ok := c.leases[c.self.ID]
	return !ok || r.State != active || slices.Contains(c.own.formerIncarnations, r.Incarnation) || c.expired(now, r)
}

// leaseWriteDone handles the result of a write of this VM's lease row.
func (c *core) leaseWriteDone(now time.Time, seq uint64, rows []platform.Row, err error) {
	o := &c.own
	if !o.inFlight || seq != o.seq {
		return
	}
	o.inFlight = false
	last := len(o.pendingWrites) - 1
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.storeAnswered()
		c.recordLeaseWrite(now, o.pendingWrites[last], rows[0].Version)
	case errors.As(err, &conflict):
		c.storeAnswered()
		o.pendingWrites = o.pendingWrites[:last]
		c.resolveLeaseRow(now, conflict.Rows[0])
	case errors.Is(err, platform.ErrUnavailable):
		o.pendingWrites = o.pendingWrites[:last]
		c.storeFailed()
		o.nextWrite = now.Add(c.jitter(RenewInterval))
	default:
		o.mustRead = true
		c.storeFailed()
		o.nextWrite = now.Add(c.jitter(RenewInterval / 4))
	}
	c.reconcile(now)
}

// recordLeaseWrite records that a write took effect. Earlier pending writes
// can no longer take effect, because they are conditional on the previous
// version.
func (c *core) recordLeaseWrite(now time.Time, write leaseWrite, version uint64) {
	o := &c.own
	registered := o.incarnation == 0
	if !registered && elapsedForValidity(o.renewed, now) >= TTL {
		c.graceUntil = now.Add(lateRenewalGrace)
	}
	o.incarnation, o.counter, o.version = write.row.Incarnation, write.row.Counter, version
	o.witnesses, o.renewed = write.row.Witnesses, write.sentAt
	o.pendingWrites, o.mustRead = nil, false
	o.nextWrite = write.sentAt.Add(RenewInterval)
	if o.nextWrite.Before(now) {
		o.nextWrite = now
	}
	c.self.Incarnation = o.incarnation
	c.setLeaseRow(c.self.ID, leaseRow{LeaseRow: write.row, key: vmKey(c.self.Region, c.self.ID), region: c.self.Region, version: version})
	c.vmByIncarnation[o.incarnation] = c.self.ID
	if write.row.State == released {
		c.reportReleased()
		return
	}
	if registered {
		c.firstSeen[o.incarnation] = now
		c.graceUntil = now.Add(takeoverGrace)
		c.table.nextScan = now
		c.logMessage("registered")
		c.emit(action{kind: actSendHeartbeats})
	}
	if c.leaving != write.row.Leaving {
		o.nextWrite = now
	}
}

// leaseReadDone handles the result of reading this VM's lease row after a write
// without an answer. A row with version 0 does not exist.
func (c *core) leaseReadDone(now time.Time, seq uint64, row platform.Row, err error) {
	o := &c.own
	if !o.inFlight || seq != o.seq {
		return
	}
	o.inFlight = false
	if errors.Is(err, platform.ErrNotFound) {
		err, row = nil, platform.Row{}
	}
	if err != nil {
		c.storeFailed()
		o.nextWrite = now.Add(c.jitter(RenewInterval))
		c.reconcile(now)
		return
	}
	c.storeAnswered()
	c.resolveLeaseRow(now, row)
	c.reconcile(now)
}

// resolveLeaseRow compares the lease row as read with the pending writes. It
// records the write that took effect, if any. Otherwise, the lease is lost if
// the row no longer belongs to this incarnation.
func (c *core) resolveLeaseRow(now time.Time, row platform.Row) {
	o := &c.own
	r, err := decodeLease(row)
	if err != nil {
		// A row that cannot be decoded is treated as a revoked row of another
		// incarnation. The error contains the key of the row.
		c.logMessage(err.Error())
		r = leaseRow{LeaseRow: &siblingpb.LeaseRow{State: revoked}, version: row.Version}
	}
	o.mustRead = false
	o.nextWrite = now
	for _, write := range o.pendingWrites {
		if r.Incarnation == write.row.Incarnation && r.Counter == write.row.Counter && r.State == write.row.State {
			c.recordLeaseWrite(now, write, row.Version)
			return
		}
	}
	switch {
	case o.incarnation == 0:
		c.applyLeaseRow(now, c.self.ID, r, row.Version != 0)
	case r.Incarnation == o.incarnation && r.State == active && row.Version != 0:
		o.version = row.Version
	default:
		c.loseLease(now, "the lease row names another incarnation, is no longer active or was deleted")
		c.applyLeaseRow(now, c.self.ID, r, row.Version != 0)
		c.table.nextScan = now
	}
}

// markLeaseRequest records that a request for this VM's lease row is in flight.
func (c *core) markLeaseRequest(now time.Time) {
	c.own.seq++
	c.own.inFlight = true
	c.markStoreRequest(now)
}

// reportReleased marks the lease as released, which completes the lease's part
// of a planned stop. Only the first call has an effect.
func (c *core) reportReleased() {
	if !c.leaseReleased {
		c.leaseReleased = true
		c.emit(action{kind: actReportReleased})
	}
}

// markStoreRequest records the start of a request to the store.
func (c *core) markStoreRequest(now time.Time) {
	if c.store.oldestPending.IsZero() {
		c.store.oldestPending = now
	}
}

func (c *core) storeAnswered() { c.setStoreDown(false) }

func (c *core) storeFailed() { c.setStoreDown(true) }

func (c *core) setStoreDown(down bool) {
	if c.store.down != down {
		c.emit(action{kind: actSendHeartbeats})
	}
	c.store = storeState{down: down}
}
