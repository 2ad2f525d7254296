package simulation

import (
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

// Baseline is a way to send calls that the design is compared with.
type Baseline uint8

const (
	// None runs the design itself.
	None Baseline = iota
	// Random sends each call to a random target, which queues it.
	Random
	// RoundRobin lets each VM send to the targets in turn.
	RoundRobin
	// LeastInFlight lets each VM send to the target with the fewest calls in
	// flight by its own knowledge, ties at random.
	LeastInFlight
	// FIFO is one queue without bound and deadlines before all targets, which
	// start a call when a slot is free.
	FIFO
)

// direct is the state of a baseline.
type direct struct {
	kind     Baseline
	turn     []int            // per VM
	inFlight []map[string]int // per VM
	queue    []*Call
	busy     map[string]int // FIFO: slots in use
}

func newDirect(kind Baseline, vms int) *direct {
	d := &direct{kind: kind, busy: map[string]int{}}
	for range vms {
		d.turn = append(d.turn, 0)
		d.inFlight = append(d.inFlight, map[string]int{})
	}
	return d
}

// send passes a call that arrived at a VM.
func (d *direct) send(w *Simulation, at int, c *Call) {
	if d.kind == FIFO {
		d.queue = append(d.queue, c)
		d.drain(w)
		return
	}
	targets := w.cfg.Service.Targets
	i := 0
	switch d.kind {
	case RoundRobin:
		i = (d.turn[at] + at) % len(targets)
		d.turn[at]++
	case LeastInFlight:
		i = w.rng.IntN(len(targets))
		start := i
		for k := range targets {
			j := (start + k) % len(targets)
			if d.inFlight[at][targets[j].Name] < d.inFlight[at][targets[i].Name] {
				i = j
			}
		}
	default:
		i = w.rng.IntN(len(targets))
	}
	name := targets[i].Name
	d.inFlight[at][name]++
	w.servers[name].offer(func(r pool.Result) {
		d.inFlight[at][name]--
		w.end(c, r.Kind, name)
	})
}

func (d *direct) drain(w *Simulation) {
	for len(d.queue) > 0 {
		i := slices.IndexFunc(w.cfg.Service.Targets, func(t inventory.Target) bool {
			return d.busy[t.Name] < w.cfg.Service.Slots
		})
		if i < 0 {
			return
		}
		name := w.cfg.Service.Targets[i].Name
		c := d.queue[0]
		d.queue = d.queue[1:]
		d.busy[name]++
		w.servers[name].offer(func(r pool.Result) {
			d.busy[name]--
			w.end(c, r.Kind, name)
			d.drain(w)
		})
	}
}

// Heartbeats lets the holders tell all VMs their counts at an interval.
func (w *Simulation) Heartbeats(interval time.Duration) {
	var beat func()
	beat = func() {
		for _, id := range w.poolIDs() {
			h := w.holders[id]
			load, waiting := h.pool.Load(w.now), h.queue.Len()
			at := w.now
			w.after(w.cfg.NetworkDelay, func() {
				for _, n := range w.vms {
					if n != h.at {
						n.table.RecordLoad(at, id, load.Free-waiting, waiting)
					}
				}
			})
		}
		w.after(interval, beat)
	}
	beat()
}
