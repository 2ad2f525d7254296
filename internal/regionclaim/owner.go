package regionclaim

import (
	"sync"
	"time"

	"github.com/coder/quartz"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Ownership reports which partitions this VM owns, that is holds in the sense
// of package lease. lease.Manager implements it.
type Ownership interface {
	Mode(now time.Time) lease.Mode
	HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool)
}

// Owner keeps the records of the partitions that this VM owns and answers the
// receivers, which are the entry VMs that claim a key. It implements
// lease.PoolHandler for the partitions, so a PoolID identifies a partition
// here. Its methods may be called from any goroutine.
type Owner struct {
	ownership Ownership
	clock     quartz.Clock
	limit     int

	mu         sync.RWMutex
	partitions map[inventory.PoolID]*lockedPartition
}

// lockedPartition is a partition with its lock. Lock order: Owner.mu before
// lockedPartition.mu.
type lockedPartition struct {
	mu sync.Mutex
	*partition
}

// close makes requests that have already looked up the partition get the answer
// "not owner". It does nothing for nil.
func (p *lockedPartition) close() {
	if p != nil {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
	}
}

// Option configures an Owner.
type Option func(*Owner)

// WithLimit sets the maximum number of records of a partition. The default is
// 16,384.
func WithLimit(records int) Option { return func(o *Owner) { o.limit = records } }

// NewOwner returns an Owner without partitions.
func NewOwner(ownership Ownership, clock quartz.Clock, options ...Option) *Owner {
	o := &Owner{ownership: ownership, clock: clock, limit: maxRecords, partitions: map[inventory.PoolID]*lockedPartition{}}
	for _, option := range options {
		option(o)
	}
	return o
}

// StartPool implements lease.PoolHandler. If state is nil or has no ClaimState,
// as after a takeover without a handover, the earlier claims are unknown and
// the partition grants nothing for Retention. With an empty ClaimState, there
// are no earlier claims and the partition grants at once.
func (o *Owner) StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, _ bool) {
	p := newPartition(id, epoch, o.limit, state.GetClaims(), o.clock.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partitions[id].close()
	o.partitions[id] = &lockedPartition{partition: p}
}

// LiftHalfCap implements lease.PoolHandler. Partitions have no slots.
func (o *Owner) LiftHalfCap(inventory.PoolID) {}

// StopPool implements lease.PoolHandler.
func (o *Owner) StopPool(id inventory.PoolID, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.partitions[id]; p != nil && p.epoch <= epoch {
		p.close()
		delete(o.partitions, id)
	}
}

// ExportPool implements lease.PoolHandler. It stops granting claims of the
// partition and returns its records, or nil if this VM does not own it.
func (o *Owner) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	p := o.partition(id)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &siblingpb.Handover{
		Service: id.Service, FailureDomain: id.FailureDomain, Epoch: p.epoch, Claims: p.export(o.clock.Now()),
	}
}

// Records returns the total number of records of all partitions of this VM.
func (o *Owner) Records() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	n := 0
	for _, p := range o.partitions {
		p.mu.Lock()
		n += len(p.records)
		p.mu.Unlock()
	}
	return n
}

func (o *Owner) partition(id inventory.PoolID) *lockedPartition {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.partitions[id]
}

// Handle returns the answer to a receiver's message. It answers "not owner" if
// this VM does not hold the partition with its lease in mode Valid or Full, or
// if the message is malformed.
func (o *Owner) Handle(req *siblingpb.RegionClaim) *siblingpb.RegionClaimAnswer {
	d, n, valid := parseDigestAndNonce(req.GetDigest(), req.GetNonce())
	p := o.partition(inventory.PoolID{Service: req.GetService(), FailureDomain: req.GetFailureDomain()})
	if p == nil || !valid {
		return newAnswer(resultNotOwner)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := o.clock.Now()
	if !o.mayAnswer(now, p.partition) {
		return newAnswer(resultNotOwner)
	}
	// The operation of a message is also the state of the record.
	newRecord := record{
		nonce: n, vm: vm.ID(req.GetVmId()), incarnation: req.GetIncarnation(),
		state: req.GetOp(), status: req.GetStatus(), changedAt: now,
	}
	switch req.GetOp() {
	case stateDone, stateUnknown, stateReleased:
		return p.end(now, d, newRecord)
	case stateClaimed:
	default:
		return newAnswer(resultNotOwner)
	}
	answer, created := p.claim(now, d, newRecord)
	// The process may have been paused since the first check, and the lease may
	// have ended in the meantime.
	if answer.Result == resultOK && !o.mayAnswer(o.clock.Now(), p.partition) {
		if created {
			delete(p.records, d)
		}
		return newAnswer(resultNotOwner)
	}
	return answer
}

// mayAnswer reports whether this VM may answer requests for a partition at now.
func (o *Owner) mayAnswer(now time.Time, p *partition) bool {
	if p.closed {
		return false
	}
	if m := o.ownership.Mode(now); m != lease.ModeValid && m != lease.ModeFull {
		return false
	}
	epoch, held := o.ownership.HeldEpoch(p.id)
	return held && epoch == p.epoch
}
