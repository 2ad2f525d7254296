package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

type actionKind uint8

const (
	actWriteLease        actionKind = iota // commit ops; the result goes to leaseWriteDone
	actReadLease                           // read the row at key; the result goes to leaseReadDone
	actScanRegion                          // scan assignment rows, then lease rows; the result goes to regionScanDone
	actReadAssignments                     // read the row at key; the result goes to assignmentReadDone
	actScanAllRegions                      // scan the lease rows of all regions; the result goes to allRegionsScanDone
	actCommitAssignments                   // commit ops; the result goes to commitDone
	actSendHandover                        // export pool and send it to successor; the result goes to handoverSendDone
	actNotifySuccessor                     // tell successor that the handover of pool is committed; no result
	actSendHeartbeats                      // send heartbeats to all siblings soon
	actStartPool                           // call PoolHandler.StartPool
	actLiftHalfCap                         // call PoolHandler.LiftHalfCap
	actStopPool                            // call PoolHandler.StopPool
	actReportReleased                      // the planned stop is complete: let Manager.Release return
	actLog
)

// action is an operation that core requests from its caller, the Manager.
// Actions must be carried out in the order in which core emitted them.
type action struct {
	kind      actionKind
	seq       uint64 // number of a request for the own lease row
	key       string
	ops       []platform.Op
	pool      inventory.PoolID
	epoch     uint64
	state     *siblingpb.Handover // for StartPool or the successor; may be nil
	halfCap   bool
	successor vm.Info
	message   string
}

// observedRenewal is the highest renewal counter that this VM has seen for the
// lease of a VM, and the time from which the age of that renewal counts.
type observedRenewal struct {
	incarnation, counter uint64
	since                time.Time
	// Renewals with a higher counter that are not known to be written, in
	// ascending order of their counters.
	sent []sentRenewal
}

// sentRenewal is a renewal that a heartbeat reported as sent but not yet as
// written. At most maxSentRenewals are kept per VM; the age of a renewal
// without an entry counts from the later time at which it is seen as written.
type sentRenewal struct {
	counter uint64
	seenAt  time.Time
}

// maxSentRenewals limits observedRenewal.sent.
const maxSentRenewals = 16

// heldPool is a pool that this VM currently serves.
type heldPool struct {
	epoch   uint64
	halfCap bool
	// The half cap is not lifted before this time. It is set if a handover was
	// committed and its state has not arrived.
	earliestLift time.Time
}

// core is the state machine of the lease protocol. It starts no goroutine and
// reads no clock: each method receives the current time and appends the
// operations that must follow to actions. It is not safe for concurrent use.
type core struct {
	self            vm.Info
	random          *rand.Rand
	nextIncarnation func() uint64
	snapshot        func() *inventory.Snapshot
	snap            *inventory.Snapshot           // configuration at the last tick
	poolsByDomain   map[string][]inventory.PoolID // pools of this region in snap, by failure domain
	actions         []action

	own   ownLease
	table tableState
	store storeState

	leases            map[vm.ID]leaseRow   // lease rows of this region, as last read
	siblingCache      []leaseRow           // result of activeSiblings; nil after a change of leases
	otherRegionLeases map[vm.ID]leaseRow   // active lease rows of other regions, as last read
	domains           map[string]domainRow // assignment rows by failure domain
	assignmentsDigest uint64

	renewals            map[vm.ID]observedRenewal // highest renewal counter seen of each VM
	firstSeen           map[uint64]time.Time      // when each incarnation was first seen
	vmByIncarnation     map[uint64]vm.ID          // VM of each known incarnation
	lastHeartbeatAt     map[vm.ID]time.Time       // time of the last heartbeat or answer received from each VM
	ended               map[uint64]bool           // incarnations that no longer serve any pool
	reportedLeaving     map[vm.ID]bool            // leaving according to the last heartbeat
	siblingDigests      map[vm.ID]uint64          // assignmentsDigest of each sibling
	removedFromPlatform func(vm.ID) bool          // reports whether the platform's VM list no longer contains a VM

	// Time of the last promise that this VM made, by incarnation of the holder.
	promisesMade map[uint64]time.Time
	// Promises received by incarnation of the witness. The time is that at
	// which the request for the last promise was sent.
	promisesReceived map[uint64]time.Time
	// Supporting answers received by incarnation of the witness. The time is
	// that at which the request for the last answer was sent.
	supportReceived map[uint64]time.Time
	// Time at which this VM learned of the revocation of an incarnation.
	revokedSince map[uint64]time.Time
	// By revoked incarnation and by witness: time since which the witness has
	// cleared the incarnation.
	clearedSince map[uint64]map[uint64]time.Time

	started      time.Time // when the core was created
	lastExchange time.Time // time of the last answer of a sibling of the region
	graceUntil   time.Time // no takeover of pools without a handover before this time
	isolated     bool      // no answer of a sibling of the region for isolatedAfter

	held               map[inventory.PoolID]heldPool
	receivedHandovers  map[inventory.PoolID]*siblingpb.Handover
	startedClaimEpochs map[inventory.PoolID]uint64 // epoch at which this VM last started each claim partition
	leaving            bool
	releaseRequested   bool // Release was called
	releasing          bool // all pools are stopped for the release; none is started again
	leaseReleased      bool
	modeTimes          *modeTimes
	reconciled         bool   // every pool assigned to this VM is started and has no half cap
	viewGeneration     uint64 // incremented when the state shown in view may have changed; Manager then rebuilds the view
}

