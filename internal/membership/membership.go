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
	tickEvery       = 50 * time.Millisecond
	exchangeTimeout = 900 * time.Millisecond
	// workers exceeds the siblings of a VM, so that hanging exchanges do not
	// delay those to other siblings.
	workers = 32
)

// Lease is implemented by lease.Manager.
type Lease interface {
	FillHeartbeat(hb *siblingpb.Heartbeat) (sentAs uint64)
	HandleHeartbeat(req, answer *siblingpb.Heartbeat)
	HandleHeartbeatResponse(wrote time.Time, sentAs uint64, answer *siblingpb.Heartbeat)
	Siblings() []vm.Info
}

// Config holds what a Tracker needs. VMs and Seeds may be empty; all functions
// may be nil.
type Config struct {
	Self         vm.Info
	RoundTripper RoundTripper
	Lease        Lease
	VMs          platform.VMList
	Seeds        []string // sibling addresses known from the start settings
	Clock        quartz.Clock
	Logger       log.Logger

	Workers pond.Pool // runs exchanges; nil: a pool of 32

	// Version returns the configuration version in force and the age of its
	// confirmation; ok is false without one.
	Version func() (version uint64, confirmedAge time.Duration, ok bool)
	// Loads returns the counts of all pools held.
	Loads func() []*siblingpb.PoolLoad
	// OnVersion and OnLoads take news of siblings. They run on the goroutine
	// of the exchange, under no lock.
	// confirmedAge is NotConfirmed unless the sibling stated it in an answer;
	// now is the time at which this VM wrote the request for it.
	OnVersion func(now time.Time, from vm.Info, version uint64, confirmedAge time.Duration)
	OnLoads   func(now time.Time, from vm.Info, loads []*siblingpb.PoolLoad)
}

// NotConfirmed is the age of a configuration version that its VM has not
// confirmed.
const NotConfirmed time.Duration = -1

// neverConfirmed is the age in a heartbeat without a confirmation.
const neverConfirmed = ^uint32(0)

// Tracker sends and answers heartbeats and knows who was heard when. All methods
// may be called from any goroutine.
type Tracker struct {
	cfg     Config
	workers pond.Pool

	mu       sync.Mutex
	book     *book
	nextList time.Time

	ctx   atomic.Pointer[context.Context] // of Run
	hurry atomic.Bool
	list  atomic.Pointer[listing]
}

// NewTracker returns a table that sends nothing before Run.
func NewTracker(cfg Config) *Tracker {
	if cfg.Workers == nil {
		cfg.Workers = pond.NewPool(workers)
	}
	return &Tracker{cfg: cfg, book: newBook(cfg.Self, cfg.Seeds), workers: cfg.Workers}
}

