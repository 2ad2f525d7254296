package lease

import (
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// maxDroppedSent limits how many former incarnations of this VM a heartbeat
// lists as dropped.
const maxDroppedSent = 4

// fillHeartbeat writes the lease fields of a heartbeat or of an answer to one.
func (c *core) fillHeartbeat(now time.Time, hb *siblingpb.Heartbeat) {
	hb.VmId = string(c.self.ID)
	hb.Region = c.self.Region
	hb.FailureDomain = c.self.FailureDomain
	hb.SiblingAddress = c.self.SiblingAddress
	hb.Incarnation = c.own.incarnation
	hb.LeaseCounter, hb.LeaseTried = c.own.counter, c.own.sentCounter
	hb.StoreReachable = !c.storeUnreachable(now)
	hb.Leaving = c.leaving
	hb.EpochDigest = c.assignmentsDigest
	hb.Revoked, hb.Cleared = c.revokedAndCleared(now)
	hb.Dropped = c.own.formerIncarnations[max(0, len(c.own.formerIncarnations)-maxDroppedSent):]
}

// answerHeartbeat handles a heartbeat request of a sibling and fills in hb, the
// answer. If this VM can't reach the store, a supporting answer is a promise
// not to clear the sibling for promiseDuration; the method records it.
func (c *core) answerHeartbeat(now time.Time, req, hb *siblingpb.Heartbeat) {
	c.recordHeartbeat(now, req)
	c.fillHeartbeat(now, hb)
	r, ok := c.leases[vm.ID(req.VmId)]
	_, isRevoked := c.revokedSince[req.Incarnation]
	hb.Supports = ok && req.Incarnation != 0 && r.Incarnation == req.Incarnation && r.State == active && !isRevoked
	if hb.Supports && !hb.StoreReachable {
		c.promisesMade[req.Incarnation] = now
	}
	c.reconcile(now)
}

// handleHeartbeatAnswer handles the answer of a sibling to a heartbeat that was
// sent at sentAt under the incarnation sentIncarnation. Support and promises in
// the answer count from sentAt.
func (c *core) handleHeartbeatAnswer(now, sentAt time.Time, sentIncarnation uint64, hb *siblingpb.Heartbeat) {
	c.recordHeartbeat(now, hb)
	if hb.Region == c.self.Region {
		c.lastExchange = now
	}
	if hb.Supports && sentIncarnation != 0 && sentIncarnation == c.own.incarnation {
		c.supportReceived[hb.Incarnation] = sentAt
		if !hb.StoreReachable {
			c.promisesReceived[hb.Incarnation] = sentAt
		} else if _, promisedBefore := c.promisesReceived[hb.Incarnation]; promisedBefore {
			delete(c.promisesReceived, hb.Incarnation)
			// The sibling reaches the store again, so this VM probably can too
			// and renews early. The jitter spreads the first renewals of the
			// VMs.
			if soon := now.Add(c.jitter(RenewInterval / 5)); soon.Before(c.own.nextWrite) {
				c.own.nextWrite = soon
			}
		}
	}
	c.reconcile(now)
}

// recordHeartbeat records the fields that a heartbeat request and an answer
// have in common.
func (c *core) recordHeartbeat(now time.Time, hb *siblingpb.Heartbeat) {
	id := vm.ID(hb.VmId)
	if hb.Region != c.self.Region || id == c.self.ID {
		return
	}
	c.lastHeartbeatAt[id] = now
	c.reportedLeaving[id] = hb.Leaving
	c.siblingDigests[id] = hb.EpochDigest
	if hb.Incarnation != 0 {
		c.recordRenewal(now, id, hb.Incarnation, hb.LeaseCounter)
		c.recordSentRenewal(now, id, hb.LeaseTried)
	}
	for _, inc := range hb.Dropped {
		c.ended[inc] = true
	}
	for _, inc := range hb.Revoked {
		if inc == c.own.incarnation {
			c.loseLease(now, "a sibling knows it as revoked")
			continue
		}
		if !c.ended[inc] {
			c.recordRevoked(now, inc)
		}
	}
	for _, inc := range hb.Cleared {
		c.recordCleared(inc, hb.Incarnation, now)
	}
}
