package lease

import (
	"errors"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/platform"
)

// attempt is a write of the own lease row that may have taken effect.
type attempt struct {
	row  *siblingpb.LeaseRow
	sent time.Time
}

// ownLease is the state of the own lease row.
type ownLease struct {
	incarnation uint64 // 0: not registered
	counter     uint64 // of the last renewal that took effect
	tried       uint64 // of the last renewal sent; never used again
	version     uint64
	renewed     time.Time // before the last renewal that took effect was sent
	witnesses   []uint64  // as in the row
	tries       []attempt // sent with version, oldest first
	inFlight    bool
	seq         uint64 // of the request in flight; answers to others are ignored
	unsettled   bool   // an answer was lost: read the row back first
	next        time.Time
	mine        []uint64 // incarnations that this process dropped itself
}

// storeState is what the VM knows about its own reach to the store.
type storeState struct {
	down    bool
	pending time.Time // start of the oldest request without an answer, or zero
}

// unreachable is the statement that a heartbeat carries.
func (c *core) unreachable(now time.Time) bool {
	return c.store.down || (!c.store.pending.IsZero() && now.Sub(c.store.pending) > unreachableWait)
}

// witnessSets returns every set that the row may hold.
func (o *ownLease) witnessSets() [][]uint64 {
	sets := [][]uint64{o.witnesses}
	for _, t := range o.tries {
		if t.row.State == active {
			sets = append(sets, t.row.Witnesses)
		}
	}
	return sets
}

// currentWitnesses returns the incarnations with an active lease, sorted.
func (c *core) currentWitnesses(own uint64) []uint64 {
	set := []uint64{own}
	for _, r := range c.activeSiblings() {
		set = append(set, r.Incarnation)
	}
	slices.Sort(set)
	return set
}

func (c *core) tickOwn(now time.Time) {
	o := &c.own
	finish := o.incarnation != 0 && c.mayFinish(now)
	if o.inFlight || c.done || (now.Before(o.next) && (!finish || c.releasing)) {
		return
	}
	key := vmKey(c.self.Region, c.self.ID)
	if o.unsettled {
		c.ownSent(now)
		c.emit(action{kind: actReadOwn, key: key, seq: o.seq})
		return
	}
	row := &siblingpb.LeaseRow{
		VmId: string(c.self.ID), FailureDomain: c.self.FailureDomain,
		SiblingAddress: c.self.SiblingAddress, Leaving: c.leaving, Counter: o.tried + 1,
	}
	switch {
	case o.incarnation == 0 && (c.leaving || !c.mayRegister(now)):
		if c.leaving {
			c.finish()
		}
		return
	case o.incarnation == 0:
		row.Incarnation = c.newInc()
		o.version = c.vms[c.self.ID].version
	case finish:
		c.stopPools()
		row.Incarnation = o.incarnation
		row.State = released
	default:
		row.Incarnation = o.incarnation
	}
	if row.State == active {
		row.Witnesses = c.currentWitnesses(row.Incarnation)
	}
	o.tried = row.Counter
	o.tries = append(o.tries, attempt{row: row, sent: now})
	c.ownSent(now)
	c.emit(action{kind: actLease, seq: o.seq, ops: []platform.Op{{Key: key, Value: encode(row), IfVersion: o.version}}})
	// Siblings count the age of a renewal from the heartbeat that names it.
	c.emit(action{kind: actBeat})
}

// mayRegister reports whether the own row can be written under a new
// incarnation. A row that another process of this VM left behind counts like
// that of any other VM: its lease must have ended.
func (c *core) mayRegister(now time.Time) bool {
	if !c.table.scanned {
		return false
	}
	r, ok := c.vms[c.self.ID]
	return !ok || r.State != active || slices.Contains(c.own.mine, r.Incarnation) || c.expired(now, r)
}

