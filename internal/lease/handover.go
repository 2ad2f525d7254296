package lease

import (
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// handover is a running planned handover. The pool is served by nobody from
// its export until the successor reads the row.
type handover struct {
	pool      inventory.PoolID
	to        vm.Info
	epoch     uint64 // of the successor
	state     *siblingpb.Handover
	sending   bool
	uncertain bool // a write of the row may still take effect
}

func (c *core) handoverBusy() bool { return c.table.hand != nil && c.table.hand.sending }

func (c *core) exporting(id inventory.PoolID) bool {
	return c.table.hand != nil && c.table.hand.pool == id
}

// successors returns the VMs that pools may move to.
func (c *core) successors(now time.Time) []vm.Info {
	var out []vm.Info
	for _, age := range []time.Duration{matureAge, 0} {
		for _, v := range c.live(now, age) {
			if v.ID == c.self.ID || now.Sub(c.lastHeard(v.ID)) <= silentAfter {
				out = append(out, v)
			}
		}
		if len(out) > 0 || !c.leaving {
			break
		}
	}
	return out
}

// planHandover hands over one pool that hashing names another VM for, at most
// one per second, or without a pause in a planned stop.
func (c *core) planHandover(now time.Time) {
	if now.Before(c.table.nextHand) {
		return
	}
	c.table.nextHand = now.Add(handoverEvery)
	vms := c.successors(now)
	if !c.leaving {
		self := false
		for _, v := range vms {
			self = self || v.ID == c.self.ID
		}
		if !self {
			vms = append(vms, c.self)
		}
	}
	for _, id := range c.heldIDs() {
		h := c.held[id]
		best, ok := preferred(vms, id)
		if !ok || best.ID == c.self.ID || (h.halfCap && !c.leaving) {
			continue
		}
		c.table.hand = &handover{pool: id, to: best, epoch: h.epoch + 1, sending: true}
		delete(c.held, id)
		c.emit(action{kind: actSend, pool: id, to: best, epoch: h.epoch + 1})
		return
	}
}

// handoverSent takes the exported state and whether the successor has it.
func (c *core) handoverSent(now time.Time, state *siblingpb.Handover, ok bool) {
	h := c.table.hand
	if h == nil || !h.sending {
		return
	}
	h.sending, h.state = false, state
	if !ok {
		c.table.nextHand = now.Add(handoverRetry)
		if c.leaving {
			c.table.nextHand = now.Add(handoverEvery / 4)
		}
		c.handoverAborted(now)
	} else {
		c.handoverSettled(now)
	}
	c.settle(now)
}

// handoverSettled compares the row as last read with the handover, and writes
// the row if it still names this VM. Until one write has a certain result the
// pool stays stopped.
func (c *core) handoverSettled(now time.Time) {
	h := c.table.hand
	if h.sending || c.table.inFlight {
		return
	}
	row := c.domains[h.pool.FailureDomain]
	a := row.pools[h.pool.Service]
	switch {
	case a != nil && a.Incarnation == h.to.Incarnation && a.Epoch == h.epoch:
		c.handoverWritten(now)
	case a != nil && a.Incarnation == c.own.incarnation && a.Epoch == h.epoch-1:
		next := &siblingpb.Assignment{
			Service: h.pool.Service, VmId: string(h.to.ID), Incarnation: h.to.Incarnation, Epoch: h.epoch, Handover: true,
		}
		// A pool under the half cap moves only in a planned stop; its former
		// holders then still count for the successor.
		next.Prior = c.unresolvedPrior(now, a)
		next.Handover = len(next.Prior) == 0
		c.commit(now, []platform.Op{{
			Key:       poolsKey(c.self.Region, h.pool.FailureDomain),
			Value:     row.encode(map[string]*siblingpb.Assignment{h.pool.Service: next}),
			IfVersion: row.version,
		}})
	default:
		c.table.hand = nil
		c.emit(action{kind: actDrop, pool: h.pool, epoch: h.epoch - 1})
	}
}

func (c *core) unresolvedPrior(now time.Time, a *siblingpb.Assignment) []uint64 {
	var out []uint64
	for _, inc := range a.Prior {
		if r, ok := c.revokedRow(inc); ok && !c.lifted(now, r) {
			out = append(out, inc)
		}
	}
	return out
}

func (c *core) handoverWritten(now time.Time) {
	h := c.table.hand
	c.table.hand = nil
	if c.leaving {
		c.table.nextHand = now
		c.table.next = now
	}
	c.emit(action{kind: actDrop, pool: h.pool, epoch: h.epoch - 1})
	c.emit(action{kind: actNotice, pool: h.pool, epoch: h.epoch, to: h.to})
}

// handoverAborted serves the pool again, after a result that certainly left
// the row as it was.
func (c *core) handoverAborted(now time.Time) {
	h := c.table.hand
	c.table.hand = nil
	a := c.domains[h.pool.FailureDomain].pools[h.pool.Service]
	if c.own.incarnation == 0 || a == nil || a.Incarnation != c.own.incarnation {
		c.emit(action{kind: actDrop, pool: h.pool, epoch: h.epoch - 1})
		return
	}
	_, lift := c.priorState(now, a)
	c.held[h.pool] = holding{epoch: h.epoch - 1, halfCap: !lift}
	c.settled = false
	c.emit(action{kind: actTake, pool: h.pool, epoch: h.epoch - 1, state: h.state, halfCap: !lift})
}

// handoverIn takes a message of a predecessor and reports whether this VM
// accepts the pool.
func (c *core) handoverIn(now time.Time, h *siblingpb.Handover) bool {
	if c.own.incarnation == 0 || h.ToIncarnation != c.own.incarnation {
		return false
	}
	id := inventory.PoolID{Service: h.Service, FailureDomain: h.FailureDomain}
	if h.Committed {
		c.table.reads = append(c.table.reads, id.FailureDomain)
		c.tickTable(now)
		return true
	}
	if c.leaving {
		return false
	}
	// A message of an earlier, failed handover may arrive after that of the
	// next one, and its state is older than what the former holder did since.
	if old := c.stash[id]; old == nil || old.Epoch != h.Epoch || old.Export <= h.Export {
		c.stash[id] = h
	}
	return true
}

// startLeave begins a planned stop: siblings no longer choose this VM and its
// pools move. With finish the lease is released when no pool can move.
func (c *core) startLeave(now time.Time, finish bool) {
	if !c.leaving {
		c.leaving = true
		c.own.next = now
		c.table.next, c.table.nextHand = now, now
		c.emit(action{kind: actBeat})
	}
	c.finishing = c.finishing || finish
	c.tick(now)
}

// mayFinish reports whether the lease can be released now: no pool is left, or
// none of them has a successor.
func (c *core) mayFinish(now time.Time) bool {
	if !c.finishing || c.table.hand != nil || c.table.inFlight || !c.table.scanned {
		return false
	}
	// Without a valid lease it is not known who lives, and the pools stay.
	return len(c.held) == 0 || (c.mayWrite(now) && len(c.successors(now)) == 0)
}

// stopPools drops what is left before the lease is released.
func (c *core) stopPools() {
	c.releasing = true
	c.win = &window{}
	for _, id := range c.heldIDs() {
		c.drop(id)
	}
}
