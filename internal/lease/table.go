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

// tableLane is the state of the requests for assignment rows and foreign lease
// rows. At most one is in flight, so an answer is never older than the view.
type tableLane struct {
	scanned   bool // at least one scan succeeded
	inFlight  bool
	next      time.Time // next scan
	last      time.Time // end of the last scan
	nextAll   time.Time
	nextHand  time.Time
	conflicts int       // in a row, without a scan between
	hand      *handover // running planned handover
	reads     []string  // failure domains whose row is to be read
}

// scanResult holds assignment rows, then lease rows, read in this order, so a
// holder named by an assignment had written its lease row before.
type scanResult struct {
	pools, vms []platform.Row
}

func (c *core) tickTable(now time.Time) {
	t := &c.table
	if t.inFlight || c.done || c.handoverBusy() {
		return
	}
	switch {
	case len(t.reads) > 0:
		t.inFlight = true
		c.markPending(now)
		c.emit(action{kind: actReadRow, key: poolsKey(c.self.Region, t.reads[0])})
		t.reads = t.reads[1:]
	case !now.Before(t.next) || (c.alert(now) && now.Sub(t.last) >= scanEveryAlert) || c.evidenceDue(now):
		t.inFlight = true
		c.markPending(now)
		c.emit(action{kind: actScan})
	case !now.Before(t.nextAll) && t.scanned:
		t.inFlight = true
		c.markPending(now)
		c.emit(action{kind: actScanAll})
	case t.hand == nil && len(c.held) > 0 && c.mayWrite(now):
		c.planHandover(now)
	}
}

// alert reports whether rows may have changed: a sibling is silent or its
// digest differs, or a fleet is starting and pools have no holder yet.
func (c *core) alert(now time.Time) bool {
	if now.Before(c.graceUntil) && c.hasNewPool() {
		return true
	}
	for _, r := range c.activeSiblings() {
		id := vm.ID(r.VmId)
		if now.Sub(c.lastHeard(id)) > silentAfter {
			return true
		}
		if d, ok := c.digests[id]; ok && d != c.digest {
			return true
		}
	}
	return false
}

// evidenceDue reports whether a lease has ended since the last scan, so that a
// scan now can lead to a takeover.
func (c *core) evidenceDue(now time.Time) bool {
	for _, r := range c.activeSiblings() {
		s := c.seen[vm.ID(r.VmId)]
		if c.expired(now, r) && c.table.last.Sub(s.since) < evidenceAge {
			return true
		}
	}
	return false
}

// expired reports evidence that the lease of r has ended. Only the monotonic
// clock counts: a jump of the wall clock is no evidence.
func (c *core) expired(now time.Time, r leaseRow) bool {
	s, ok := c.seen[vm.ID(r.VmId)]
	return ok && s.incarnation == r.Incarnation && s.counter == r.Counter && now.Sub(s.since) >= evidenceAge
}

// observe notes the counter of a renewal that took effect, from a row or a
// heartbeat. Its age counts from the first heartbeat that named it as sent.
func (c *core) observe(now time.Time, id vm.ID, inc, counter uint64) {
	s, ok := c.seen[id]
	switch {
	case !ok || s.incarnation != inc:
		s = seen{incarnation: inc, counter: counter, since: now}
	case counter > s.counter:
		s.counter, s.since = counter, now
		for _, t := range s.tried {
			if t.counter >= counter {
				s.since = t.at
				break
			}
		}
		s.tried = slices.DeleteFunc(s.tried, func(t triedAt) bool { return t.counter <= counter })
	default:
		return
	}
	c.gen++
	c.seen[id] = s
	if _, ok := c.firstSeen[inc]; !ok {
		c.firstSeen[inc] = now
	}
	c.owners[inc] = id
}

// observeTried notes the counter of a renewal that was sent and may not have
// taken effect. Counters only grow, so all up to it were sent by now.
func (c *core) observeTried(now time.Time, id vm.ID, counter uint64) {
	s := c.seen[id]
	if n := len(s.tried); counter > s.counter && n < triedKept && (n == 0 || counter > s.tried[n-1].counter) {
		s.tried = append(s.tried, triedAt{counter: counter, at: now})
		c.seen[id] = s
	}
}

func (c *core) adoptLease(now time.Time, id vm.ID, r leaseRow, exists bool) {
	if !exists {
		c.deleteRow(id)
		return
	}
	if old, had := c.vms[id]; had && old.Incarnation != r.Incarnation {
		c.dropped[old.Incarnation] = true
	}
	if r.State == released {
		c.dropped[r.Incarnation] = true
	}
	c.setRow(id, r)
	c.observe(now, id, r.Incarnation, r.Counter)
	if r.State == revoked {
		c.note(now, r.Incarnation)
	}
}

func (c *core) setRow(id vm.ID, r leaseRow) {
	c.gen++
	c.vms[id], c.siblings = r, nil
}

func (c *core) deleteRow(id vm.ID) {
	c.gen++
	c.siblings = nil
	delete(c.vms, id)
}

