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

// tickInterval is the interval of core.tick and limits how late a decision that
// depends on time is taken.
const tickInterval = 50 * time.Millisecond

// PoolHandler starts and stops pools on behalf of a Manager. The manager calls
// it in the order of its decisions while it holds its lock. Implementations
// must not block and must not call methods of the manager that change its
// state.
type PoolHandler interface {
	// StartPool starts to serve a pool. state is nil if no state was handed
	// over. If halfCap is set, each target is limited to ceil(slots/2) until
	// LiftHalfCap is called.
	StartPool(id inventory.PoolID, epoch uint64, state *siblingpb.Handover, halfCap bool)
	LiftHalfCap(id inventory.PoolID)
	// StopPool allows no new sends of a pool. It is also called after
	// ExportPool, once the assignment row names the successor.
	StopPool(id inventory.PoolID, epoch uint64)
	// ExportPool stops new sends of a pool and returns its state. The manager
	// then calls StopPool, or StartPool with the same state if the handover
	// failed.
	ExportPool(id inventory.PoolID) *siblingpb.Handover
}

// Config holds the settings and dependencies of a Manager. All fields except
// Seed and Workers are required.
type Config struct {
	Self         vm.Info // Incarnation is ignored; the manager chooses it
	Table        platform.Table
	Pools        PoolHandler
	Snapshot     func() *inventory.Snapshot // returns nil before the first configuration version
	RoundTripper membership.RoundTripper
	Clock        quartz.Clock
	Logger       log.Logger
	Seed         uint64 // seed of the random jitter
	// Workers runs requests to the table and to siblings; nil means a pool of 4
	// workers. It must not be shared with work that can occupy all workers,
	// because lease renewals would be delayed.
	Workers pond.Pool
}

// Manager keeps the lease of this VM and decides which pools it serves. All
// methods are safe for concurrent use.
type Manager struct {
	cfg       Config
	workers   pond.Pool
	released  chan struct{}
	modeTimes atomic.Pointer[modeTimes]
	view      atomic.Pointer[view]

	mu             sync.Mutex
	core           *core
	sendHeartbeats func()
	ctx            context.Context
	exportCount    uint64 // number of the last call of ExportPool
}

// NewManager returns a manager that does nothing until Run is called.
func NewManager(cfg Config) *Manager {
	if cfg.Workers == nil {
		cfg.Workers = pond.NewPool(4)
	}
	m := &Manager{cfg: cfg, workers: cfg.Workers, released: make(chan struct{}), sendHeartbeats: func() {}, ctx: context.Background()}
	m.core = newCore(cfg.Self, cfg.Clock.Now(), cfg.Seed, newIncarnation, cfg.Snapshot)
	m.modeTimes.Store(&modeTimes{})
	m.view.Store(m.core.buildView())
	return m
}

// newIncarnation returns a random incarnation other than 0. crypto/rand.Read
// never fails.
func newIncarnation() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if inc := binary.LittleEndian.Uint64(b[:]); inc != 0 {
			return inc
		}
	}
}

// SetMembership connects the manager to the membership tracker. It must be
// called before Run. sendHeartbeats requests heartbeats to the siblings of
// the own region soon and must not block; removed reports whether the platform's VM list no longer
// contains a VM.
func (m *Manager) SetMembership(sendHeartbeats func(), removed func(vm.ID) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendHeartbeats, m.core.removedFromPlatform = sendHeartbeats, removed
}

