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
	// newsHalfLife is the age at which half of what a count said is still
	// believed. Load shifts within milliseconds, a call takes about 20 ms, and
	// heartbeats refresh the counts every second.
	newsHalfLife = 100 * time.Millisecond
	// unknownFree is the share of the slots assumed free without news. It is
	// low, so that news of a free slot wins, and above zero, so that a pool
	// without news gets calls and with them news.
	unknownFree = 0.25
)

// Candidate is a pool that may answer calls of a service.
type Candidate struct {
	Pool  inventory.PoolID
	VM    vm.Info // holder of the pool
	Local bool    // held by this VM
	Slots int
}

// Picker holds the candidates of each service and what siblings said about
// them. It is safe for concurrent use. Picks read an immutable list that
// SetCandidates swaps.
type Picker struct {
	services atomic.Pointer[map[string][]entry]
	pools    atomic.Pointer[map[inventory.PoolID]*news]
	mu       sync.Mutex // serializes SetCandidates
	ties     atomic.Uint64
}

type entry struct {
	Candidate
	news *news
}

// news is what is known about one pool. Its lock is held for a few loads and
// stores only.
type news struct {
	mu            sync.Mutex
	holder        vm.ID
	incarnation   uint64
	at            time.Time // zero: none yet
	free, waiting int
	sent          int // calls sent since
}

// estimate is a view of one pool at one time.
type estimate struct {
	free  float64 // slots
	queue float64 // waiting calls per slot
}

// NewPicker returns an empty table. seed sets how ties are broken.
func NewPicker(seed uint64) *Picker {
	t := &Picker{}
	t.ties.Store(seed)
	t.services.Store(&map[string][]entry{})
	t.pools.Store(&map[inventory.PoolID]*news{})
	return t
}

// SetCandidates replaces the candidates of a service. News of a pool are kept
// while its holder stays the same.
func (t *Picker) SetCandidates(service string, c []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services, pools := map[string][]entry{}, map[inventory.PoolID]*news{}
	for name, list := range *t.services.Load() {
		if name == service {
			continue
		}
		services[name] = list
		for _, e := range list {
			pools[e.Pool] = e.news
		}
	}
	known := *t.pools.Load()
	list := make([]entry, 0, len(c))
	for _, cand := range c {
		n, ok := known[cand.Pool]
		if !ok || n.holder != cand.VM.ID || n.incarnation != cand.VM.Incarnation {
			n = &news{holder: cand.VM.ID, incarnation: cand.VM.Incarnation}
		}
		pools[cand.Pool] = n
		list = append(list, entry{Candidate: cand, news: n})
	}
	if len(list) > 0 {
		services[service] = list
	}
	t.services.Store(&services)
	t.pools.Store(&pools)
}

// RecordLoad records the counts of a pool as its holder stated them. The holder
// of a pool also records its own waiting calls, which Pick compares with those
// of the siblings. Older news than the known is ignored.
func (t *Picker) RecordLoad(now time.Time, id inventory.PoolID, free, waiting int) {
	n, ok := (*t.pools.Load())[id]
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Before(n.at) {
		return
	}
	n.at, n.free, n.waiting, n.sent = now, max(free, 0), max(waiting, 0), 0
}

// RecordSent lowers the estimate of a pool by one call until the next news.
func (t *Picker) RecordSent(id inventory.PoolID) {
	if n, ok := (*t.pools.Load())[id]; ok {
		n.mu.Lock()
		n.sent++
		n.mu.Unlock()
	}
}

func (n *news) estimate(now time.Time, slots int) estimate {
	n.mu.Lock()
	at, free, waiting, sent := n.at, float64(n.free), float64(n.waiting), float64(n.sent)
	n.mu.Unlock()
	size := float64(max(slots, 1))
	w := 0.0
	if !at.IsZero() {
		w = math.Exp2(-float64(max(0, now.Sub(at))) / float64(newsHalfLife))
	}
	expected := w*free + (1-w)*unknownFree*float64(slots) - sent
	return estimate{free: expected, queue: (w*waiting + max(0, -expected)) / size}
}

// Pick chooses a pool of a service: an own pool with a free slot; else the
// pool of a sibling with the most free slots by news, less what was sent there
// since; else the pool with the shortest queue relative to its slots. ownFree
// holds the exact free slots of the own pools. Excluded pools are not picked.
// It returns false when no candidate is left.
func (t *Picker) Pick(now time.Time, service string, ownFree map[inventory.PoolID]int, exclude []inventory.PoolID) (Candidate, bool) {
	list := (*t.services.Load())[service]
	if len(list) == 0 {
		return Candidate{}, false
	}
	start := int(mix(t.ties.Add(1)) % uint64(len(list)))
	var own, free, short *entry
	bestOwn, bestFree, bestQueue := 0, 0.0, math.Inf(1)
	for i := range list {
		e := &list[(start+i)%len(list)]
		if slices.Contains(exclude, e.Pool) {
			continue
		}
		est := e.news.estimate(now, e.Slots)
		if e.Local {
			est.free = 0
			if n := ownFree[e.Pool]; n > bestOwn {
				own, bestOwn = e, n
			}
		}
		// Less than half an expected slot is no better than a queue.
		if est.free >= 0.5 && est.free > bestFree {
			free, bestFree = e, est.free
		}
		if est.queue < bestQueue {
			short, bestQueue = e, est.queue
		}
	}
	for _, e := range []*entry{own, free, short} {
		if e != nil {
			return e.Candidate, true
		}
	}
	return Candidate{}, false
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
