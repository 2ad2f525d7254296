package lease_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// memTable is a platform.Table in memory without faults. It counts requests.
type memTable struct {
	mu                       sync.Mutex
	rows                     map[string]platform.Row
	lastVersion              uint64
	reads, writes, readBytes int
}

func (m *memTable) Get(_ context.Context, key string) (platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	row, ok := m.rows[key]
	m.readBytes += len(key) + len(row.Value)
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (m *memTable) Scan(_ context.Context, prefix string, _ int) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var out []platform.Row
	for key, row := range m.rows {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, row)
			m.readBytes += len(key) + len(row.Value)
		}
	}
	return out, nil
}

func (m *memTable) Commit(_ context.Context, ops []platform.Op) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	var conflict, rows []platform.Row
	for _, op := range ops {
		if row := m.rows[op.Key]; row.Version != op.IfVersion {
			row.Key = op.Key
			conflict = append(conflict, row)
		}
	}
	if conflict != nil {
		return nil, &platform.ConflictError{Rows: conflict}
	}
	for _, op := range ops {
		m.lastVersion++
		row := platform.Row{Key: op.Key, Value: op.Value, Version: m.lastVersion}
		if m.rows[op.Key] = row; op.Delete {
			delete(m.rows, op.Key)
			row.Version = 0
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// poolSet is a lease.PoolHandler that only records which pools it serves, with
// their epochs.
type poolSet struct {
	mu    sync.Mutex
	pools map[inventory.PoolID]uint64
}

func (p *poolSet) StartPool(id inventory.PoolID, epoch uint64, _ *siblingpb.Handover, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[id] = epoch
}

func (p *poolSet) StopPool(id inventory.PoolID, _ uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pools, id)
}
func (p *poolSet) LiftHalfCap(inventory.PoolID) {}
func (p *poolSet) ExportPool(inventory.PoolID) *siblingpb.Handover {
	return &siblingpb.Handover{}
}

func (p *poolSet) loads() []*siblingpb.PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*siblingpb.PoolLoad
	for id, epoch := range p.pools {
		out = append(out, &siblingpb.PoolLoad{Service: id.Service, FailureDomain: id.FailureDomain, Free: 2, Epoch: epoch})
	}
	return out
}

type member struct {
	manager *lease.Manager
	tracker *membership.Tracker
	pools   *poolSet
}

// fleet runs the lease managers and membership trackers of several VMs in one
// process. Messages between them are encoded and decoded. The fake clock
// advances only when no submitted work is left.
type fleet struct {
	clock     *quartz.Mock
	store     *memTable
	members   map[string]*member // by sibling address; not changed after newFleet
	sentBytes atomic.Int64
	workers   []pond.Pool
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// RoundTrip implements membership.RoundTripper.
func (f *fleet) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	m, ok := f.members[to.SiblingAddress]
	if !ok {
		return nil, fmt.Errorf("no VM at %s", to.SiblingAddress)
	}
	var receivedReq siblingpb.Request
	if err := f.send(req, &receivedReq); err != nil {
		return nil, err
	}
	resp := &siblingpb.Response{}
	switch kind := receivedReq.Kind.(type) {
	case *siblingpb.Request_Heartbeat:
		hb, err := m.tracker.HandleHeartbeat(ctx, kind.Heartbeat)
		if err != nil {
			return nil, err
		}
		resp.Kind = &siblingpb.Response_Heartbeat{Heartbeat: hb}
	case *siblingpb.Request_Handover:
		resp.Kind = &siblingpb.Response_Ack{Ack: m.manager.HandleHandover(kind.Handover)}
	}
	var receivedResp siblingpb.Response
	return &receivedResp, f.send(resp, &receivedResp)
}

func (f *fleet) send(from, to proto.Message) error {
	b, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	f.sentBytes.Add(int64(len(b)))
	return proto.Unmarshal(b, to)
}

