// Package simulation runs the packages that decide where and when calls are sent
// (admission, balancer, pool, retry) in virtual time against simulated targets. It
// is used for the golden files of package session and for measurements.
//
// A target is a process of the service, simulated by a Server. A pool is the set of
// targets in one failure domain. Its holder is the entry VM that queues the calls
// of the pool and sends them to the targets. An entry VM that receives a call
// chooses a pool and forwards the call to its holder.
//
// A Simulation is an event loop that uses neither goroutines nor the system clock.
// Equal configurations with equal seeds give equal runs. A Simulation is not safe
// for concurrent use.
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

// Start is the virtual time at which every Simulation begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxPoolsPerAttempt is the maximum number of pools that a receiving VM tries for
// one attempt of a call.
const maxPoolsPerAttempt = 3

// Config configures a Simulation, which has one service.
type Config struct {
	Seed    uint64
	Service inventory.Service
	VMs     int
	// NetworkDelay is the one-way delay between two VMs and between a VM and a
	// target.
	NetworkDelay time.Duration
	// QueuePerSlot is the maximum number of waiting calls per slot of a pool.
	QueuePerSlot int
	// RetryShare is the retry budget as a share of the calls. If it is negative,
	// there is no budget, and every failed idempotent call is sent up to
	// MaxAttempts times.
	RetryShare  float64
	MaxAttempts int
	// Merge puts all targets of the service into one pool, instead of one pool
	// per failure domain.
	Merge bool
	// Baseline replaces the load balancer by another way to distribute calls.
	Baseline Baseline
	// WarmStart starts all pools with warm targets, as after a planned handover.
	// Otherwise all targets start cold.
	WarmStart bool
	// Trace, if set, is called with one line of text for each decision and the
	// virtual time since Start.
	Trace func(at time.Duration, line string)
}

// Counts counts the calls of a Simulation: Offered by callers; Useful: answered
// within the deadline; Late: answered after it; Refused: not run; Failed: outcome
// unknown. FirstSends counts calls sent to a target at least once; calls that were
// refused before that are missing in it. Sends counts all sends to targets,
// including retries.
type Counts struct {
	Offered, Useful, Late, Refused, Failed int
	FirstSends, Sends                      int
}

// Simulation simulates one service with its entry VMs, pools and targets.
type Simulation struct {
	Counts    Counts
	Latencies []time.Duration // of answered calls, in the order in which they ended
	// MeasureFrom is a time after Start. Counts and Latencies exclude calls that
	// arrive earlier.
	MeasureFrom time.Duration

	cfg          Config
	now          time.Time
	events       eventHeap
	lastEventSeq uint64
	rng          *rand.Rand
	servers      map[string]*Server
	vms          []*entryVM
	holders      map[inventory.PoolID]*holder
	outOfService map[string]bool // failure domains out of service
	retryBudget  *retry.Budget
	lastCallID   uint64
	baseline     *baselineRunner // nil: the load balancer itself
	onStart      func(h *holder, target string)
	tracedStates map[string]string // last traced state, by VM and target
}

// entryVM is an entry VM in its role as receiver of calls from callers.
type entryVM struct {
	info   vm.Info
	picker *balancer.Picker
}

// Call is one call of a caller. The exported fields are set by the user of the
// package.
type Call struct {
	Tenant        string
	NonIdempotent bool
	Deadline      time.Duration // from arrival

	id       uint64
	arrived  time.Time
	deadline time.Time
	receiver *entryVM // VM at which the call arrived
	attempts int
	excluded []inventory.PoolID // pools that refused the current attempt
}

// New returns a Simulation in which the pools are assigned to the VMs in turn: VM i
// holds the i-th pool.
func New(cfg Config) *Simulation {
	sim := &Simulation{
		cfg: cfg, now: Start, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers: map[string]*Server{}, holders: map[inventory.PoolID]*holder{},
		outOfService: map[string]bool{}, retryBudget: retry.NewBudget(max(cfg.RetryShare, 0)),
		tracedStates: map[string]string{},
	}
	if cfg.Merge {
		targets := slices.Clone(cfg.Service.Targets)
		for i := range targets {
			targets[i].FailureDomain = "all"
		}
		sim.cfg.Service.Targets = targets
	}
	for i := range cfg.VMs {
		sim.vms = append(sim.vms, &entryVM{
			info:   vm.Info{ID: vm.ID(fmt.Sprintf("vm%d", i))},
			picker: balancer.NewPicker(cfg.Seed + uint64(i)),
		})
	}
	for _, t := range sim.cfg.Service.Targets {
		sim.servers[t.Name] = newServer(sim, t.Name, cfg.Service.Slots)
	}
	if cfg.Baseline != NoBaseline {
		sim.baseline = newBaselineRunner(cfg.Baseline, cfg.VMs)
	}
	for i, id := range sim.poolIDs() {
		sim.startHolder(id, sim.vms[i%len(sim.vms)], sim.initialState(id))
	}
	sim.updateCandidates()
	return sim
}

// Server returns the simulated target of that name, or nil. Its fields can be
// changed to inject faults.
func (sim *Simulation) Server(name string) *Server { return sim.servers[name] }

// Elapsed returns the virtual time that has passed since Start.
func (sim *Simulation) Elapsed() time.Duration { return sim.now.Sub(Start) }

// At schedules fn to run d after Start. Functions with equal times run in the order
// in which they were scheduled.
func (sim *Simulation) At(d time.Duration, fn func()) { sim.schedule(Start.Add(d), fn) }

func (sim *Simulation) after(d time.Duration, fn func()) { sim.schedule(sim.now.Add(d), fn) }

func (sim *Simulation) schedule(at time.Time, fn func()) {
	sim.lastEventSeq++
	heap.Push(&sim.events, event{at: at, seq: sim.lastEventSeq, fn: fn})
}

