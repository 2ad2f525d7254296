package lease

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/ansel1/merry/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// tickEvery bounds how late a due decision is taken.
const tickEvery = 50 * time.Millisecond

// PoolHandler is implemented by the holder. The manager calls it in the order of its
// decisions while it holds its lock; implementations must not call back into
// methods of the manager that change it, and must not block.
type PoolHandler interface {
	// StartPool starts to serve a pool. state is nil without a handover. halfCap
	// keeps each target at ceil(slots/2) until LiftHalfCap.
	StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, halfCap bool)
	LiftHalfCap(id inventory.PoolID)
	// StopPool ends all new sends of a pool. It also follows ExportPool once
	// the successor is in the assignment row.
	StopPool(id inventory.PoolID, epoch uint64)
	// ExportPool stops new sends of a pool and returns its state. StopPool
	// follows, or StartPool with the state if the handover failed.
	ExportPool(id inventory.PoolID) *siblingpb.Handover
}

// Config holds what a Manager needs. All fields but Seed and Workers are
// required.
type Config struct {
	Self         vm.Info // Incarnation is ignored
	Table        platform.Table
	Pools        PoolHandler
	Snapshot     func() *inventory.Snapshot // nil before the first version
	RoundTripper membership.RoundTripper
	Clock        quartz.Clock
	Logger       log.Logger
	Seed         uint64 // of the jitter
	// Workers runs requests; nil: a pool of 4. It must not be shared with work
	// that can fill it, because renewals would wait.
	Workers pond.Pool
}

// Manager keeps the lease of this VM and the pools it serves. All methods may
// be called from any goroutine.
type Manager struct {
	cfg      Config
	workers  pond.Pool
	released chan struct{}
	win      atomic.Pointer[window]
	view     atomic.Pointer[view]

	mu      sync.Mutex
	core    *core
	beat    func()
	ctx     context.Context
	exports uint64 // number of the last ExportPool
}

// NewManager returns a manager that does nothing before Run.
func NewManager(cfg Config) *Manager {
	if cfg.Workers == nil {
		cfg.Workers = pond.NewPool(4)
	}
	k := &Manager{cfg: cfg, workers: cfg.Workers, released: make(chan struct{}), beat: func() {}, ctx: context.Background()}
	k.core = newCore(cfg.Self, cfg.Clock.Now(), cfg.Seed, newIncarnation, cfg.Snapshot)
	k.win.Store(&window{})
	k.view.Store(k.core.buildView())
	return k
}

// newIncarnation draws a random incarnation. crypto/rand.Read never fails.
func newIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if inc := binary.LittleEndian.Uint64(b[:]); inc != 0 {
			return inc
		}
	}
}

// SetMembership connects the membership table before Run: beat sends heartbeats soon
// and must not block, gone reports VMs that the platform's list no longer has.
func (k *Manager) SetMembership(beat func(), gone func(vm.ID) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.beat, k.core.gone = beat, gone
}

// Run keeps the lease until ctx ends, then stops the workers. It drops no pools
// at the end; use Release for a planned stop.
func (k *Manager) Run(ctx context.Context) error {
	defer k.workers.StopAndWait()
	k.mu.Lock()
	k.ctx = ctx
	k.mu.Unlock()
	err := k.cfg.Clock.TickerFunc(ctx, tickEvery, func() error {
		k.step(func(now time.Time) { k.core.tick(now) })
		return nil
	}, "lease").Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// step lets the core handle one event and carries out its actions.
func (k *Manager) step(event func(now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	gen := k.core.gen
	event(k.cfg.Clock.Now())
	k.win.Store(k.core.win)
	if gen != k.core.gen {
		k.view.Store(k.core.buildView())
	}
	for _, a := range k.core.drain() {
		k.do(a)
	}
}

// do carries out one action. It runs under the lock; requests go to workers.
func (k *Manager) do(a action) {
	switch a.kind {
	case actTake:
		k.cfg.Pools.StartPool(a.pool, a.epoch, a.state, a.halfCap)
	case actLift:
		k.cfg.Pools.LiftHalfCap(a.pool)
	case actDrop:
		k.cfg.Pools.StopPool(a.pool, a.epoch)
	case actBeat:
		k.beat()
	case actLog:
		_ = k.cfg.Logger.Log("part", "lease", "msg", a.text)
	case actReleased:
		close(k.released)
	case actSend:
		a.state = k.cfg.Pools.ExportPool(a.pool)
		if a.state == nil {
			a.state = &siblingpb.Handover{}
		}
		a.state.Service, a.state.FailureDomain = a.pool.Service, a.pool.FailureDomain
		k.exports++
		a.state.Export = k.exports
		a.state.Epoch, a.state.FromVm, a.state.ToIncarnation = a.epoch, string(k.cfg.Self.ID), a.to.Incarnation
		k.submit(a)
	default:
		k.submit(a)
	}
}

// submit fails only after the end of Run, when no result is needed.
func (k *Manager) submit(a action) {
	_ = k.workers.Go(func() { k.request(a) })
}

// request sends one request and reports its result to the core.
func (k *Manager) request(a action) {
	k.mu.Lock()
	ctx := k.ctx
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, OpTimeout)
	defer cancel()
	var rows []platform.Row
	var row platform.Row
	var err error
	switch a.kind {
	case actLease:
		rows, err = k.cfg.Table.Commit(ctx, a.ops)
		k.step(func(now time.Time) { k.core.leaseDone(now, a.seq, rows, err) })
	case actReadOwn:
		row, err = k.cfg.Table.Get(ctx, a.key)
		row.Key = a.key
		k.step(func(now time.Time) { k.core.ownRead(now, a.seq, row, err) })
	case actScan:
		var res scanResult
		region := k.cfg.Self.Region
		if res.pools, err = k.cfg.Table.Scan(ctx, poolsPrefix(region), scanLimit); err == nil {
			res.vms, err = k.cfg.Table.Scan(ctx, vmKey(region, ""), scanLimit)
		}
		k.step(func(now time.Time) { k.core.scanDone(now, res, err) })
	case actReadRow:
		row, err = k.cfg.Table.Get(ctx, a.key)
		row.Key = a.key
		k.step(func(now time.Time) { k.core.rowRead(now, row, err) })
	case actScanAll:
		rows, err = k.cfg.Table.Scan(ctx, vmPrefix, scanLimit)
		k.step(func(now time.Time) { k.core.scanAllDone(now, rows, err) })
	case actCommit:
		rows, err = k.cfg.Table.Commit(ctx, a.ops)
		k.step(func(now time.Time) { k.core.commitDone(now, rows, err) })
	case actSend:
		resp, err := k.exchange(ctx, a.to, a.state)
		ok := err == nil && resp.GetAck().GetOk()
		k.step(func(now time.Time) { k.core.handoverSent(now, a.state, ok) })
	case actNotice:
		// A lost notice only delays the successor until its next scan.
		_, err := k.exchange(ctx, a.to, &siblingpb.Handover{
			Service: a.pool.Service, FailureDomain: a.pool.FailureDomain, Epoch: a.epoch,
			FromVm: string(k.cfg.Self.ID), ToIncarnation: a.to.Incarnation, Committed: true,
		})
		if err != nil {
			_ = k.cfg.Logger.Log("part", "lease", "msg", "handover notice failed", "to", a.to.ID, "err", err)
		}
	}
}

func (k *Manager) exchange(ctx context.Context, to vm.Info, h *siblingpb.Handover) (*siblingpb.Response, error) {
	return k.cfg.RoundTripper.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_Handover{Handover: h}})
}

