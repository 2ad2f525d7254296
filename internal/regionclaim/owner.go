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

// Ownership says which partitions this VM holds. lease.Manager implements it.
type Ownership interface {
	Mode(now time.Time) lease.Mode
	HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool)
}

// Owner keeps the partitions that this VM holds. It implements lease.PoolHandler for
// them. Its methods may be called from any goroutine.
type Owner struct {
	ownership Ownership
	clock     quartz.Clock
	limit     int

	mu         sync.RWMutex
	partitions map[inventory.PoolID]*locked
}

// locked is a partition with its lock. Lock order: Owner.mu, then locked.mu.
type locked struct {
	mu sync.Mutex
	*partition
}

// close ends the answers of requests that have found the partition already.
func (l *locked) close() {
	if l != nil {
		l.mu.Lock()
		l.exported = true
		l.mu.Unlock()
	}
}

// Option changes an Owner.
type Option func(*Owner)

// WithLimit sets the most records of a partition. The default is 16,384.
func WithLimit(records int) Option { return func(o *Owner) { o.limit = records } }

// NewOwner returns an Owner without partitions.
func NewOwner(ownership Ownership, clock quartz.Clock, options ...Option) *Owner {
	o := &Owner{ownership: ownership, clock: clock, limit: maxRecords, partitions: map[inventory.PoolID]*locked{}}
	for _, option := range options {
		option(o)
	}
	return o
}

// StartPool implements lease.PoolHandler. Without records in state, the partition
// grants nothing for Retention.
func (o *Owner) StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, _ bool) {
	p := newPartition(id, epoch, o.limit, state.GetClaims(), o.clock.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.partitions[id].close()
	o.partitions[id] = &locked{partition: p}
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

// ExportPool implements lease.PoolHandler: it ends all grants of a partition and
// returns its records.
func (o *Owner) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	p := o.get(id)
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &siblingpb.Handover{
		Service: id.Service, FailureDomain: id.FailureDomain, Epoch: p.epoch, Claims: p.export(o.clock.Now()),
	}
}

// Records returns the number of records of all held partitions.
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

func (o *Owner) get(id inventory.PoolID) *locked {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.partitions[id]
}

// Handle answers a receiver.
func (o *Owner) Handle(req *siblingpb.RegionClaim) *siblingpb.RegionClaimAnswer {
	d, n, valid := identify(req.GetDigest(), req.GetNonce())
	p := o.get(inventory.PoolID{Service: req.GetService(), FailureDomain: req.GetFailureDomain()})
	if p == nil || !valid {
		return answer(notOwner)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := o.clock.Now()
	if !o.owns(now, p.partition) {
		return answer(notOwner)
	}
	next := record{
		nonce: n, vm: vm.ID(req.GetVmId()), incarnation: req.GetIncarnation(),
		state: req.GetOp(), status: req.GetStatus(), at: now,
	}
	switch req.GetOp() {
	case stateDone, stateUnknown, stateReleased:
		return p.end(now, d, next)
	case stateClaimed:
	default:
		return answer(notOwner)
	}
	a, made := p.claim(now, d, next)
	// The lease may have ended since the first check, in a pause of the process.
	if a.Result == ok && !o.owns(o.clock.Now(), p.partition) {
		if made {
			delete(p.records, d)
		}
		return answer(notOwner)
	}
	return a
}

// owns reports whether this VM may answer for a partition now.
func (o *Owner) owns(now time.Time, p *partition) bool {
	if p.exported {
		return false
	}
	if m := o.ownership.Mode(now); m != lease.ModeValid && m != lease.ModeFull {
		return false
	}
	epoch, held := o.ownership.HeldEpoch(p.id)
	return held && epoch == p.epoch
}
