package statesync

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// AliveFor is how long a VM counts as alive after it was last heard from, by
// this VM or by a sibling that passed it on. It is twice the refresh interval
// plus the time of two hops.
const AliveFor = 700 * time.Millisecond

// Liveness knows when each VM was last heard from. It is safe for concurrent use.
type Liveness struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// NewLiveness returns an empty record.
func NewLiveness() *Liveness { return &Liveness{last: map[string]time.Time{}} }

// Heard records that a VM was alive at at.
func (s *Liveness) Heard(vm string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.last[vm]) {
		s.last[vm] = at
	}
}

// Lost forgets that a VM was heard, after its stream ended.
func (s *Liveness) Lost(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.last, vm)
}

// Alive reports whether a VM was heard within AliveFor.
func (s *Liveness) Alive(vm string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.last[vm]
	return ok && now.Sub(at) < AliveFor
}

// Filter returns the VMs of list that are alive.
func (s *Liveness) Filter(list []fleet.VM, now time.Time) []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.VM
	for _, v := range list {
		if at, ok := s.last[v.ID]; ok && now.Sub(at) < AliveFor {
			out = append(out, v)
		}
	}
	return out
}
