// Package simulation runs the decision packages in virtual time against model
// targets. It serves golden files of sessions, measurements and the load tool.
//
// A Simulation is an event loop without goroutines or clocks. Equal seeds give
// equal runs. It is not safe for concurrent use.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Start is the virtual time at which each Simulation begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxPicks bounds the pools that a receiver tries for one attempt.
const maxPicks = 3

// Config sets up a Simulation with one service.
type Config struct {
	Seed    uint64
	Service inventory.Service
	VMs     int
	// NetworkDelay is the one-way latency between VMs and between a VM and a target.
	NetworkDelay time.Duration
	// QueuePerSlot times the slots of a pool bounds its queue.
	QueuePerSlot int
	// RetryShare is the retry budget. Below zero, every failed idempotent call
	// is sent up to MaxAttempts times.
	RetryShare  float64
	MaxAttempts int
	// Merge puts all targets of the service into one pool.
	Merge bool
	// Baseline replaces the design by another way to send calls.
	Baseline Baseline
	// WarmStart starts all pools with warm targets, as after a handover.
	WarmStart bool
	// Trace gets one line per decision. Nil: none.
	Trace func(at time.Duration, line string)
}

// Counts sums up what a Simulation did.
type Counts struct {
	Offered, Useful, Late, Refused, Failed int
	FirstSends, Sends                      int
}

// Simulation is one service with its VMs, pools and model targets.
type Simulation struct {
	Counts    Counts
	Latencies []time.Duration // of answered calls, in the order of their ends
	// Since excludes calls that arrive earlier from Counts and Latencies.
	Since time.Duration

	cfg     Config
	now     time.Time
	events  eventHeap
	seq     uint64
	rng     *rand.Rand
	servers map[string]*Server
	vms     []*node
	holders map[inventory.PoolID]*holder
	out     map[string]bool // failure domains out of service
	retries *retry.Budget
	calls   uint64
	direct  *direct // nil: the design
	onStart func(h *holder, target string)
	states  map[string]string // last traced state per holder and target
}

// node is an entry VM as a receiver.
type node struct {
	info  vm.Info
	table *balancer.Picker
}

// Call is one call of a caller.
type Call struct {
	Tenant        string
	NonIdempotent bool
	Deadline      time.Duration // from arrival

	id       uint64
	arrived  time.Time
	deadline time.Time
	at       *node
	attempts int
	excluded []inventory.PoolID
}

// New returns a world in which VM i holds the i-th pool.
func New(cfg Config) *Simulation {
	w := &Simulation{
		cfg: cfg, now: Start, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers: map[string]*Server{}, holders: map[inventory.PoolID]*holder{},
		out: map[string]bool{}, retries: retry.NewBudget(max(cfg.RetryShare, 0)),
		states: map[string]string{},
	}
	if cfg.Merge {
		targets := slices.Clone(cfg.Service.Targets)
		for i := range targets {
			targets[i].FailureDomain = "all"
		}
		w.cfg.Service.Targets = targets
	}
	for i := range cfg.VMs {
		w.vms = append(w.vms, &node{
			info:  vm.Info{ID: vm.ID(fmt.Sprintf("vm%d", i))},
			table: balancer.NewPicker(cfg.Seed + uint64(i)),
		})
	}
	for _, t := range w.cfg.Service.Targets {
		w.servers[t.Name] = newServer(w, t.Name, cfg.Service.Slots)
	}
	if cfg.Baseline != None {
		w.direct = newDirect(cfg.Baseline, cfg.VMs)
	}
	for i, id := range w.poolIDs() {
		w.hold(id, w.vms[i%len(w.vms)], w.initial(id))
	}
	w.setCandidates()
	return w
}

// Server returns a model target, to inject faults.
func (w *Simulation) Server(name string) *Server { return w.servers[name] }

// Elapsed returns the virtual time since Start.
func (w *Simulation) Elapsed() time.Duration { return w.now.Sub(Start) }

// At runs fn at a time after Start.
func (w *Simulation) At(d time.Duration, fn func()) { w.schedule(Start.Add(d), fn) }

func (w *Simulation) after(d time.Duration, fn func()) { w.schedule(w.now.Add(d), fn) }

func (w *Simulation) schedule(at time.Time, fn func()) {
	w.seq++
	heap.Push(&w.events, event{at: at, seq: w.seq, fn: fn})
}