func (c *core) scanDone(now time.Time, res scanResult, err error) {
	t := &c.table
	t.inFlight = false
	if err != nil {
		c.storeFailed()
		t.next = now.Add(c.jitter(scanEveryAlert))
		t.last = now
		c.settle(now)
		return
	}
	c.storeAnswered()
	t.scanned, t.last, t.conflicts = true, now, 0
	t.next = now.Add(scanEvery*4/5 + c.jitter(scanEvery/5))
	domains := map[string]domainRow{}
	for _, row := range res.pools {
		if d, err := decodeDomain(row); err != nil {
			c.logf(err.Error())
		} else {
			_, domain := cut(row.Key[len("pools/"):])
			domains[domain] = d
		}
	}
	present := map[vm.ID]bool{}
	for _, row := range res.vms {
		r, err := decodeLease(row)
		if err != nil {
			c.logf(err.Error())
			continue
		}
		present[vm.ID(r.VmId)] = true
		if vm.ID(r.VmId) != c.self.ID || c.own.incarnation == 0 {
			c.adoptLease(now, vm.ID(r.VmId), r, true)
		}
	}
	for id := range c.vms {
		if !present[id] && (id != c.self.ID || c.own.incarnation == 0) {
			c.deleteRow(id)
		}
	}
	c.setDomains(domains)
	c.forget(now)
	c.plan(now)
	c.settle(now)
}

// setDomains replaces the view of the assignment rows.
func (c *core) setDomains(domains map[string]domainRow) {
	before := c.digest
	c.gen++
	c.settled = false
	c.domains = domains
	c.digest = digest(domains)
	c.dropForeign()
	if before != c.digest {
		c.emit(action{kind: actBeat})
	}
}

// dropForeign ends the service of pools whose row names another holder and of
// pools that the configuration no longer has.
func (c *core) dropForeign() {
	for _, id := range c.heldIDs() {
		a := c.domains[id.FailureDomain].pools[id.Service]
		if a != nil && a.Incarnation == c.own.incarnation && c.snap != nil && c.snap.HasPool(id) {
			continue
		}
		c.drop(id)
	}
}

func (c *core) drop(id inventory.PoolID) {
	c.settled = false
	h := c.held[id]
	delete(c.held, id)
	c.emit(action{kind: actDrop, pool: id, epoch: h.epoch})
}

// rowRead takes one assignment row; version 0 stands for a missing row.
func (c *core) rowRead(now time.Time, row platform.Row, err error) {
	c.table.inFlight = false
	if err != nil {
		c.storeFailed()
		c.table.next = now
	} else {
		c.storeAnswered()
		c.applyRows(now, []platform.Row{row})
	}
	c.settle(now)
}

func (c *core) scanAllDone(now time.Time, rows []platform.Row, err error) {
	c.table.inFlight = false
	if err != nil {
		c.storeFailed()
		c.table.nextAll = now.Add(c.jitter(scanEvery))
		return
	}
	c.storeAnswered()
	c.table.nextAll = now.Add(c.jitter(scanAllEvery))
	c.gen++
	clear(c.far)
	for _, row := range rows {
		if r, err := decodeLease(row); err == nil && r.region != c.self.Region && r.State == active {
			c.far[vm.ID(r.VmId)] = r
			c.observe(now, vm.ID(r.VmId), r.Incarnation, r.Counter)
		}
	}
	c.settle(now)
}

// commitDone takes the answer to a takeover, a revocation or a handover.
func (c *core) commitDone(now time.Time, rows []platform.Row, err error) {
	c.table.inFlight = false
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.storeAnswered()
		c.table.conflicts = 0
		c.applyRows(now, rows)
		if c.table.hand != nil {
			c.handoverWritten(now)
		}
		c.plan(now)
	case errors.As(err, &conflict):
		c.storeAnswered()
		c.applyRows(now, conflict.Rows)
		if c.table.hand != nil {
			c.handoverSettled(now)
		}
		// Another VM changed the same row; the conflict holds its current state.
		if c.table.conflicts++; c.table.conflicts < maxConflicts {
			c.plan(now)
		} else {
			c.table.next = now.Add(c.jitter(scanEveryAlert / 4))
		}
	case errors.Is(err, platform.ErrUnavailable):
		c.storeFailed()
		c.table.next = now.Add(c.jitter(scanEveryAlert))
		if c.table.hand != nil && !c.table.hand.uncertain {
			c.handoverAborted(now)
		}
	default:
		c.storeFailed()
		if c.table.hand != nil {
			c.table.hand.uncertain = true
		}
		// The scan reads back what took effect.
		c.table.next = now.Add(c.jitter(scanEveryAlert / 4))
	}
	c.settle(now)
}

// applyRows merges rows written or found in conflict into the view.
func (c *core) applyRows(now time.Time, rows []platform.Row) {
	domains := maps.Clone(c.domains)
	for _, row := range rows {
		if region, id := splitKey(row.Key); len(row.Key) > 3 && row.Key[:3] == vmPrefix {
			if region != c.self.Region || vm.ID(id) == c.self.ID && c.own.incarnation != 0 {
				continue
			}
			r, err := decodeLease(row)
			if err == nil {
				c.adoptLease(now, vm.ID(id), r, row.Version != 0)
			}
			continue
		}
		_, domain := cut(row.Key[len("pools/"):])
		if d, err := decodeDomain(row); err == nil && row.Version != 0 {
			domains[domain] = d
		} else {
			delete(domains, domain)
		}
	}
	c.setDomains(domains)
}

func (c *core) lastHeard(id vm.ID) time.Time {
	if t, ok := c.heard[id]; ok {
		return t
	}
	return c.started
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