// Mode says what may be sent now. It takes no lock.
func (k *Manager) Mode(now time.Time) Mode { return k.win.Load().mode(now) }

// HeldEpoch returns the epoch of a pool that this VM serves.
func (k *Manager) HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool) {
	epoch, ok = k.view.Load().held[id]
	return epoch, ok
}

// HolderOf returns the holder of a pool of the own region, as last read.
func (k *Manager) HolderOf(id inventory.PoolID) (vm.Info, bool) {
	v, ok := k.view.Load().holders[id]
	return v, ok
}

// RegionVMs returns the registered VMs of the own region, this one included,
// sorted by ID. The caller must not change the slice.
func (k *Manager) RegionVMs() []vm.Info { return k.view.Load().members }

// Siblings returns all other VMs with a lease row that is not released, of all
// regions, sorted by ID. The caller must not change the slice.
func (k *Manager) Siblings() []vm.Info { return k.view.Load().siblings }

// Alive reports whether the lease of an incarnation may still run. It returns
// false for an incarnation that is not known. The end of a lease of another
// region is known only after up to 100 s.
func (k *Manager) Alive(id vm.ID, incarnation uint64) bool {
	return k.view.Load().alive(k.cfg.Clock.Now(), k.cfg.Self.ID, id, incarnation)
}

// Incarnation returns the incarnation under which this VM is registered, or 0.
func (k *Manager) Incarnation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.own.incarnation
}

// Leave starts a planned stop: siblings no longer choose this VM, and its
// pools move to others. Pools without a successor stay until Release.
func (k *Manager) Leave() {
	k.step(func(now time.Time) { k.core.startLeave(now, false) })
}

// Release ends the lease in a planned stop: it hands over all pools, drops
// those without a successor and marks the lease row released. It needs Run. It
// returns an error if ctx ends before; the pools are then still held.
func (k *Manager) Release(ctx context.Context) error {
	k.step(func(now time.Time) { k.core.startLeave(now, true) })
	select {
	case <-k.released:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "release lease")
	}
}

// HandleHandover takes the message of a predecessor.
func (k *Manager) HandleHandover(h *siblingpb.Handover) *siblingpb.Ack {
	ok := false
	k.step(func(now time.Time) { ok = k.core.handoverIn(now, h) })
	if !ok {
		return &siblingpb.Ack{Error: "pool not accepted"}
	}
	return &siblingpb.Ack{Ok: true}
}

// FillHeartbeat writes the fields of the lease into a heartbeat to be sent and
// returns the incarnation it is sent under.
func (k *Manager) FillHeartbeat(hb *siblingpb.Heartbeat) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.fill(k.cfg.Clock.Now(), hb)
	return hb.Incarnation
}

// HandleHeartbeat takes a heartbeat and fills the answer to it.
func (k *Manager) HandleHeartbeat(req, answer *siblingpb.Heartbeat) {
	k.step(func(now time.Time) { k.core.answer(now, req, answer) })
}

// HandleHeartbeatResponse takes the answer to a heartbeat that was written after
// wrote under the incarnation sentAs.
func (k *Manager) HandleHeartbeatResponse(wrote time.Time, sentAs uint64, answer *siblingpb.Heartbeat) {
	k.step(func(now time.Time) { k.core.heardReply(now, wrote, sentAs, answer) })
}