// Run handles events up to d after Start.
func (w *Simulation) Run(d time.Duration) {
	end := Start.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

// Poisson lets calls arrive at random VMs at a rate per second until the end.
func (w *Simulation) Poisson(rate float64, from, until time.Duration, c func() Call) {
	next := from
	var arrive func()
	arrive = func() {
		w.Submit(w.rng.IntN(len(w.vms)), c())
		next += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
		if next < until {
			w.At(next, arrive)
		}
	}
	w.At(next, arrive)
}

func (w *Simulation) tracef(format string, args ...any) {
	if w.cfg.Trace != nil {
		w.cfg.Trace(w.Elapsed(), fmt.Sprintf(format, args...))
	}
}

// Submit hands a call to a VM.
func (w *Simulation) Submit(at int, c Call) {
	w.calls++
	c.id, c.arrived, c.deadline, c.at = w.calls, w.now, w.now.Add(c.Deadline), w.vms[at]
	if w.counts(&c) {
		w.Counts.Offered++
	}
	if w.direct != nil {
		w.direct.send(w, at, &c)
		return
	}
	w.retries.RecordRequest(w.cfg.Service.Name)
	w.dispatch(&c)
}

func (w *Simulation) counts(c *Call) bool { return c.arrived.Sub(Start) >= w.Since }

// dispatch picks a pool and sends the call to its holder.
func (w *Simulation) dispatch(c *Call) {
	own := map[inventory.PoolID]int{}
	for id, h := range w.holders {
		if h.at == c.at {
			own[id] = max(0, h.pool.Load(w.now).Free-h.queue.Len())
		}
	}
	cand, ok := balancer.Candidate{}, false
	if len(c.excluded) < maxPicks {
		cand, ok = c.at.table.Pick(w.now, w.cfg.Service.Name, own, c.excluded)
	}
	if !ok {
		w.end(c, outcome.NotRun, "no pool left")
		return
	}
	h := w.holders[cand.Pool]
	if h.at == c.at {
		h.admit(c)
		return
	}
	w.tracef("call %d: %s forwards to %s", c.id, c.at.info.ID, cand.Pool)
	c.at.table.RecordSent(cand.Pool)
	w.after(w.cfg.NetworkDelay, func() { w.holders[cand.Pool].admit(c) })
}

// reply brings the holder's result and its counts back to the receiver.
func (w *Simulation) reply(h *holder, c *Call, kind outcome.Kind, why string) {
	load, waiting := h.pool.Load(w.now), h.queue.Len()
	if h.at == c.at {
		w.receive(h, c, kind, why)
		return
	}
	w.after(w.cfg.NetworkDelay, func() {
		c.at.table.RecordLoad(w.now, h.id, load.Free-waiting, waiting)
		w.receive(h, c, kind, why)
	})
}

func (w *Simulation) receive(h *holder, c *Call, kind outcome.Kind, why string) {
	switch {
	case kind == outcome.NotRun && w.now.Before(c.deadline) && why != tooLate:
		c.excluded = append(c.excluded, h.id)
		w.dispatch(c)
	case kind == outcome.Unknown && !c.NonIdempotent && w.now.Before(c.deadline) && w.mayRetry(c):
		w.tracef("call %d: retry after %s", c.id, why)
		c.excluded = nil
		w.dispatch(c)
	default:
		w.end(c, kind, why)
	}
}

func (w *Simulation) mayRetry(c *Call) bool {
	if c.attempts >= w.cfg.MaxAttempts {
		return false
	}
	return w.cfg.RetryShare < 0 || w.retries.Allow(w.cfg.Service.Name)
}

func (w *Simulation) end(c *Call, kind outcome.Kind, why string) {
	took := w.now.Sub(c.arrived)
	w.tracef("call %d: ends %s after %s: %s", c.id, kind, took.Round(ms/10), why)
	if !w.counts(c) {
		return
	}
	switch {
	case kind == outcome.NotRun:
		w.Counts.Refused++
	case kind == outcome.Unknown:
		w.Counts.Failed++
	case w.now.After(c.deadline):
		w.Counts.Late++
	default:
		w.Counts.Useful++
	}
	if kind == outcome.Answered {
		w.Latencies = append(w.Latencies, took)
	}
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
