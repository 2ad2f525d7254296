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
	actLease    actionKind = iota // commit ops; answer with leaseDone
	actReadOwn                    // read key; answer with ownRead
	actScan                       // scan assignment rows, then lease rows; answer with scanDone
	actReadRow                    // read key; answer with rowRead
	actScanAll                    // scan lease rows of all regions; answer with scanAllDone
	actCommit                     // commit ops; answer with commitDone
	actSend                       // export pool, send it to a sibling; answer with handoverSent
	actNotice                     // tell a sibling that a handover is committed
	actBeat                       // send heartbeats at once
	actTake                       // PoolHandler.StartPool
	actLift                       // PoolHandler.LiftHalfCap
	actDrop                       // PoolHandler.StopPool
	actReleased                   // the planned stop is done
	actLog
)

// action is one thing that the runner has to do. The order of actions counts.
type action struct {
	kind    actionKind
	seq     uint64
	key     string
	ops     []platform.Op
	pool    inventory.PoolID
	epoch   uint64
	state   *siblingpb.Handover
	halfCap bool
	to      vm.Info
	text    string
}

// seen is the newest renewal counter known of a VM and since when.
type seen struct {
	incarnation, counter uint64
	since                time.Time
	tried                []triedAt // counters above counter, growing
}

// triedAt is a renewal known as sent at a time. triedKept bounds their number;
// without an entry the age counts from a later time.
type triedAt struct {
	counter uint64
	at      time.Time
}

const triedKept = 16

// holding is a pool that this VM serves.
type holding struct {
	epoch   uint64
	halfCap bool
	warmAt  time.Time // earliest lift of a handover that arrived without state
}

// core decides. It starts no goroutine and reads no clock; the methods take
// the time and append to out what has to be done. It is not safe for
// concurrent use.
type core struct {
	self     vm.Info
	rnd      *rand.Rand
	newInc   func() uint64
	snapshot func() *inventory.Snapshot
	snap     *inventory.Snapshot           // as of the last tick
	pools    map[string][]inventory.PoolID // of the region in snap, by failure domain
	out      []action

	own   ownLease
	table tableLane
	store storeState

	vms      map[vm.ID]leaseRow // own region, as last read
	siblings []leaseRow         // result of activeSiblings, nil after a change
	far      map[vm.ID]leaseRow // other regions
	domains  map[string]domainRow
	digest   uint64

	seen      map[vm.ID]seen       // renewal counters
	firstSeen map[uint64]time.Time // incarnations
	owners    map[uint64]vm.ID     // incarnations ever seen
	heard     map[vm.ID]time.Time  // last exchange or request
	dropped   map[uint64]bool      // incarnations that hold nothing any more
	leavingHB map[vm.ID]bool
	digests   map[vm.ID]uint64
	gone      func(vm.ID) bool // absent from the platform's VM list

	promised  map[uint64]time.Time            // last promise made, by incarnation of the holder
	statement map[uint64]time.Time            // promises received, by incarnation of the witness
	contact   map[uint64]time.Time            // answers received
	noted     map[uint64]time.Time            // revoked incarnations
	confirm   map[uint64]map[uint64]time.Time // revoked incarnation, witness: no support since

	started      time.Time
	lastExchange time.Time
	graceUntil   time.Time
	isolated     bool // no exchange with a sibling for isolatedAfter

	held      map[inventory.PoolID]holding
	stash     map[inventory.PoolID]*siblingpb.Handover
	begun     map[inventory.PoolID]uint64 // claim partitions: last epoch that began
	leaving   bool
	finishing bool // Release was called
	releasing bool // all pools are dropped; none is served again
	done      bool
	win       *window
	settled   bool   // every pool that names this VM is served without a half cap
	gen       uint64 // changes when the published view may have changed
}

func newCore(self vm.Info, now time.Time, seed uint64, newInc func() uint64, snap func() *inventory.Snapshot) *core {
	return &core{
		self: self, rnd: rand.New(rand.NewPCG(seed, 1)), newInc: newInc, snapshot: snap,
		vms: map[vm.ID]leaseRow{}, far: map[vm.ID]leaseRow{}, domains: map[string]domainRow{},
		seen: map[vm.ID]seen{}, firstSeen: map[uint64]time.Time{}, owners: map[uint64]vm.ID{},
		heard: map[vm.ID]time.Time{}, dropped: map[uint64]bool{}, leavingHB: map[vm.ID]bool{},
		digests: map[vm.ID]uint64{}, gone: func(vm.ID) bool { return false },
		promised: map[uint64]time.Time{}, statement: map[uint64]time.Time{}, contact: map[uint64]time.Time{},
		noted: map[uint64]time.Time{}, confirm: map[uint64]map[uint64]time.Time{},
		started: now, lastExchange: now, graceUntil: now.Add(graceAge),
		held: map[inventory.PoolID]holding{}, begun: map[inventory.PoolID]uint64{}, stash: map[inventory.PoolID]*siblingpb.Handover{},
	}
}