// Run keeps the lease until ctx ends, then stops the workers, also those passed
// in Config. It returns nil if ctx ended. It does not stop pools or release the
// lease; use Release for a planned stop.
func (m *Manager) Run(ctx context.Context) error {
	defer m.workers.StopAndWait()
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	err := m.cfg.Clock.TickerFunc(ctx, tickInterval, func() error {
		m.handleEvent(func(now time.Time) { m.core.tick(now) })
		return nil
	}, "lease").Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// handleEvent passes one event to the core, publishes the new state and
// executes the resulting actions.
func (m *Manager) handleEvent(event func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	generation := m.core.viewGeneration
	event(m.cfg.Clock.Now())
	m.modeTimes.Store(m.core.modeTimes)
	if generation != m.core.viewGeneration {
		m.view.Store(m.core.buildView())
	}
	for _, a := range m.core.takeActions() {
		m.execute(a)
	}
}

// execute carries out one action. The caller holds mu; requests run on the
// workers.
func (m *Manager) execute(a action) {
	switch a.kind {
	case actStartPool:
		m.cfg.Pools.StartPool(a.pool, a.epoch, a.state, a.halfCap)
	case actLiftHalfCap:
		m.cfg.Pools.LiftHalfCap(a.pool)
	case actStopPool:
		m.cfg.Pools.StopPool(a.pool, a.epoch)
	case actSendHeartbeats:
		m.sendHeartbeats()
	case actLog:
		_ = m.cfg.Logger.Log("part", "lease", "msg", a.message)
	case actReportReleased:
		close(m.released)
	case actSendHandover:
		a.state = m.cfg.Pools.ExportPool(a.pool)
		if a.state == nil {
			a.state = &siblingpb.Handover{}
		}
		a.state.Service, a.state.FailureDomain = a.pool.Service, a.pool.FailureDomain
		m.exportCount++
		a.state.Export = m.exportCount
		a.state.Epoch, a.state.FromVm, a.state.ToIncarnation = a.epoch, string(m.cfg.Self.ID), a.successor.Incarnation
		m.submit(a)
	default:
		m.submit(a)
	}
}

// submit runs an action on the workers. Submitting fails only after the end of
// Run, when no result is needed.
func (m *Manager) submit(a action) {
	_ = m.workers.Go(func() { m.runRequest(a) })
}

// runRequest sends the request of an action and passes its result to the core.
func (m *Manager) runRequest(a action) {
	m.mu.Lock()
	ctx := m.ctx
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	var rows []platform.Row
	var row platform.Row
	var err error
	switch a.kind {
	case actWriteLease:
		rows, err = m.cfg.Table.Commit(ctx, a.ops)
		m.handleEvent(func(now time.Time) { m.core.leaseWriteDone(now, a.seq, rows, err) })
	case actReadLease:
		row, err = m.cfg.Table.Get(ctx, a.key)
		row.Key = a.key
		m.handleEvent(func(now time.Time) { m.core.leaseReadDone(now, a.seq, row, err) })
	case actScanRegion:
		var res scanResult
		region := m.cfg.Self.Region
		if res.assignments, err = m.cfg.Table.Scan(ctx, poolsPrefix(region), maxScanRows); err == nil {
			res.leases, err = m.cfg.Table.Scan(ctx, vmKey(region, ""), maxScanRows)
		}
		m.handleEvent(func(now time.Time) { m.core.regionScanDone(now, res, err) })
	case actReadAssignments:
		row, err = m.cfg.Table.Get(ctx, a.key)
		row.Key = a.key
		m.handleEvent(func(now time.Time) { m.core.assignmentReadDone(now, row, err) })
	case actScanAllRegions:
		rows, err = m.cfg.Table.Scan(ctx, vmPrefix, maxScanRows)
		m.handleEvent(func(now time.Time) { m.core.allRegionsScanDone(now, rows, err) })
	case actCommitAssignments:
		rows, err = m.cfg.Table.Commit(ctx, a.ops)
		m.handleEvent(func(now time.Time) { m.core.commitDone(now, rows, err) })
	case actSendHandover:
		resp, err := m.sendHandover(ctx, a.successor, a.state)
		ok := err == nil && resp.GetAck().GetOk()
		m.handleEvent(func(now time.Time) { m.core.handoverSendDone(now, a.state, ok) })
	case actNotifySuccessor:
		// If this message is lost, the successor starts the pool only after its
		// next scan.
		_, err := m.sendHandover(ctx, a.successor, &siblingpb.Handover{
			Service: a.pool.Service, FailureDomain: a.pool.FailureDomain, Epoch: a.epoch,
			FromVm: string(m.cfg.Self.ID), ToIncarnation: a.successor.Incarnation, Committed: true,
		})
		if err != nil {
			_ = m.cfg.Logger.Log("part", "lease", "msg", "could not tell the successor that a handover is committed; it starts the pool after its next scan", "to", a.successor.ID, "err", err)
		}
	}
}

func (m *Manager) sendHandover(ctx context.Context, to vm.Info, h *siblingpb.Handover) (*siblingpb.Response, error) {
	return m.cfg.RoundTripper.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_Handover{Handover: h}})
}

