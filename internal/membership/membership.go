package membership

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	tickInterval    = 50 * time.Millisecond
	exchangeTimeout = 900 * time.Millisecond
	// workerCount is higher than the number of siblings of a VM, so exchanges
	// that hang do not delay those with other siblings.
	workerCount = 32
)

// Lease provides and evaluates the lease fields of heartbeats. lease.Manager
// implements it.
type Lease interface {
	FillHeartbeat(hb *siblingpb.Heartbeat) (incarnation uint64)
	HandleHeartbeat(req, answer *siblingpb.Heartbeat)
	HandleHeartbeatResponse(writtenAt time.Time, incarnation uint64, answer *siblingpb.Heartbeat)
	// Siblings returns the other VMs of this region with a lease row that is
	// not released, and those of other regions with a row in the state active.
	Siblings() []vm.Info
}

// Config holds the dependencies and settings of a Tracker. VMs, Seeds and
// Workers may be empty. The functions Version, Loads, OnVersion and OnLoads may
// be nil.
type Config struct {
	Self         vm.Info
	RoundTripper RoundTripper
	Lease        Lease
	VMs          platform.VMList
	Seeds        []string // sibling addresses from --seeds
	Clock        quartz.Clock
	Logger       log.Logger

	Workers pond.Pool // runs exchanges; nil: a new pool of 32 workers

	// Version returns the configuration version in force and how long ago it was
	// confirmed to be the newest one. ok is false if it was not confirmed, or
	// too long ago.
	Version func() (version uint64, confirmedAge time.Duration, ok bool)
	// Loads returns the load of all held pools.
	Loads func() []*siblingpb.PoolLoad
	// OnVersion and OnLoads receive the configuration version and the pool
	// loads of a sibling. They run on the goroutine of the exchange, and no
	// lock is held. If the sibling sent its version in an answer, at is when this
	// VM wrote the request and confirmedAge is the age that the sibling stated;
	// the version was confirmed at the time at minus confirmedAge. If the sibling
	// sent it in a request, at is the current time and confirmedAge is
	// NotConfirmed.
	OnVersion func(at time.Time, from vm.Info, version uint64, confirmedAge time.Duration)
	OnLoads   func(now time.Time, from vm.Info, loads []*siblingpb.PoolLoad)
}

// NotConfirmed is the confirmedAge of a configuration version for which the
// sibling stated no confirmation, or stated it in a request; see
// HandleHeartbeat.
const NotConfirmed time.Duration = -1

// wireNotConfirmed stands for NotConfirmed in the field confirmed_age_ms of a
// heartbeat.
const wireNotConfirmed = ^uint32(0)

// Tracker sends and answers heartbeats and records when each sibling was last
// heard from. All methods may be called from any goroutine.
type Tracker struct {
	cfg     Config
	workers pond.Pool

	mu           sync.Mutex
	table        *peerTable
	nextListRead time.Time

	ctx      atomic.Pointer[context.Context] // context of Run
	expedite atomic.Bool
	vmList   atomic.Pointer[vmList]
}

// NewTracker returns a Tracker. It sends nothing before Run.
func NewTracker(cfg Config) *Tracker {
	if cfg.Workers == nil {
		cfg.Workers = pond.NewPool(workerCount)
	}
	return &Tracker{cfg: cfg, table: newPeerTable(cfg.Self, cfg.Seeds), workers: cfg.Workers}
}

// Run sends heartbeats until ctx ends and then stops the workers.
func (t *Tracker) Run(ctx context.Context) error {
	defer t.workers.StopAndWait()
	t.ctx.Store(&ctx)
	err := t.cfg.Clock.TickerFunc(ctx, tickInterval, func() error {
		t.tick(ctx)
		return nil
	}, "membership").Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (t *Tracker) tick(ctx context.Context) {
	siblings := t.cfg.Lease.Siblings()
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	due := t.table.dueHeartbeats(now, siblings, t.expedite.Swap(false))
	listDue := t.cfg.VMs != nil && !now.Before(t.nextListRead)
	if listDue {
		t.nextListRead = now.Add(vmListReadInterval)
	}
	t.mu.Unlock()
	for _, d := range due {
		_ = t.workers.Go(func() { t.sendHeartbeat(ctx, d.info) })
	}
	if listDue {
		_ = t.workers.Go(func() { t.readVMList(ctx) })
	}
}

// TriggerHeartbeats sends heartbeats to the own region as soon as the minimum
// spacing allows. It does not block and takes no lock, because the lease
// manager calls it under its own lock.
func (t *Tracker) TriggerHeartbeats() {
	if t.expedite.Swap(true) {
		return
	}
	if ctx := t.ctx.Load(); ctx != nil {
		_ = t.workers.Go(func() { t.tick(*ctx) })
	}
}

// Removed reports whether the platform has removed a VM: the list of VMs was
// read within the last 30 s and does not contain it. It takes no lock.
func (t *Tracker) Removed(id vm.ID) bool {
	return t.vmList.Load().removed(t.cfg.Clock.Now(), id)
}

func (t *Tracker) sendHeartbeat(ctx context.Context, to vm.Info) {
	ok := false
	defer func() {
		t.mu.Lock()
		t.table.exchangeDone(to.ID, ok)
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	writtenAt := t.cfg.Clock.Now()
	hb := t.newHeartbeat(writtenAt, to.ID)
	incarnation := t.cfg.Lease.FillHeartbeat(hb)
	t.mu.Lock()
	short := t.table.hasOurAddress(to.ID)
	t.mu.Unlock()
	if short {
		removeKnownFields(hb)
	}
	resp, err := t.cfg.RoundTripper.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_Heartbeat{Heartbeat: hb}})
	if err != nil {
		return // the failure shows in LastHeard, which is not advanced
	}
	answer := resp.GetHeartbeat()
	if answer == nil {
		_ = t.cfg.Logger.Log("part", "membership", "msg", "sibling answered a heartbeat request without a heartbeat", "from", to.SiblingAddress)
		return
	}
	if !t.processHeartbeat(answer, writtenAt, confirmedAge(answer)) {
		return
	}
	ok = true
	t.cfg.Lease.HandleHeartbeatResponse(writtenAt, incarnation, answer)
}