// newFleet starts vms VMs in failure domains that are distributed over regions,
// with pools distributed over the failure domains. With changing set, the
// numbers of free slots that the VMs report change all the time.
func newFleet(tb testing.TB, vms, pools, regions, domains int, changing bool) *fleet {
	doc := &inventory.Document{}
	for r := range regions {
		doc.Regions = append(doc.Regions, inventory.Region{Name: fmt.Sprintf("region-%d", r), Store: r == 0})
	}
	for d := range domains {
		doc.FailureDomains = append(doc.FailureDomains, inventory.FailureDomain{
			Name: fmt.Sprintf("domain-%d", d), Region: fmt.Sprintf("region-%d", d%regions),
		})
	}
	for p := 0; p < pools; {
		svc := inventory.Service{Name: fmt.Sprintf("service-%d", p), Slots: 2}
		for d := 0; d < domains && p < pools; d++ {
			svc.Targets = append(svc.Targets, inventory.Target{Name: "t", FailureDomain: fmt.Sprintf("domain-%d", d)})
			p++
		}
		doc.Services = append(doc.Services, svc)
	}
	snap := inventory.NewSnapshot(1, doc)
	f := &fleet{clock: quartz.NewMock(tb).WithLogger(quartz.NoOpLogger), store: &memTable{rows: map[string]platform.Row{}}, members: map[string]*member{}}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range vms {
		d := doc.FailureDomains[i%domains]
		self := vm.Info{ID: vm.ID(fmt.Sprintf("vm-%d", i)), Region: d.Region, FailureDomain: d.Name, SiblingAddress: fmt.Sprintf("10.0.0.%d:7000", i)}
		m := &member{pools: &poolSet{pools: map[inventory.PoolID]uint64{}}}
		m.manager = lease.NewManager(lease.Config{
			Self: self, Table: f.store, Pools: m.pools, Snapshot: func() *inventory.Snapshot { return snap },
			RoundTripper: f, Clock: f.clock, Logger: log.NewNopLogger(), Seed: uint64(i), Workers: f.pool(),
		})
		cfg := membership.Config{Self: self, RoundTripper: f, Lease: m.manager, Clock: f.clock, Logger: log.NewNopLogger(), Workers: f.pool()}
		loadCount := uint32(0)
		if changing {
			cfg.Loads = func() []*siblingpb.PoolLoad {
				out := m.pools.loads()
				for _, l := range out {
					l.Free = atomic.AddUint32(&loadCount, 1) % 5
				}
				return out
			}
		}
		m.tracker = membership.NewTracker(cfg)
		m.manager.SetMembership(m.tracker.TriggerHeartbeats, m.tracker.Removed)
		f.members[self.SiblingAddress] = m
	}
	trap := f.clock.Trap().TickerFunc()
	for _, m := range f.members {
		f.done.Add(2)
		go func() { defer f.done.Done(); _ = m.manager.Run(ctx) }()
		go func() { defer f.done.Done(); _ = m.tracker.Run(ctx) }()
	}
	for range 2 * vms {
		trap.MustWait(ctx).MustRelease(ctx)
	}
	trap.Close()
	return f
}

func (f *fleet) pool() pond.Pool {
	p := pond.NewPool(2)
	f.workers = append(f.workers, p)
	return p
}

// run advances the clock by d and waits after each step until all submitted
// work has finished.
func (f *fleet) run(ctx context.Context, d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
		_, w := f.clock.AdvanceNext()
		w.MustWait(ctx)
		for !f.idle() {
			runtime.Gosched()
		}
	}
}

// idle reports whether no task is left. A task may submit others before it
// ends, so the completed tasks must be summed before the submitted ones.
func (f *fleet) idle() bool {
	var completed, submitted uint64
	for _, p := range f.workers {
		completed += p.CompletedTasks()
	}
	for _, p := range f.workers {
		submitted += p.SubmittedTasks()
	}
	return completed == submitted
}

func (f *fleet) stop() {
	f.cancel()
	f.done.Wait()
}

// Guards against errors in how lease managers and membership trackers are
// connected, which the simulation of the core does not cover: each pool must
// have one holder, all VMs must agree on it, and a planned stop must move the
// pools.
func TestFleetServesEachPoolOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := newFleet(t, 4, 12, 1, 2, true)
	defer f.stop()
	f.run(ctx, 40*time.Second)
	f.checkHolders(t, 12)

	stopped := f.members["10.0.0.1:7000"]
	released := make(chan error, 1)
	go func() { released <- stopped.manager.Release(ctx) }()
	for waiting := true; waiting; {
		select {
		case err := <-released:
			if err != nil {
				t.Fatal(err)
			}
			waiting = false
		default:
			f.run(ctx, 100*time.Millisecond)
		}
	}
	f.run(ctx, 10*time.Second)
	if mode := stopped.manager.Mode(f.clock.Now()); mode != lease.ModeLost || len(stopped.pools.pools) != 0 {
		t.Errorf("after Release the VM is in mode %v and serves %d pools", mode, len(stopped.pools.pools))
	}
	f.checkHolders(t, 12)
}

func (f *fleet) checkHolders(t *testing.T, pools int) {
	t.Helper()
	served := map[inventory.PoolID]vm.ID{}
	for _, m := range f.members {
		for id := range m.pools.pools {
			holder, ok := m.manager.HolderOf(id)
			if _, held := m.manager.HeldEpoch(id); !ok || !held || m.manager.Mode(f.clock.Now()) != lease.ModeValid {
				t.Errorf("a VM serves %v but does not report it as held with a valid lease", id)
			}
			if served[id] != "" {
				t.Errorf("%v is served by %s and %s", id, served[id], holder.ID)
			}
			served[id] = holder.ID
		}
	}
	for _, m := range f.members {
		for id, want := range served {
			if holder, _ := m.manager.HolderOf(id); holder.ID != want && m.manager.Incarnation() != 0 && m.manager.Mode(f.clock.Now()) == lease.ModeValid {
				t.Errorf("%v is served by %s, a sibling reports %s as its holder", id, want, holder.ID)
			}
		}
	}
	if len(served) != pools {
		t.Errorf("%d of %d pools are served", len(served), pools)
	}
}
