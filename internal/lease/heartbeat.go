package lease

import (
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// droppedKept is the number of former incarnations named in heartbeats.
const droppedKept = 4

// fill writes the fields of the lease into a heartbeat.
func (c *core) fill(now time.Time, hb *siblingpb.Heartbeat) {
	hb.VmId = string(c.self.ID)
	hb.Region = c.self.Region
	hb.FailureDomain = c.self.FailureDomain
	hb.SiblingAddress = c.self.SiblingAddress
	hb.Incarnation = c.own.incarnation
	hb.LeaseCounter, hb.LeaseTried = c.own.counter, c.own.tried
	hb.StoreReachable = !c.unreachable(now)
	hb.Leaving = c.leaving
	hb.EpochDigest = c.digest
	hb.Revoked, hb.Cleared = c.revokedList(now)
	hb.Dropped = c.own.mine[max(0, len(c.own.mine)-droppedKept):]
}

// answer takes a request of a sibling and fills the answer. The answer may be
// a promise, which this method records.
func (c *core) answer(now time.Time, req, hb *siblingpb.Heartbeat) {
	c.heardFrom(now, req)
	c.fill(now, hb)
	r, ok := c.vms[vm.ID(req.VmId)]
	_, noted := c.noted[req.Incarnation]
	hb.Supports = ok && req.Incarnation != 0 && r.Incarnation == req.Incarnation && r.State == active && !noted
	if hb.Supports && !hb.StoreReachable {
		c.promised[req.Incarnation] = now
	}
	c.settle(now)
}

// heardReply takes the answer of a sibling to a heartbeat that was written at
// wrote under the incarnation sentAs. Its statements count from wrote.
func (c *core) heardReply(now, wrote time.Time, sentAs uint64, hb *siblingpb.Heartbeat) {
	c.heardFrom(now, hb)
	if hb.Region == c.self.Region {
		c.lastExchange = now
	}
	if hb.Supports && sentAs != 0 && sentAs == c.own.incarnation {
		c.contact[hb.Incarnation] = wrote
		if !hb.StoreReachable {
			c.statement[hb.Incarnation] = wrote
		} else if _, was := c.statement[hb.Incarnation]; was {
			delete(c.statement, hb.Incarnation)
			// The store is back for others. The jitter spreads the first renewals.
			if soon := now.Add(c.jitter(RenewEvery / 5)); soon.Before(c.own.next) {
				c.own.next = soon
			}
		}
	}
	c.settle(now)
}

// heardFrom takes what a request and an answer have in common.
func (c *core) heardFrom(now time.Time, hb *siblingpb.Heartbeat) {
	id := vm.ID(hb.VmId)
	if hb.Region != c.self.Region || id == c.self.ID {
		return
	}
	c.heard[id] = now
	c.leavingHB[id] = hb.Leaving
	c.digests[id] = hb.EpochDigest
	if hb.Incarnation != 0 {
		c.observe(now, id, hb.Incarnation, hb.LeaseCounter)
		c.observeTried(now, id, hb.LeaseTried)
	}
	for _, inc := range hb.Dropped {
		c.dropped[inc] = true
	}
	for _, inc := range hb.Revoked {
		if inc == c.own.incarnation {
			c.dropAll(now, "a sibling knows it as revoked")
			continue
		}
		if !c.dropped[inc] {
			c.note(now, inc)
		}
	}
	for _, inc := range hb.Cleared {
		c.confirmed(inc, hb.Incarnation, now)
	}
}