// HandleHeartbeat answers the heartbeat of a sibling. It returns an error if
// the heartbeat has no VM ID, carries the ID of this VM, or is a short one from
// an unknown VM.
func (t *Tracker) HandleHeartbeat(_ context.Context, req *siblingpb.Heartbeat) (*siblingpb.Heartbeat, error) {
	if req.GetVmId() == "" {
		return nil, fmt.Errorf("heartbeat without VM id")
	}
	short := req.Region == ""
	// A VM that was paused may read a request that was written long ago, so the
	// age stated in a request confirms nothing.
	if !t.processHeartbeat(req, t.cfg.Clock.Now(), NotConfirmed) {
		// This is also the error for a heartbeat that carries the ID of this VM,
		// be it short or complete.
		return nil, fmt.Errorf("short heartbeat of unknown VM %q", req.VmId)
	}
	answer := t.newHeartbeat(t.cfg.Clock.Now(), vm.ID(req.VmId))
	t.cfg.Lease.HandleHeartbeat(req, answer)
	if short {
		removeKnownFields(answer)
	}
	return answer, nil
}

// removeKnownFields makes a heartbeat short: it removes the fields that the other
// VM knows from earlier heartbeats. They make up about half of the bytes.
func removeKnownFields(hb *siblingpb.Heartbeat) {
	hb.Region, hb.FailureDomain, hb.SiblingAddress = "", "", ""
}

// processHeartbeat records a heartbeat, adds the missing fields of a short one,
// and passes version and loads on. The version was confirmed at the time at minus
// age, unless age is NotConfirmed. It returns false if the sender is this VM or a
// short heartbeat comes from an unknown VM.
func (t *Tracker) processHeartbeat(hb *siblingpb.Heartbeat, at time.Time, age time.Duration) bool {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	from, known := t.table.recordHeartbeat(now, hb)
	t.mu.Unlock()
	if !known {
		return false
	}
	if t.cfg.OnVersion != nil && hb.ConfigVersion != 0 {
		t.cfg.OnVersion(at, from, hb.ConfigVersion, age)
	}
	if t.cfg.OnLoads != nil && len(hb.Loads) > 0 {
		t.cfg.OnLoads(now, from, hb.Loads)
	}
	return true
}

// confirmedAge returns how long ago the version in hb was confirmed, as hb states
// it, or NotConfirmed.
func confirmedAge(hb *siblingpb.Heartbeat) time.Duration {
	if hb.ConfirmedAgeMs == wireNotConfirmed {
		return NotConfirmed
	}
	return time.Duration(hb.ConfirmedAgeMs) * time.Millisecond
}

// newHeartbeat returns a heartbeat without the fields that Lease.FillHeartbeat
// sets. It contains no pool loads if to is empty.
func (t *Tracker) newHeartbeat(now time.Time, to vm.ID) *siblingpb.Heartbeat {
	hb := &siblingpb.Heartbeat{ConfirmedAgeMs: wireNotConfirmed}
	if t.cfg.Version != nil {
		version, age, ok := t.cfg.Version()
		hb.ConfigVersion = version
		if ok {
			hb.ConfirmedAgeMs = uint32(min(age.Milliseconds(), int64(wireNotConfirmed-1)))
		}
	}
	if t.cfg.Loads != nil && to != "" {
		loads := t.cfg.Loads()
		t.mu.Lock()
		hb.Loads = t.table.changedLoads(now, to, loads)
		t.mu.Unlock()
	}
	return hb
}

func (t *Tracker) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	list, err := t.cfg.VMs.List(ctx)
	if err != nil {
		return // the last list is used until it exceeds vmListMaxAge
	}
	t.vmList.Store(&vmList{entries: list, readAt: t.cfg.Clock.Now()})
}

// Siblings returns the VMs that heartbeats are sent to, sorted by ID: all known
// siblings of the own region and two of each other region. Status describes all
// known siblings.
func (t *Tracker) Siblings() []vm.Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.heartbeatPeers()
}

// Status returns the state of all known siblings, sorted by ID.
func (t *Tracker) Status() []Status {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.statuses(now, t.vmList.Load())
}

// LastHeard returns when the last heartbeat of a sibling arrived. It returns
// false if none has arrived.
func (t *Tracker) LastHeard(id vm.ID) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.table.peers[id]
	if !ok || p.LastHeard.IsZero() {
		return time.Time{}, false
	}
	return p.LastHeard, true
}

// RoundTrip sends a request to a sibling and returns its response.
func (t *Tracker) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	return t.cfg.RoundTripper.RoundTrip(ctx, to, req)
}
