// Package holder implements the part of the request path that runs on the
// holder of a pool: it queues calls of the pools that this VM holds, assigns
// slots to them and sends them to targets.
package holder

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/admission"
	"goldcresthinge.example/goldcresthinge/internal/backend"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/probe"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Ownership reports which pools this VM may send calls to. lease.Manager
// implements it.
type Ownership interface {
	// Mode returns the current mode of the lease. It is called right before the
	// first byte of a request is sent and takes no lock.
	Mode(now time.Time) lease.Mode
	HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool)
}

// Sender sends a call to a target. It calls check right before the first byte
// and sends nothing if check returns an error. It keeps at most maxConns
// connections to the target open. backend.Sender implements it.
type Sender interface {
	Send(ctx context.Context, target inventory.Target, maxConns int, c *call.Call, check func() error) (*call.Answer, error)
}

// Config holds the dependencies and limits of a Holder. All fields are
// required.
type Config struct {
	Self      vm.Info
	Ownership Ownership
	Sender    Sender
	Snapshot  func() *inventory.Snapshot
	// Ready reports whether the configuration in force was confirmed recently
	// enough to start new calls; package rollout defines confirmed.
	Ready  func(now time.Time) bool
	Clock  quartz.Clock
	Logger log.Logger
	Scope  tally.Scope
	// QueueLimit is the highest number of calls waiting in the queue of one
	// pool.
	QueueLimit int
	// OnHandoverCallDone is called when a call ends that was in flight while
	// its pool was handed over. epoch is the one under which this VM served the
	// pool. The function must not block.
	OnHandoverCallDone func(id inventory.PoolID, epoch uint64, target string)
}

// Holder serves the pools that this VM holds. Its methods may be called from
// any goroutine. Lock order: Holder.mu, then heldPool.mu.
type Holder struct {
	cfg Config
	log log.Logger

	mu               sync.RWMutex
	pools            map[inventory.PoolID]*heldPool
	leavingAddresses map[string]bool // addresses that the platform's list of VMs last marked as leaving
	leavingReports   map[inventory.PoolID]leavingReport
}

// leavingReport holds the targets of a pool that its holder last reported as
// leaving; package pool defines the term.
type leavingReport struct {
	names      []string
	receivedAt time.Time
}

// leavingReportTTL is how long such a report is used by a VM that takes the
// pool over. After that time a leaving target has stopped or has returned to
// service.
const leavingReportTTL = 10 * time.Minute

// New returns a Holder without pools.
func New(cfg Config) *Holder {
	return &Holder{
		cfg:            cfg,
		log:            log.With(cfg.Logger, "part", "holder"),
		pools:          map[inventory.PoolID]*heldPool{},
		leavingReports: map[inventory.PoolID]leavingReport{},
	}
}

// SetLeavingTargets records which targets announced to the holder of a pool
// that they are leaving. The record has no effect until this VM takes the pool
// over without a handover.
func (h *Holder) SetLeavingTargets(id inventory.PoolID, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(names) == 0 {
		delete(h.leavingReports, id)
		return
	}
	h.leavingReports[id] = leavingReport{names: names, receivedAt: h.cfg.Clock.Now()}
}

// StartPool starts to serve a pool. handover holds the state from a planned
// handover; if it is nil, all targets are assumed to be cold. A pool whose
// service the configuration does not contain is not started.
func (h *Holder) StartPool(id inventory.PoolID, epoch uint64, handover *siblingpb.Handover, halfCap bool) {
	snap := h.cfg.Snapshot()
	svc := snap.Service(id.Service)
	if svc == nil {
		return
	}
	targets := snap.Targets(id)
	now := h.cfg.Clock.Now()
	state := pool.New(id, svc, targets, now, handoverFromProto(handover))
	state.SetHalfCap(halfCap)
	state.SetProbeBudget(now, h.probeBudget(snap, id))
	hp := &heldPool{
		holder: h, id: id, epoch: epoch, state: state,
		queue:   admission.New(h.cfg.QueueLimit),
		waiters: map[uint64]*waiter{},
		svc:     svc,
	}
	h.mu.Lock()
	// A target that the platform's list of VMs marks as leaving gets no calls
	// from a new holder either.
	for _, t := range targets {
		state.SetLeaving(t.Name, h.leavingAddresses[t.Address])
	}
	if report := h.leavingReports[id]; handover == nil && now.Sub(report.receivedAt) < leavingReportTTL {
		for _, name := range report.names {
			state.RecordLeaving(now, name)
		}
	}
	old := h.pools[id]
	h.pools[id] = hp
	h.mu.Unlock()
	if old != nil {
		old.close()
	}
	_ = level.Info(h.log).Log("msg", "started serving pool", "pool", id, "epoch", epoch, "targets", len(targets), "warm", handover != nil, "half_cap", halfCap)
}

