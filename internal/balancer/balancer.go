// Package balancer picks the pool that a call is sent to.
package balancer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// loadHalfLife is the age at which a reported load has half of its weight
	// in the estimate. As a report ages, the estimated free slots approach
	// unknownFreeShare of the slots, and the estimated waiting calls approach
	// zero. Load changes within milliseconds and a call takes about 20 ms, while
	// heartbeats report it only once per second.
	loadHalfLife = 100 * time.Millisecond
	// unknownFreeShare is the share of a pool's slots that is assumed to be
	// free without a load report, and that the estimate approaches as a report
	// ages. The value is low, so a pool that reports a free slot is preferred.
	// It is above zero, so a pool without a report still gets calls, whose
	// answers carry a load report.
	unknownFreeShare = 0.25
)

// Candidate is a pool that can serve calls of a service.
type Candidate struct {
	Pool  inventory.PoolID
	VM    vm.Info // holder of the pool
	Local bool    // held by this VM
	Slots int
}

// Picker holds the candidate pools of each service and the load that their
// holders reported. It is safe for concurrent use. Pick reads an immutable
// list, which SetCandidates replaces.
type Picker struct {
	services   atomic.Pointer[map[string][]entry]
	pools      atomic.Pointer[map[inventory.PoolID]*poolLoad]
	mu         sync.Mutex // serializes SetCandidates
	tieBreaker atomic.Uint64
}

type entry struct {
	Candidate
	load *poolLoad
}

// poolLoad is the last reported load of one pool. Its mutex is held only while
// fields are copied.
type poolLoad struct {
	mu            sync.Mutex
	holder        vm.ID
	incarnation   uint64
	recordedAt    time.Time // zero: no report yet
	free, waiting int
	sentSince     int // calls sent since the report
}

// estimate is the estimated load of one pool at a given time.
type estimate struct {
	free  float64 // free slots; may be negative
	queue float64 // waiting calls per slot
}

// NewPicker returns a Picker without candidates. seed determines how ties are
// broken.
func NewPicker(seed uint64) *Picker {
	p := &Picker{}
	p.tieBreaker.Store(seed)
	p.services.Store(&map[string][]entry{})
	p.pools.Store(&map[inventory.PoolID]*poolLoad{})
	return p
}

// SetCandidates replaces the candidates of a service. The reported load of a
// pool is kept as long as its holder (VM and incarnation) stays the same.
func (p *Picker) SetCandidates(service string, c []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	services, pools := map[string][]entry{}, map[inventory.PoolID]*poolLoad{}
	for name, list := range *p.services.Load() {
		if name == service {
			continue
		}
		services[name] = list
		for _, e := range list {
			pools[e.Pool] = e.load
		}
	}
	current := *p.pools.Load()
	list := make([]entry, 0, len(c))
	for _, cand := range c {
		load, ok := current[cand.Pool]
		if !ok || load.holder != cand.VM.ID || load.incarnation != cand.VM.Incarnation {
			load = &poolLoad{holder: cand.VM.ID, incarnation: cand.VM.Incarnation}
		}
		pools[cand.Pool] = load
		list = append(list, entry{Candidate: cand, load: load})
	}
	if len(list) > 0 {
		services[service] = list
	}
	p.services.Store(&services)
	p.pools.Store(&pools)
}

// RecordLoad records the free slots and waiting calls that the holder of a pool
// reported. The holder also records the waiting calls of its own pools, because
// Pick compares them with those of the siblings. A report is ignored if its now
// is before that of the recorded report, or if the pool is no candidate.
func (p *Picker) RecordLoad(now time.Time, id inventory.PoolID, free, waiting int) {
	load, ok := (*p.pools.Load())[id]
	if !ok {
		return
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	if now.Before(load.recordedAt) {
		return
	}
	load.recordedAt, load.free, load.waiting, load.sentSince = now, max(free, 0), max(waiting, 0), 0
}

// RecordSent lowers the estimated free slots of a pool by one call until the
// next load report.
func (p *Picker) RecordSent(id inventory.PoolID) {
	if load, ok := (*p.pools.Load())[id]; ok {
		load.mu.Lock()
		load.sentSince++
		load.mu.Unlock()
	}
}

func (l *poolLoad) estimate(now time.Time, slots int) estimate {
	l.mu.Lock()
	at, free, waiting, sent := l.recordedAt, float64(l.free), float64(l.waiting), float64(l.sentSince)
	l.mu.Unlock()
	size := float64(max(slots, 1))
	w := 0.0
	if !at.IsZero() {
		w = math.Exp2(-float64(max(0, now.Sub(at))) / float64(loadHalfLife))
	}
	expected := w*free + (1-w)*unknownFreeShare*float64(slots) - sent
	return estimate{free: expected, queue: (w*waiting + max(0, -expected)) / size}
}

// Pick chooses a pool of a service, in this order of preference: a local pool
// with a free slot; the pool of a sibling with the most estimated free slots;
// the pool with the shortest queue relative to its slots. The estimate is the
// reported free slots, weighted by the age of the report (see loadHalfLife),
// less the calls sent there since. ownFree holds, for each local pool, the exact
// number of free slots less the waiting calls. Pools in exclude are not picked.
// Pick returns false when no candidate is left.
func (p *Picker) Pick(now time.Time, service string, ownFree map[inventory.PoolID]int, exclude []inventory.PoolID) (Candidate, bool) {
	list := (*p.services.Load())[service]
	if len(list) == 0 {
		return Candidate{}, false
	}
	start := int(mix(p.tieBreaker.Add(1)) % uint64(len(list)))
	var ownPool, siblingPool, shortestPool *entry
	bestOwn, bestFree, bestQueue := 0, 0.0, math.Inf(1)
	for i := range list {
		e := &list[(start+i)%len(list)]
		if slices.Contains(exclude, e.Pool) {
			continue
		}
		est := e.load.estimate(now, e.Slots)
		if e.Local {
			// ownFree is exact. The estimate must not select a local pool as
			// the sibling pool.
			est.free = 0
			if n := ownFree[e.Pool]; n > bestOwn {
				ownPool, bestOwn = e, n
			}
		}
		// With less than half an expected free slot, the call would probably be
		// queued anyway.
		if est.free >= 0.5 && est.free > bestFree {
			siblingPool, bestFree = e, est.free
		}
		if est.queue < bestQueue {
			shortestPool, bestQueue = e, est.queue
		}
	}
	for _, e := range []*entry{ownPool, siblingPool, shortestPool} {
		if e != nil {
			return e.Candidate, true
		}
	}
	return Candidate{}, false
}

// mix returns the x-th output, counted from 1, of the splitmix64 generator with
// seed 0.
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