// Run sends heartbeats until ctx ends, then stops the workers.
func (t *Tracker) Run(ctx context.Context) error {
	defer t.workers.StopAndWait()
	t.ctx.Store(&ctx)
	err := t.cfg.Clock.TickerFunc(ctx, tickEvery, func() error {
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
	due := t.book.due(now, siblings, t.hurry.Swap(false))
	readList := t.cfg.VMs != nil && !now.Before(t.nextList)
	if readList {
		t.nextList = now.Add(listEvery)
	}
	t.mu.Unlock()
	for _, d := range due {
		_ = t.workers.Go(func() { t.beat(ctx, d.info) })
	}
	if readList {
		_ = t.workers.Go(func() { t.readList(ctx) })
	}
}

// TriggerHeartbeats sends heartbeats to the own region soon. It does not block.
// The lease manager calls it under its lock, so it takes none.
func (t *Tracker) TriggerHeartbeats() {
	if t.hurry.Swap(true) {
		return
	}
	if ctx := t.ctx.Load(); ctx != nil {
		_ = t.workers.Go(func() { t.tick(*ctx) })
	}
}

// Removed reports that the platform removed a VM: a list of VMs read within the
// last 30 s does not name it. It takes no lock.
func (t *Tracker) Removed(id vm.ID) bool {
	return t.list.Load().gone(t.cfg.Clock.Now(), id)
}

func (t *Tracker) beat(ctx context.Context, to vm.Info) {
	ok := false
	defer func() {
		t.mu.Lock()
		t.book.done(to.ID, ok)
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	wrote := t.cfg.Clock.Now()
	hb := t.fill(wrote, to.ID)
	sentAs := t.cfg.Lease.FillHeartbeat(hb)
	t.mu.Lock()
	short := t.book.knowsUs(to.ID)
	t.mu.Unlock()
	if short {
		shorten(hb)
	}
	resp, err := t.cfg.RoundTripper.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_Heartbeat{Heartbeat: hb}})
	if err != nil {
		return // silence shows in LastHeard
	}
	answer := resp.GetHeartbeat()
	if answer == nil {
		_ = t.cfg.Logger.Log("part", "membership", "msg", "answer without heartbeat", "from", to.SiblingAddress)
		return
	}
	if !t.hear(answer, wrote, confirmedAge(answer)) {
		return
	}
	ok = true
	t.cfg.Lease.HandleHeartbeatResponse(wrote, sentAs, answer)
}

// HandleHeartbeat answers the heartbeat of a sibling.
func (t *Tracker) HandleHeartbeat(_ context.Context, req *siblingpb.Heartbeat) (*siblingpb.Heartbeat, error) {
	if req.GetVmId() == "" {
		return nil, fmt.Errorf("heartbeat without VM id")
	}
	short := req.Region == ""
	// A paused VM may read a request that was written long ago, so the age that
	// a request states confirms nothing.
	if !t.hear(req, t.cfg.Clock.Now(), NotConfirmed) {
		return nil, fmt.Errorf("short heartbeat of unknown VM %q", req.VmId)
	}
	answer := t.fill(t.cfg.Clock.Now(), vm.ID(req.VmId))
	t.cfg.Lease.HandleHeartbeat(req, answer)
	if short {
		shorten(answer)
	}
	return answer, nil
}

// shorten removes what the receiver knows from earlier heartbeats. It is about
// half of the bytes.
func shorten(hb *siblingpb.Heartbeat) {
	hb.Region, hb.FailureDomain, hb.SiblingAddress = "", "", ""
}

// hear takes a heartbeat and completes a short one. It returns false if the
// sender of a short one is not known.
// hear takes the news of a sibling. age is that of its confirmation at the time
// at.
func (t *Tracker) hear(hb *siblingpb.Heartbeat, at time.Time, age time.Duration) bool {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	from, known := t.book.hear(now, hb)
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

// confirmedAge returns the age of the confirmation that hb states.
func confirmedAge(hb *siblingpb.Heartbeat) time.Duration {
	if hb.ConfirmedAgeMs == neverConfirmed {
		return NotConfirmed
	}
	return time.Duration(hb.ConfirmedAgeMs) * time.Millisecond
}

// fill writes the fields of a heartbeat that are not the lease's.
func (t *Tracker) fill(now time.Time, to vm.ID) *siblingpb.Heartbeat {
	hb := &siblingpb.Heartbeat{ConfirmedAgeMs: neverConfirmed}
	if t.cfg.Version != nil {
		version, age, ok := t.cfg.Version()
		hb.ConfigVersion = version
		if ok {
			hb.ConfirmedAgeMs = uint32(min(age.Milliseconds(), int64(neverConfirmed-1)))
		}
	}
	if t.cfg.Loads != nil && to != "" {
		loads := t.cfg.Loads()
		t.mu.Lock()
		hb.Loads = t.book.loadsFor(now, to, loads)
		t.mu.Unlock()
	}
	return hb
}

func (t *Tracker) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	list, err := t.cfg.VMs.List(ctx)
	if err != nil {
		return // an old list ages out
	}
	t.list.Store(&listing{entries: list, at: t.cfg.Clock.Now()})
}

// Siblings returns the VMs that heartbeats go to, sorted by ID.
func (t *Tracker) Siblings() []vm.Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.chosen()
}

// Status returns what is known of all siblings, sorted by ID.
func (t *Tracker) Status() []Status {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.statuses(now, t.list.Load())
}

// LastHeard returns when a sibling was last heard.
func (t *Tracker) LastHeard(id vm.ID) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.book.peers[id]
	if !ok || p.LastHeard.IsZero() {
		return time.Time{}, false
	}
	return p.LastHeard, true
}

// RoundTrip sends a request to a sibling.
func (t *Tracker) RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error) {
	return t.cfg.RoundTripper.RoundTrip(ctx, to, req)
}