// LiftHalfCap allows all slots of a pool that was taken over without a
// handover.
func (h *Holder) LiftHalfCap(id inventory.PoolID) {
	if hp := h.heldPool(id); hp != nil {
		hp.update(func(now time.Time) { hp.state.SetHalfCap(false) })
	}
}

// StopPool stops sending calls of a pool. Queued calls end as not run, so the
// entry VMs that received them can pick the new holder; calls in flight continue. It has no effect
// if the pool is held under a higher epoch.
func (h *Holder) StopPool(id inventory.PoolID, epoch uint64) {
	h.mu.Lock()
	hp := h.pools[id]
	if hp == nil || hp.epoch > epoch {
		h.mu.Unlock()
		return
	}
	delete(h.pools, id)
	h.mu.Unlock()
	hp.close()
	_ = level.Info(h.log).Log("msg", "stopped serving pool", "pool", id, "epoch", hp.epoch)
}

// ExportPool stops sending calls of a pool and returns its state for a planned
// handover, or nil if the pool is not held. The caller must then call StopPool,
// or StartPool if the handover failed.
func (h *Holder) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	hp := h.heldPool(id)
	if hp == nil {
		return nil
	}
	hp.mu.Lock()
	defer hp.mu.Unlock()
	hp.exported = true
	out := handoverToProto(id, hp.state.Export())
	out.Epoch = hp.epoch
	out.FromVm = string(h.cfg.Self.ID)
	return out
}

// PredecessorCallsDone frees the slots of calls of the previous holder that
// have ended.
func (h *Holder) PredecessorCallsDone(id inventory.PoolID, target string, calls int) {
	if hp := h.heldPool(id); hp != nil {
		hp.update(func(time.Time) { hp.state.PredecessorCallsDone(target, calls) })
	}
}

// ApplySnapshot applies a new configuration to the pools. It must be called in
// the order of versions.
func (h *Holder) ApplySnapshot(old, snap *inventory.Snapshot) {
	for _, hp := range h.heldPools() {
		svc, targets := snap.Service(hp.id.Service), snap.Targets(hp.id)
		if svc == nil || len(targets) == 0 {
			h.StopPool(hp.id, hp.epoch)
			continue
		}
		out := snap.OutOfService(hp.id.FailureDomain)
		returned := old != nil && old.OutOfService(hp.id.FailureDomain) && !out
		hp.update(func(now time.Time) {
			hp.svc = svc
			hp.state.Update(now, svc, targets)
			hp.state.SetProbeBudget(now, h.probeBudget(snap, hp.id))
			if returned {
				hp.state.AssumeCold(now, slowstart.DomainReturned)
			}
			if out {
				hp.refuseAll(outcome.NewUnavailable(outcome.ReasonOutOfService, 0))
			}
		})
	}
}

// probeBudget returns the part of the region's probe budget that belongs to a
// pool, in bytes/s. The parts of all pools add up to the budget.
func (h *Holder) probeBudget(snap *inventory.Snapshot, id inventory.PoolID) float64 {
	region := snap.RegionOf(id.FailureDomain)
	return probe.BudgetShare(snap.ProbeBytesPerSecond(region), len(snap.Targets(id)), snap.TargetCount(region))
}

// SetLeavingAddresses marks the targets with one of the addresses as leaving
// and all others as not leaving, according to the platform's list of VMs. Pools
// that are started later use the same addresses.
func (h *Holder) SetLeavingAddresses(addresses map[string]bool) {
	snap := h.cfg.Snapshot()
	h.mu.Lock()
	h.leavingAddresses = maps.Clone(addresses)
	h.mu.Unlock()
	for _, hp := range h.heldPools() {
		hp.update(func(time.Time) {
			for _, t := range snap.Targets(hp.id) {
				hp.state.SetLeaving(t.Name, addresses[t.Address])
			}
		})
	}
}

