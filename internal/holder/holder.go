// Package holder is the holder side of the request path: it queues calls of
// the pools that this VM holds, gives them slots, and sends them to targets.
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

// Ownership says what this VM may send. lease.Manager implements it.
type Ownership interface {
	// Mode is called right before the first byte and takes no lock.
	Mode(now time.Time) lease.Mode
	HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool)
}

// Sender sends one call to one target. backend.Sender implements it.
type Sender interface {
	Send(ctx context.Context, target inventory.Target, connections int, c *call.Call, check func() error) (*call.Answer, error)
}

// Config holds what a Holder needs. All fields are required.
type Config struct {
	Self      vm.Info
	Ownership Ownership
	Sender    Sender
	Snapshot  func() *inventory.Snapshot
	// Ready reports whether the configuration in force is confirmed well
	// enough to start new work.
	Ready  func(now time.Time) bool
	Clock  quartz.Clock
	Logger log.Logger
	Scope  tally.Scope
	// QueueLimit bounds the queue of a pool. Unit: calls.
	QueueLimit int
	// OnHandoverCallDone is told when a call ends that was in flight while its pool was
	// handed over. It must not block.
	OnHandoverCallDone func(id inventory.PoolID, epoch uint64, target string)
}

// Holder owns the pools of this VM. Its methods may be called from any
// goroutine. Lock order: Holder.mu, then held.mu.
type Holder struct {
	cfg Config
	log log.Logger

	mu      sync.RWMutex
	pools   map[inventory.PoolID]*held
	leaving map[string]bool // addresses as the list of VMs last said
	told    map[inventory.PoolID]toldLeaving
}

// toldLeaving is what the holder of a pool last said of its leaving targets.
type toldLeaving struct {
	names []string
	at    time.Time
}

// toldAge is how long that counts for a VM that takes the pool over. A target
// that drains is gone by then or has returned.
const toldAge = 10 * time.Minute

// New returns a Holder without pools.
func New(cfg Config) *Holder {
	return &Holder{
		cfg:   cfg,
		log:   log.With(cfg.Logger, "part", "holder"),
		pools: map[inventory.PoolID]*held{},
		told:  map[inventory.PoolID]toldLeaving{},
	}
}

// SetLeavingTargets records which targets announced their leaving to the holder of a
// pool, for the case that this VM takes the pool over without handover.
func (h *Holder) SetLeavingTargets(id inventory.PoolID, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(names) == 0 {
		delete(h.told, id)
		return
	}
	h.told[id] = toldLeaving{names: names, at: h.cfg.Clock.Now()}
}

// StartPool starts to serve a pool. state is that of a planned handover, or
// nil, in which case all targets are assumed cold.
func (h *Holder) StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, halfCap bool) {
	snap := h.cfg.Snapshot()
	svc := snap.Service(id.Service)
	if svc == nil {
		return
	}
	targets := snap.Targets(id)
	now := h.cfg.Clock.Now()
	st := pool.New(id, svc, targets, now, handoverFromProto(state))
	st.SetHalfCap(halfCap)
	st.SetProbeBudget(now, h.measureBudget(snap, id))
	entry := &held{
		holder: h, id: id, epoch: epoch, state: st,
		queue:   admission.New(h.cfg.QueueLimit),
		waiters: map[uint64]*waiter{},
		svc:     svc,
	}
	h.mu.Lock()
	// A target that has been leaving for long gets no call of a new holder.
	for _, t := range targets {
		st.SetLeaving(t.Name, h.leaving[t.Address])
	}
	if told := h.told[id]; state == nil && now.Sub(told.at) < toldAge {
		for _, name := range told.names {
			st.NoteLeaving(now, name)
		}
	}
	old := h.pools[id]
	h.pools[id] = entry
	h.mu.Unlock()
	if old != nil {
		old.close()
	}
	_ = level.Info(h.log).Log("msg", "pool taken", "pool", id, "epoch", epoch, "targets", len(targets), "warm", state != nil, "half_cap", halfCap)
}

// LiftHalfCap allows all slots of a pool that was taken without handover.
func (h *Holder) LiftHalfCap(id inventory.PoolID) {
	if e := h.get(id); e != nil {
		e.with(func(now time.Time) { e.state.SetHalfCap(false) })
	}
}

// StopPool stops new sends of a pool. Queued calls end as not run, so that
// their receivers pick the new holder; calls in flight go on.
func (h *Holder) StopPool(id inventory.PoolID, epoch uint64) {
	h.mu.Lock()
	e := h.pools[id]
	if e == nil || e.epoch > epoch {
		h.mu.Unlock()
		return
	}
	delete(h.pools, id)
	h.mu.Unlock()
	e.close()
	_ = level.Info(h.log).Log("msg", "pool dropped", "pool", id, "epoch", e.epoch)
}

// ExportPool stops new sends of a pool and returns its state for a planned
// handover, or nil. StopPool follows, or StartPool if the handover failed.
func (h *Holder) ExportPool(id inventory.PoolID) *siblingpb.Handover {
	e := h.get(id)
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exported = true
	out := handoverToProto(id, e.state.Export())
	out.Epoch = e.epoch
	out.FromVm = string(h.cfg.Self.ID)
	return out
}

// PredecessorCallsDone frees slots that calls of the former holder used.
func (h *Holder) PredecessorCallsDone(id inventory.PoolID, target string, calls int) {
	if e := h.get(id); e != nil {
		e.with(func(time.Time) { e.state.PredecessorCallsDone(target, calls) })
	}
}