func newCore(self vm.Info, now time.Time, seed uint64, nextIncarnation func() uint64, snapshot func() *inventory.Snapshot) *core {
	return &core{
		self: self, random: rand.New(rand.NewPCG(seed, 1)), nextIncarnation: nextIncarnation, snapshot: snapshot,
		leases: map[vm.ID]leaseRow{}, otherRegionLeases: map[vm.ID]leaseRow{}, domains: map[string]domainRow{},
		renewals: map[vm.ID]observedRenewal{}, firstSeen: map[uint64]time.Time{}, vmByIncarnation: map[uint64]vm.ID{},
		lastHeartbeatAt: map[vm.ID]time.Time{}, ended: map[uint64]bool{}, reportedLeaving: map[vm.ID]bool{},
		siblingDigests: map[vm.ID]uint64{}, removedFromPlatform: func(vm.ID) bool { return false },
		promisesMade: map[uint64]time.Time{}, promisesReceived: map[uint64]time.Time{}, supportReceived: map[uint64]time.Time{},
		revokedSince: map[uint64]time.Time{}, clearedSince: map[uint64]map[uint64]time.Time{},
		started: now, lastExchange: now, graceUntil: now.Add(takeoverGrace),
		held: map[inventory.PoolID]heldPool{}, startedClaimEpochs: map[inventory.PoolID]uint64{}, receivedHandovers: map[inventory.PoolID]*siblingpb.Handover{},
	}
}

// emit appends an action to be executed after the current event.
func (c *core) emit(a action) {
	c.viewGeneration++
	c.actions = append(c.actions, a)
}

func (c *core) logMessage(message string) { c.emit(action{kind: actLog, message: message}) }

// takeActions returns the actions emitted since the last call and clears the
// list.
func (c *core) takeActions() []action {
	actions := c.actions
	c.actions = nil
	return actions
}

// tick performs the work that depends on time alone. It must be called
// regularly.
func (c *core) tick(now time.Time) {
	isolated := now.Sub(c.lastExchange) > isolatedAfter && len(c.activeSiblings()) > 0
	if isolated && !c.isolated {
		c.graceUntil = now.Add(takeoverGrace)
	}
	c.isolated = isolated
	if snap := c.snapshot(); snap != c.snap {
		c.snap, c.poolsByDomain, c.reconciled = snap, regionPools(snap, c.self.Region), false
		c.stopUnassignedPools()
		c.table.nextScan = now
	}
	c.tickLease(now)
	c.tickTable(now)
	c.reconcile(now)
}