// Run runs all events up to and including d after Start, then sets the virtual
// time to that point.
func (sim *Simulation) Run(d time.Duration) {
	end := Start.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.fn()
	}
	sim.now = end
}

// SubmitPoisson submits calls made by c to random VMs from the time from until the
// time until, both after Start. Apart from the first call, which arrives at from,
// they form a Poisson process with the given rate in calls per second.
func (sim *Simulation) SubmitPoisson(rate float64, from, until time.Duration, c func() Call) {
	next := from
	var arrive func()
	arrive = func() {
		sim.Submit(sim.rng.IntN(len(sim.vms)), c())
		next += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		if next < until {
			sim.At(next, arrive)
		}
	}
	sim.At(next, arrive)
}

func (sim *Simulation) tracef(format string, args ...any) {
	if sim.cfg.Trace != nil {
		sim.cfg.Trace(sim.Elapsed(), fmt.Sprintf(format, args...))
	}
}

// Submit lets a call arrive now at the VM with index vmIndex.
func (sim *Simulation) Submit(vmIndex int, c Call) {
	sim.lastCallID++
	c.id, c.arrived, c.deadline, c.receiver = sim.lastCallID, sim.now, sim.now.Add(c.Deadline), sim.vms[vmIndex]
	if sim.isMeasured(&c) {
		sim.Counts.Offered++
	}
	if sim.baseline != nil {
		sim.baseline.send(sim, vmIndex, &c)
		return
	}
	sim.retryBudget.RecordRequest(sim.cfg.Service.Name)
	sim.dispatch(&c)
}

// isMeasured reports whether Counts and Latencies include the call.
func (sim *Simulation) isMeasured(c *Call) bool { return c.arrived.Sub(Start) >= sim.MeasureFrom }

// dispatch picks a pool and sends the call to its holder. It ends the call as not
// run if no pool is left or maxPoolsPerAttempt pools have refused it.
func (sim *Simulation) dispatch(c *Call) {
	ownFreeSlots := map[inventory.PoolID]int{}
	for id, h := range sim.holders {
		if h.vm == c.receiver {
			ownFreeSlots[id] = max(0, h.pool.Load(sim.now).Free-h.queue.Len())
		}
	}
	candidate, ok := balancer.Candidate{}, false
	if len(c.excluded) < maxPoolsPerAttempt {
		candidate, ok = c.receiver.picker.Pick(sim.now, sim.cfg.Service.Name, ownFreeSlots, c.excluded)
	}
	if !ok {
		sim.finish(c, outcome.NotRun, "no pool left")
		return
	}
	h := sim.holders[candidate.Pool]
	if h.vm == c.receiver {
		h.admit(c)
		return
	}
	sim.tracef("call %d: %s forwards to %s", c.id, c.receiver.info.ID, candidate.Pool)
	c.receiver.picker.RecordSent(candidate.Pool)
	sim.after(sim.cfg.NetworkDelay, func() { sim.holders[candidate.Pool].admit(c) })
}

// sendReply returns the result of a call to the VM that received the call. From
// another VM it arrives after the network delay, together with the holder's numbers
// of free slots and waiting calls at the time of sending.
func (sim *Simulation) sendReply(h *holder, c *Call, kind outcome.Kind, reason string) {
	load, waiting := h.pool.Load(sim.now), h.queue.Len()
	if h.vm == c.receiver {
		sim.handleReply(h, c, kind, reason)
		return
	}
	sim.after(sim.cfg.NetworkDelay, func() {
		c.receiver.picker.RecordLoad(sim.now, h.id, load.Free-waiting, waiting)
		sim.handleReply(h, c, kind, reason)
	})
}

// handleReply dispatches a call again, after a refusal to another pool or as a
// retry, if its deadline and the retry rules allow it. Otherwise it ends the call.
func (sim *Simulation) handleReply(h *holder, c *Call, kind outcome.Kind, reason string) {
	switch {
	case kind == outcome.NotRun && sim.now.Before(c.deadline) && reason != reasonDeadline:
		c.excluded = append(c.excluded, h.id)
		sim.dispatch(c)
	case kind == outcome.Unknown && !c.NonIdempotent && sim.now.Before(c.deadline) && sim.mayRetry(c):
		sim.tracef("call %d: retry after %s", c.id, reason)
		c.excluded = nil
		sim.dispatch(c)
	default:
		sim.finish(c, kind, reason)
	}
}

// mayRetry reports whether a failed call may be sent again. A true result is
// deducted from the retry budget, if there is one.
func (sim *Simulation) mayRetry(c *Call) bool {
	if c.attempts >= sim.cfg.MaxAttempts {
		return false
	}
	return sim.cfg.RetryShare < 0 || sim.retryBudget.Allow(sim.cfg.Service.Name)
}

// finish ends a call and updates Counts and Latencies.
func (sim *Simulation) finish(c *Call, kind outcome.Kind, reason string) {
	took := sim.now.Sub(c.arrived)
	sim.tracef("call %d: ends %s after %s: %s", c.id, kind, took.Round(ms/10), reason)
	if !sim.isMeasured(c) {
		return
	}
	switch {
	case kind == outcome.NotRun:
		sim.Counts.Refused++
	case kind == outcome.Unknown:
		sim.Counts.Failed++
	case sim.now.After(c.deadline):
		sim.Counts.Late++
	default:
		sim.Counts.Useful++
	}
	if kind == outcome.Answered {
		sim.Latencies = append(sim.Latencies, took)
	}
}

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

// eventHeap orders events by time, then by sequence number. It implements
// heap.Interface.
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
	events := *h
	e := events[len(events)-1]
	*h = events[:len(events)-1]
	return e
}