// FreeSlots returns, for each held pool of a service, the free slots less the
// waiting calls. The value may be negative. The map is nil if no pool is held.
func (h *Holder) FreeSlots(service string) map[inventory.PoolID]int {
	now := h.cfg.Clock.Now()
	var free map[inventory.PoolID]int
	for _, id := range h.cfg.Snapshot().Pools(service) {
		hp := h.heldPool(id)
		if hp == nil {
			continue
		}
		if free == nil {
			free = make(map[inventory.PoolID]int, 1)
		}
		slots, waiting := hp.counts(now)
		free[id] = slots - waiting
	}
	return free
}

// Load returns the load of a pool as it is reported to siblings, or nil if the
// pool is not held.
func (h *Holder) Load(id inventory.PoolID) *siblingpb.PoolLoad {
	hp := h.heldPool(id)
	if hp == nil {
		return nil
	}
	return hp.load(h.cfg.Clock.Now())
}

// Do runs c on a target of the pool that c names. The error is an
// *outcome.Error. The caller must close the body of the answer, which releases
// the slot.
func (h *Holder) Do(ctx context.Context, c *call.Call) (*call.Answer, error) {
	id := inventory.PoolID{Service: c.Service, FailureDomain: c.FailureDomain}
	hp := h.heldPool(id)
	if hp == nil {
		return nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	if refusal := h.checkRules(c, id); refusal != nil {
		return nil, refusal
	}
	slot, svc, err := hp.acquire(ctx, c)
	if err != nil {
		return nil, err
	}
	return hp.send(ctx, c, svc, slot)
}

// checkRules returns the refusal if the rules for failure domains and home
// regions or the readiness of this VM forbid a new call of the pool, and nil
// otherwise.
func (h *Holder) checkRules(c *call.Call, id inventory.PoolID) *outcome.Error {
	snap := h.cfg.Snapshot()
	if snap.OutOfService(id.FailureDomain) {
		return outcome.NewUnavailable(outcome.ReasonOutOfService, 0)
	}
	if !inHomeRegions(c.HomeRegions, h.cfg.Self.Region) || !homeRegionAllowed(snap, c, h.cfg.Self.Region) {
		return outcome.NewNotRun(http.StatusMisdirectedRequest, outcome.ReasonWrongRegion, "")
	}
	if !h.cfg.Ready(h.cfg.Clock.Now()) {
		return outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return nil
}

// checkBeforeSend returns why a call may not be sent at this moment, or nil.
func (h *Holder) checkBeforeSend(c *call.Call, hp *heldPool) *outcome.Error {
	now := h.cfg.Clock.Now()
	if refusal := h.checkRules(c, hp.id); refusal != nil {
		return refusal
	}
	if h.cfg.Ownership.Mode(now) == lease.ModeLost {
		return outcome.NewUnavailable(outcome.ReasonLeaseLost, 0)
	}
	epoch, ok := h.cfg.Ownership.HeldEpoch(hp.id)
	if !ok || epoch != hp.epoch {
		return outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	if !now.Before(c.Deadline) {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	}
	return nil
}

func (h *Holder) heldPool(id inventory.PoolID) *heldPool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.pools[id]
}

func (h *Holder) heldPools() []*heldPool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]*heldPool, 0, len(h.pools))
	for _, hp := range h.pools {
		out = append(out, hp)
	}
	return out
}

// Idle reports whether no call is waiting in the queue of a held pool. It does
// not consider calls in flight.
func (h *Holder) Idle() bool {
	for _, hp := range h.heldPools() {
		load := hp.load(h.cfg.Clock.Now())
		if load.GetWaiting() > 0 {
			return false
		}
	}
	return true
}

func inHomeRegions(regions []string, region string) bool {
	if len(regions) == 0 {
		return true
	}
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return false
}

// homeRegionAllowed checks the home regions in this VM's own configuration,
// because the entry VM that received the call may have used an older version.
func homeRegionAllowed(snap *inventory.Snapshot, c *call.Call, region string) bool {
	route := snap.RouteByName(c.Route)
	if route == nil {
		return true
	}
	regions, restricted := snap.HomeRegions(route, c.Tenant)
	// A restriction without regions allows no region, while inHomeRegions takes
	// an empty list as all regions.
	return !restricted || (len(regions) > 0 && inHomeRegions(regions, region))
}

func jitter() float64 { return rand.Float64() }

var _ Sender = (*backend.Sender)(nil)