// reconcile starts pools, lifts half caps and recomputes modeTimes according to
// the current state. It runs at the end of each event.
func (c *core) reconcile(now time.Time) {
	if !c.reconciled {
		c.reconciled = true
		c.startPools(now)
		c.liftHalfCaps(now)
	}
	c.modeTimes = c.computeModeTimes()
}

// computeModeTimes returns the times that limit each mode. While a write of the
// lease row is unanswered, the row may hold any of several sets of witnesses,
// and a successor counts the set that it reads. The times are therefore those
// of the worst case over all of these sets.
func (c *core) computeModeTimes() *modeTimes {
	if c.own.incarnation == 0 || c.releasing {
		return &modeTimes{}
	}
	w := &modeTimes{renewed: c.own.renewed, alone: true}
	for i, witnesses := range c.own.witnessSets() {
		full := c.witnessQuorumTime(witnesses, c.promisesReceived, fullQuorum(len(witnesses)))
		reduced := c.witnessQuorumTime(witnesses, c.supportReceived, reducedQuorum(len(witnesses)))
		if reducedQuorum(len(witnesses)) > 1 {
			w.alone = false
		}
		if i == 0 {
			w.full, w.reduced = full, reduced
		} else {
			w.full, w.reduced = earlier(w.full, full), earlier(w.reduced, reduced)
		}
	}
	return w
}

// earlier returns the earlier of two times. The zero time means never and is
// earlier than any other.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// witnessQuorumTime returns the oldest time among the newest answers in times
// that are sufficient for a quorum of need witnesses. This VM counts as one
// without an answer, so need-1 answers are sufficient. The result is the zero
// time if there are too few answers, if no answer is needed, or if this VM is
// not one of witnesses.
func (c *core) witnessQuorumTime(witnesses []uint64, times map[uint64]time.Time, need int) time.Time {
	var received []time.Time
	for _, inc := range witnesses {
		if t, ok := times[inc]; ok && inc != c.own.incarnation {
			received = append(received, t)
		}
	}
	if !slices.Contains(witnesses, c.own.incarnation) {
		return time.Time{}
	}
	return nthNewest(received, need-1)
}

// loseLease handles the loss of the lease: it stops all pools and resets the
// state of the lease, so that this VM registers under a new incarnation.
func (c *core) loseLease(now time.Time, reason string) {
	c.logMessage("lease lost: " + reason)
	c.ended[c.own.incarnation] = true
	c.own = ownLease{nextWrite: now, seq: c.own.seq + 1, formerIncarnations: append(c.own.formerIncarnations, c.own.incarnation)}
	c.graceUntil = now.Add(takeoverGrace)
	c.modeTimes = &modeTimes{}
	for _, id := range c.heldPoolIDs() {
		h := c.held[id]
		delete(c.held, id)
		c.emit(action{kind: actStopPool, pool: id, epoch: h.epoch})
	}
	if h := c.table.handover; h != nil {
		c.table.handover = nil
		c.emit(action{kind: actStopPool, pool: h.pool, epoch: h.epoch - 1})
	}
	clear(c.promisesReceived)
	clear(c.supportReceived)
	clear(c.receivedHandovers)
	c.emit(action{kind: actSendHeartbeats})
}

func (c *core) heldPoolIDs() []inventory.PoolID {
	ids := make([]inventory.PoolID, 0, len(c.held))
	for id := range c.held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, comparePoolIDs)
	return ids
}

// activeSiblings returns the lease rows of the other VMs of the region that are
// active, sorted by VM ID. The caller must not change the slice.
func (c *core) activeSiblings() []leaseRow {
	if c.siblingCache != nil {
		return c.siblingCache
	}
	out := []leaseRow{}
	for id, r := range c.leases {
		if id != c.self.ID && r.State == active {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b leaseRow) int {
		if a.VmId < b.VmId {
			return -1
		}
		return 1
	})
	c.siblingCache = out
	return out
}

// jitter returns a random duration from 0.5 d up to 1.5 d.
func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.random.Float64()))
}