// Mode returns the mode of the lease at time now, which limits the calls that
// this VM may send. It takes no lock.
func (m *Manager) Mode(now time.Time) Mode { return m.modeTimes.Load().mode(now) }

// HeldEpoch returns the epoch of a pool that this VM serves. ok is false if it
// does not serve the pool.
func (m *Manager) HeldEpoch(id inventory.PoolID) (epoch uint64, ok bool) {
	epoch, ok = m.view.Load().held[id]
	return epoch, ok
}

// HolderOf returns the holder of a pool of this region according to the
// assignment and lease rows as last read, and whether there is one.
func (m *Manager) HolderOf(id inventory.PoolID) (vm.Info, bool) {
	v, ok := m.view.Load().holders[id]
	return v, ok
}

// RegionVMs returns the registered VMs of this region including this one,
// sorted by ID. The caller must not change the slice.
func (m *Manager) RegionVMs() []vm.Info { return m.view.Load().members }

// Siblings returns the other VMs of this region with a lease row that is not
// released and those of other regions with an active one, sorted by ID. The
// caller must not change the slice.
func (m *Manager) Siblings() []vm.Info { return m.view.Load().siblings }

// Alive reports whether the lease of an incarnation may still be running. It
// returns false for an unknown incarnation. The end of a lease in another
// region is noticed only after up to 100 s.
func (m *Manager) Alive(id vm.ID, incarnation uint64) bool {
	return m.view.Load().alive(m.cfg.Clock.Now(), m.cfg.Self.ID, id, incarnation)
}

// Incarnation returns the incarnation under which this VM is registered, or 0
// if it is not registered.
func (m *Manager) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.own.incarnation
}

// Leave starts a planned stop: siblings no longer choose this VM as a
// successor, and its pools are handed over. Pools without a successor are kept
// until Release.
func (m *Manager) Leave() {
	m.handleEvent(func(now time.Time) { m.core.startLeave(now, false) })
}

// Release completes a planned stop: it hands over all pools, stops those
// without a successor and marks the lease row as released. Run must be running.
// If ctx ends first, Release returns an error, and pools that were not handed
// over may still be held.
func (m *Manager) Release(ctx context.Context) error {
	m.handleEvent(func(now time.Time) { m.core.startLeave(now, true) })
	select {
	case <-m.released:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "release lease")
	}
}

// HandleHandover handles a handover message of the former holder of a pool.
func (m *Manager) HandleHandover(h *siblingpb.Handover) *siblingpb.Ack {
	accepted := false
	m.handleEvent(func(now time.Time) { accepted = m.core.receiveHandover(now, h) })
	if !accepted {
		return &siblingpb.Ack{Error: "pool not accepted"}
	}
	return &siblingpb.Ack{Ok: true}
}

// FillHeartbeat writes the lease fields of a heartbeat that is about to be
// sent. It returns the incarnation under which the heartbeat is sent.
func (m *Manager) FillHeartbeat(hb *siblingpb.Heartbeat) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.fillHeartbeat(m.cfg.Clock.Now(), hb)
	return hb.Incarnation
}

// HandleHeartbeat handles the heartbeat req of a sibling and fills in the lease
// fields of answer.
func (m *Manager) HandleHeartbeat(req, answer *siblingpb.Heartbeat) {
	m.handleEvent(func(now time.Time) { m.core.answerHeartbeat(now, req, answer) })
}

// HandleHeartbeatResponse handles the answer to a heartbeat that was sent under
// the incarnation sentIncarnation. sentAt must be a time before the heartbeat
// was written.
func (m *Manager) HandleHeartbeatResponse(sentAt time.Time, sentIncarnation uint64, answer *siblingpb.Heartbeat) {
	m.handleEvent(func(now time.Time) { m.core.handleHeartbeatAnswer(now, sentAt, sentIncarnation, answer) })
}
