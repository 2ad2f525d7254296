package simulation

import (
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

// Baseline is a way to distribute calls that the load balancer is compared with.
type Baseline uint8

const (
	// NoBaseline runs the load balancer itself.
	NoBaseline Baseline = iota
	// Random sends each call to a random target, which queues it.
	Random
	// RoundRobin makes each VM send its calls to the targets in turn.
	RoundRobin
	// LeastInFlight makes each VM send a call to the target that has the fewest
	// calls in flight from this VM. Ties are broken at random.
	LeastInFlight
	// FIFO is one queue for all targets, without a limit and without deadlines.
	// A call starts when a target has a free slot.
	FIFO
)

// baselineRunner distributes calls as its kind of Baseline does, and holds the state
// that this needs.
type baselineRunner struct {
	kind       Baseline
	nextTarget []int            // per VM: calls sent so far, which gives the next target of RoundRobin
	inFlight   []map[string]int // per VM: calls in flight, by target
	queue      []*Call          // FIFO: waiting calls
	busySlots  map[string]int   // FIFO: slots in use, by target
}

func newBaselineRunner(kind Baseline, vms int) *baselineRunner {
	b := &baselineRunner{kind: kind, busySlots: map[string]int{}}
	for range vms {
		b.nextTarget = append(b.nextTarget, 0)
		b.inFlight = append(b.inFlight, map[string]int{})
	}
	return b
}

// send sends a call that arrived at the VM with index vmIndex to a target, or
// queues it for FIFO.
func (b *baselineRunner) send(sim *Simulation, vmIndex int, c *Call) {
	if b.kind == FIFO {
		b.queue = append(b.queue, c)
		b.dispatchQueued(sim)
		return
	}
	targets := sim.cfg.Service.Targets
	i := 0
	switch b.kind {
	case RoundRobin:
		i = (b.nextTarget[vmIndex] + vmIndex) % len(targets)
		b.nextTarget[vmIndex]++
	case LeastInFlight:
		i = sim.rng.IntN(len(targets))
		start := i
		for k := range targets {
			j := (start + k) % len(targets)
			if b.inFlight[vmIndex][targets[j].Name] < b.inFlight[vmIndex][targets[i].Name] {
				i = j
			}
		}
	default:
		i = sim.rng.IntN(len(targets))
	}
	name := targets[i].Name
	b.inFlight[vmIndex][name]++
	sim.servers[name].send(func(r pool.Result) {
		b.inFlight[vmIndex][name]--
		sim.finish(c, r.Kind, name)
	})
}

// dispatchQueued starts queued calls as long as a target has a free slot.
func (b *baselineRunner) dispatchQueued(sim *Simulation) {
	for len(b.queue) > 0 {
		i := slices.IndexFunc(sim.cfg.Service.Targets, func(t inventory.Target) bool {
			return b.busySlots[t.Name] < sim.cfg.Service.Slots
		})
		if i < 0 {
			return
		}
		name := sim.cfg.Service.Targets[i].Name
		c := b.queue[0]
		b.queue = b.queue[1:]
		b.busySlots[name]++
		sim.servers[name].send(func(r pool.Result) {
			b.busySlots[name]--
			sim.finish(c, r.Kind, name)
			b.dispatchQueued(sim)
		})
	}
}

// StartHeartbeats makes every holder send its numbers of free slots and waiting
// calls to all other VMs, at once and then at the given interval. The load balancer
// uses them to choose a pool; a Baseline ignores them.
func (sim *Simulation) StartHeartbeats(interval time.Duration) {
	var sendLoads func()
	sendLoads = func() {
		for _, id := range sim.poolIDs() {
			h := sim.holders[id]
			load, waiting := h.pool.Load(sim.now), h.queue.Len()
			at := sim.now
			sim.after(sim.cfg.NetworkDelay, func() {
				for _, n := range sim.vms {
					if n != h.vm {
						// Waiting calls will use free slots, so only slots beyond
						// their number are free for further calls. RecordLoad
						// treats a negative number as 0.
						n.picker.RecordLoad(at, id, load.Free-waiting, waiting)
					}
				}
			})
		}
		sim.after(interval, sendLoads)
	}
	sendLoads()
}