// leaseDone takes the answer to a write of the own lease row.
func (c *core) leaseDone(now time.Time, seq uint64, rows []platform.Row, err error) {
	o := &c.own
	if !o.inFlight || seq != o.seq {
		return
	}
	o.inFlight = false
	last := len(o.tries) - 1
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.storeAnswered()
		c.leaseWritten(now, o.tries[last], rows[0].Version)
	case errors.As(err, &conflict):
		c.storeAnswered()
		o.tries = o.tries[:last]
		c.ownSettled(now, conflict.Rows[0])
	case errors.Is(err, platform.ErrUnavailable):
		o.tries = o.tries[:last]
		c.storeFailed()
		o.next = now.Add(c.jitter(RenewEvery))
	default:
		o.unsettled = true
		c.storeFailed()
		o.next = now.Add(c.jitter(RenewEvery / 4))
	}
	c.settle(now)
}

// leaseWritten records a write that took effect. Earlier attempts can't take
// effect any more, since they name the version before it.
func (c *core) leaseWritten(now time.Time, t attempt, version uint64) {
	o := &c.own
	registered := o.incarnation == 0
	if !registered && elapsedValid(o.renewed, now) >= TTL {
		c.graceUntil = now.Add(returnGrace)
	}
	o.incarnation, o.counter, o.version = t.row.Incarnation, t.row.Counter, version
	o.witnesses, o.renewed = t.row.Witnesses, t.sent
	o.tries, o.unsettled = nil, false
	o.next = t.sent.Add(RenewEvery)
	if o.next.Before(now) {
		o.next = now
	}
	c.self.Incarnation = o.incarnation
	c.setRow(c.self.ID, leaseRow{LeaseRow: t.row, key: vmKey(c.self.Region, c.self.ID), region: c.self.Region, version: version})
	c.owners[o.incarnation] = c.self.ID
	if t.row.State == released {
		c.finish()
		return
	}
	if registered {
		c.firstSeen[o.incarnation] = now
		c.graceUntil = now.Add(graceAge)
		c.table.next = now
		c.logf("registered")
		c.emit(action{kind: actBeat})
	}
	if c.leaving != t.row.Leaving {
		o.next = now
	}
}

// ownRead settles lost answers and conflicts from the row as it stands. A row
// with version 0 does not exist.
func (c *core) ownRead(now time.Time, seq uint64, row platform.Row, err error) {
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
		o.next = now.Add(c.jitter(RenewEvery))
		c.settle(now)
		return
	}
	c.storeAnswered()
	c.ownSettled(now, row)
	c.settle(now)
}

func (c *core) ownSettled(now time.Time, row platform.Row) {
	o := &c.own
	r, err := decodeLease(row)
	if err != nil {
		// An unreadable row is as good as another owner's.
		c.logf(err.Error())
		r = leaseRow{LeaseRow: &siblingpb.LeaseRow{State: revoked}, version: row.Version}
	}
	o.unsettled = false
	o.next = now
	for _, t := range o.tries {
		if r.Incarnation == t.row.Incarnation && r.Counter == t.row.Counter && r.State == t.row.State {
			c.leaseWritten(now, t, row.Version)
			return
		}
	}
	switch {
	case o.incarnation == 0:
		c.adoptLease(now, c.self.ID, r, row.Version != 0)
	case r.Incarnation == o.incarnation && r.State == active && row.Version != 0:
		o.version = row.Version
	default:
		c.dropAll(now, "the row names another incarnation or is revoked")
		c.adoptLease(now, c.self.ID, r, row.Version != 0)
		c.table.next = now
	}
}

func (c *core) ownSent(now time.Time) {
	c.own.seq++
	c.own.inFlight = true
	c.markPending(now)
}

// finish ends the part of the lease in a planned stop.
func (c *core) finish() {
	if !c.done {
		c.done = true
		c.emit(action{kind: actReleased})
	}
}

func (c *core) markPending(now time.Time) {
	if c.store.pending.IsZero() {
		c.store.pending = now
	}
}

func (c *core) storeAnswered() { c.setStore(false) }

func (c *core) storeFailed() { c.setStore(true) }

func (c *core) setStore(down bool) {
	if c.store.down != down {
		c.emit(action{kind: actBeat})
	}
	c.store = storeState{down: down}
}
