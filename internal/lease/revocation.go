package lease

import (
	"maps"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// note records that an incarnation is revoked: from now on this VM supports it
// no more.
func (c *core) note(now time.Time, inc uint64) {
	if _, ok := c.noted[inc]; !ok {
		c.noted[inc] = now
		c.emit(action{kind: actBeat})
	}
}

// clearedAt returns when this VM's last promise to a revoked incarnation ends.
func (c *core) clearedAt(inc uint64) (time.Time, bool) {
	t, ok := c.noted[inc]
	if !ok {
		return t, false
	}
	if p, promised := c.promised[inc]; promised && p.Add(promiseAge).After(t) {
		t = p.Add(promiseAge)
	}
	return t, true
}

// confirmed notes that a witness stops supporting a revoked incarnation at t.
func (c *core) confirmed(inc, witness uint64, t time.Time) {
	m := c.confirm[inc]
	if m == nil {
		m = map[uint64]time.Time{}
		c.confirm[inc] = m
	}
	if old, ok := m[witness]; !ok || t.Before(old) {
		m[witness] = t
	}
}

// cleared counts the witnesses of a revoked holder that have not supported it
// for at least age.
func (c *core) cleared(now time.Time, r leaseRow, age time.Duration) int {
	n := 0
	for _, w := range r.Witnesses {
		if w == r.Incarnation {
			continue
		}
		t, ok := c.confirm[r.Incarnation][w]
		if w == c.own.incarnation {
			t, ok = c.clearedAt(r.Incarnation)
		}
		if !ok {
			if !c.dropped[w] && !c.isGone(now, r, c.owners[w]) {
				continue
			}
			// The witness serves no more, but an answer that it gave before may
			// still count at the holder.
			t = now.Add(promiseAge)
			c.confirmed(r.Incarnation, w, t)
		}
		if now.Sub(t) >= age {
			n++
		}
	}
	return n
}

// isGone reports that the platform removed a VM: its list no longer has it,
// and the revocation is old enough for the list to have caught up.
func (c *core) isGone(now time.Time, r leaseRow, id vm.ID) bool {
	return id != "" && now.Sub(c.noted[r.Incarnation]) >= goneAfter && c.gone(id)
}

// mayBegin reports whether the holder of a revoked lease is no longer in full
// mode.
func (c *core) mayBegin(now time.Time, r leaseRow) bool {
	return c.dropped[r.Incarnation] || c.isGone(now, r, vm.ID(r.VmId)) ||
		c.cleared(now, r, 0) >= beginQuorum(len(r.Witnesses))
}

// lifted reports whether the holder of a revoked lease serves no more.
func (c *core) lifted(now time.Time, r leaseRow) bool {
	return c.dropped[r.Incarnation] || c.isGone(now, r, vm.ID(r.VmId)) ||
		c.cleared(now, r, promiseAge) >= liftQuorum(len(r.Witnesses))
}

// priorState reports what the former holders of a pool still allow.
func (c *core) priorState(now time.Time, a *siblingpb.Assignment) (begin, lift bool) {
	begin, lift = true, true
	for _, inc := range a.Prior {
		if r, ok := c.revokedRow(inc); ok {
			begin = begin && c.mayBegin(now, r)
			lift = lift && c.lifted(now, r)
		}
	}
	return begin, lift
}

// beginPools starts to serve pools whose row names this VM.
func (c *core) beginPools(now time.Time) {
	if c.own.incarnation == 0 || c.releasing || c.snap == nil {
		return
	}
	for _, domain := range sortedKeys(c.domains) {
		row := c.domains[domain]
		for _, service := range sortedKeys(row.pools) {
			a := row.pools[service]
			id := inventory.PoolID{Service: service, FailureDomain: domain}
			_, has := c.held[id]
			if a.Incarnation != c.own.incarnation || has || !c.snap.HasPool(id) || c.exporting(id) {
				continue
			}
			c.beginPool(now, id, a)
		}
	}
}

func (c *core) beginPool(now time.Time, id inventory.PoolID, a *siblingpb.Assignment) {
	h := holding{epoch: a.Epoch}
	state := c.stash[id]
	if a.Handover {
		if state == nil || state.Epoch != a.Epoch {
			// The former holder stopped before it wrote the row, but its calls
			// in flight are not known.
			state, h.halfCap, h.warmAt = nil, true, now.Add(promiseAge)
		}
	} else {
		begin, lift := c.priorState(now, a)
		if !begin {
			c.settled = false
			return
		}
		state, h.halfCap = nil, !lift
	}
	state = c.claimState(id, a, state)
	delete(c.stash, id)
	c.held[id] = h
	c.emit(action{kind: actTake, pool: id, epoch: h.epoch, state: state, halfCap: h.halfCap})
}

// liftPools lifts the half cap of pools whose former holders serve no more.
func (c *core) liftPools(now time.Time) {
	for _, id := range c.heldIDs() {
		h := c.held[id]
		a := c.domains[id.FailureDomain].pools[id.Service]
		if !h.halfCap || a == nil {
			continue
		}
		if now.Before(h.warmAt) {
			c.settled = false
			continue
		}
		if _, lift := c.priorState(now, a); lift {
			h.halfCap = false
			c.held[id] = h
			c.emit(action{kind: actLift, pool: id})
		} else {
			c.settled = false
		}
	}
}

// forget drops notes of incarnations that no row names any more.
func (c *core) forget(now time.Time) {
	maps.DeleteFunc(c.noted, func(inc uint64, t time.Time) bool {
		return now.Sub(t) > noteKeep && !c.isRevoked(inc)
	})
	maps.DeleteFunc(c.confirm, func(inc uint64, _ map[uint64]time.Time) bool { return !c.isRevoked(inc) })
	old := func(_ uint64, t time.Time) bool { return now.Sub(t) > noteKeep }
	maps.DeleteFunc(c.promised, old)
	maps.DeleteFunc(c.statement, old)
	maps.DeleteFunc(c.contact, old)
	named := map[uint64]bool{c.own.incarnation: true}
	for _, r := range c.vms {
		named[r.Incarnation] = true
		for _, w := range r.Witnesses {
			named[w] = true
		}
	}
	for _, r := range c.far {
		named[r.Incarnation] = true
	}
	unnamed := func(inc uint64, t time.Time) bool { return !named[inc] && now.Sub(t) > noteKeep }
	maps.DeleteFunc(c.firstSeen, unnamed)
	maps.DeleteFunc(c.owners, func(inc uint64, _ vm.ID) bool { return !named[inc] && c.firstSeen[inc].IsZero() })
	maps.DeleteFunc(c.dropped, func(inc uint64, _ bool) bool { return !named[inc] && c.firstSeen[inc].IsZero() })
}

// revokedList returns the revoked incarnations to tell siblings, and those to
// which no promise of this VM runs any more.
func (c *core) revokedList(now time.Time) (noted, clear []uint64) {
	noted = slices.Sorted(maps.Keys(c.noted))
	for _, inc := range noted {
		if t, _ := c.clearedAt(inc); !now.Before(t) {
			clear = append(clear, inc)
		}
	}
	return noted, clear
}