func (c *core) emit(a action) {
	c.gen++
	c.out = append(c.out, a)
}

func (c *core) logf(text string) { c.emit(action{kind: actLog, text: text}) }

// drain returns the actions since the last call.
func (c *core) drain() []action {
	out := c.out
	c.out = nil
	return out
}

// tick advances everything that depends on time alone.
func (c *core) tick(now time.Time) {
	isolated := now.Sub(c.lastExchange) > isolatedAfter && len(c.activeSiblings()) > 0
	if isolated && !c.isolated {
		c.graceUntil = now.Add(graceAge)
	}
	c.isolated = isolated
	if snap := c.snapshot(); snap != c.snap {
		c.snap, c.pools, c.settled = snap, regionPools(snap, c.self.Region), false
		c.dropForeign()
		c.table.next = now
	}
	c.tickOwn(now)
	c.tickTable(now)
	c.settle(now)
}

// settle brings the pools served and the published window in line with the
// state. It runs at the end of each event.
func (c *core) settle(now time.Time) {
	if !c.settled {
		c.settled = true
		c.beginPools(now)
		c.liftPools(now)
	}
	c.win = c.computeWindow()
}

// computeWindow takes the worst case over every set of witnesses that the
// lease row may hold, since a successor reads one of them.
func (c *core) computeWindow() *window {
	if c.own.incarnation == 0 || c.releasing {
		return &window{}
	}
	w := &window{renewed: c.own.renewed, alone: true}
	for i, set := range c.own.witnessSets() {
		full := c.quorum(set, c.statement, fullQuorum(len(set)))
		reduced := c.quorum(set, c.contact, reducedQuorum(len(set)))
		if reducedQuorum(len(set)) > 1 {
			w.alone = false
		}
		if i == 0 {
			w.full, w.reduced = full, reduced
		} else {
			w.full, w.reduced = older(w.full, full), older(w.reduced, reduced)
		}
	}
	return w
}

// older returns the earlier time; the zero time stands for never.
func older(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// quorum returns the oldest time among the newest answers that need requires,
// the VM itself counted as one without an answer.
func (c *core) quorum(set []uint64, times map[uint64]time.Time, need int) time.Time {
	var got []time.Time
	for _, inc := range set {
		if t, ok := times[inc]; ok && inc != c.own.incarnation {
			got = append(got, t)
		}
	}
	if !slices.Contains(set, c.own.incarnation) {
		return time.Time{}
	}
	return quorumTime(got, need-1)
}

// dropAll ends the service of all pools, since the lease is lost.
func (c *core) dropAll(now time.Time, why string) {
	c.logf("lease lost: " + why)
	c.dropped[c.own.incarnation] = true
	c.own = ownLease{next: now, seq: c.own.seq + 1, mine: append(c.own.mine, c.own.incarnation)}
	c.graceUntil = now.Add(graceAge)
	c.win = &window{}
	for _, id := range c.heldIDs() {
		h := c.held[id]
		delete(c.held, id)
		c.emit(action{kind: actDrop, pool: id, epoch: h.epoch})
	}
	if h := c.table.hand; h != nil {
		c.table.hand = nil
		c.emit(action{kind: actDrop, pool: h.pool, epoch: h.epoch - 1})
	}
	clear(c.statement)
	clear(c.contact)
	clear(c.stash)
	c.emit(action{kind: actBeat})
}

func (c *core) heldIDs() []inventory.PoolID {
	ids := make([]inventory.PoolID, 0, len(c.held))
	for id := range c.held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, poolLess)
	return ids
}

// activeSiblings returns the other VMs of the region with an active lease row,
// by ID.
func (c *core) activeSiblings() []leaseRow {
	if c.siblings != nil {
		return c.siblings
	}
	out := []leaseRow{}
	for id, r := range c.vms {
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
	c.siblings = out
	return out
}

func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.rnd.Float64()))
}