// ApplySnapshot brings the pools to a new configuration. It is called in the
// order of versions.
func (h *Holder) ApplySnapshot(old, snap *inventory.Snapshot) {
	for _, e := range h.all() {
		svc, targets := snap.Service(e.id.Service), snap.Targets(e.id)
		if svc == nil || len(targets) == 0 {
			h.StopPool(e.id, e.epoch)
			continue
		}
		out := snap.OutOfService(e.id.FailureDomain)
		returned := old != nil && old.OutOfService(e.id.FailureDomain) && !out
		e.with(func(now time.Time) {
			e.svc = svc
			e.state.Update(now, svc, targets)
			e.state.SetProbeBudget(now, h.measureBudget(snap, e.id))
			if returned {
				e.state.AssumeCold(now, slowstart.DomainReturned)
			}
			if out {
				e.refuseAll(outcome.NewUnavailable(outcome.ReasonOutOfService, 0))
			}
		})
	}
}

// measureBudget returns the part of the region's measuring budget that belongs
// to a pool, in bytes/s. The parts of all pools add up to the budget.
func (h *Holder) measureBudget(snap *inventory.Snapshot, id inventory.PoolID) float64 {
	region := snap.RegionOf(id.FailureDomain)
	return probe.BudgetShare(snap.ProbeBytesPerSecond(region), len(snap.Targets(id)), snap.TargetCount(region))
}

// SetLeavingAddresses marks the targets with one of the addresses as leaving and all
// others as staying, as the platform's list of VMs says. Pools that are taken
// later start with it.
func (h *Holder) SetLeavingAddresses(addresses map[string]bool) {
	snap := h.cfg.Snapshot()
	h.mu.Lock()
	h.leaving = maps.Clone(addresses)
	h.mu.Unlock()
	for _, e := range h.all() {
		e.with(func(time.Time) {
			for _, t := range snap.Targets(e.id) {
				e.state.SetLeaving(t.Name, addresses[t.Address])
			}
		})
	}
}

// FreeSlots returns the free slots of the held pools of a service. A negative number
// is the number of waiting calls.
func (h *Holder) FreeSlots(service string) map[inventory.PoolID]int {
	now := h.cfg.Clock.Now()
	var free map[inventory.PoolID]int
	for _, id := range h.cfg.Snapshot().Pools(service) {
		e := h.get(id)
		if e == nil {
			continue
		}
		if free == nil {
			free = make(map[inventory.PoolID]int, 1)
		}
		slots, waiting := e.counts(now)
		free[id] = slots - waiting
	}
	return free
}

// Load returns the load news of a pool for siblings, or nil.
func (h *Holder) Load(id inventory.PoolID) *siblingpb.PoolLoad {
	e := h.get(id)
	if e == nil {
		return nil
	}
	return e.load(h.cfg.Clock.Now())
}

// Do runs c on a target of the pool that c names. The error is an
// *outcome.Error. The caller must close the answer's body, which gives the
// slot back.
func (h *Holder) Do(ctx context.Context, c *call.Call) (*call.Answer, error) {
	id := inventory.PoolID{Service: c.Service, FailureDomain: c.FailureDomain}
	e := h.get(id)
	if e == nil {
		return nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	if refusal := h.refusal(c, id); refusal != nil {
		return nil, refusal
	}
	grant, svc, err := e.acquire(ctx, c)
	if err != nil {
		return nil, err
	}
	return e.send(ctx, c, svc, grant)
}

// refusal checks the rules that forbid new work of a pool.
func (h *Holder) refusal(c *call.Call, id inventory.PoolID) *outcome.Error {
	snap := h.cfg.Snapshot()
	if snap.OutOfService(id.FailureDomain) {
		return outcome.NewUnavailable(outcome.ReasonOutOfService, 0)
	}
	if !inHomeRegions(c.HomeRegions, h.cfg.Self.Region) || !boundHere(snap, c, h.cfg.Self.Region) {
		return outcome.NewNotRun(http.StatusMisdirectedRequest, outcome.ReasonWrongRegion, "")
	}
	if !h.cfg.Ready(h.cfg.Clock.Now()) {
		return outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return nil
}

// check returns why a call may not be sent at this moment, or nil.
func (h *Holder) check(c *call.Call, e *held) *outcome.Error {
	now := h.cfg.Clock.Now()
	if refusal := h.refusal(c, e.id); refusal != nil {
		return refusal
	}
	if h.cfg.Ownership.Mode(now) == lease.ModeLost {
		return outcome.NewUnavailable(outcome.ReasonLeaseLost, 0)
	}
	epoch, ok := h.cfg.Ownership.HeldEpoch(e.id)
	if !ok || epoch != e.epoch {
		return outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	if !now.Before(c.Deadline) {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.ReasonDeadline, Status: http.StatusGatewayTimeout}
	}
	return nil
}

func (h *Holder) get(id inventory.PoolID) *held {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.pools[id]
}

func (h *Holder) all() []*held {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]*held, 0, len(h.pools))
	for _, e := range h.pools {
		out = append(out, e)
	}
	return out
}

// Idle reports whether no call is queued or in flight.
func (h *Holder) Idle() bool {
	for _, e := range h.all() {
		load := e.load(h.cfg.Clock.Now())
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

// boundHere checks the rules of this VM's own configuration, since the
// receiver may have had an older one.
func boundHere(snap *inventory.Snapshot, c *call.Call, region string) bool {
	route := snap.RouteByName(c.Route)
	if route == nil {
		return true
	}
	regions, bound := snap.HomeRegions(route, c.Tenant)
	return !bound || (len(regions) > 0 && inHomeRegions(regions, region))
}

func jitter() float64 { return rand.Float64() }

var _ Sender = (*backend.Sender)(nil)
