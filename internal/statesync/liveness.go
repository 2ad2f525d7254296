package statesync

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
)

// AliveFor is the time for which a VM counts as alive after it last sent a message, to
// this VM or to a sibling that reports it to this VM. It is twice the refreshInterval
// of this package plus the delay of the VM's message and of the sibling's report.
const AliveFor = 700 * time.Millisecond

// Liveness records when each VM was last known to be alive. It is safe for
// concurrent use.
type Liveness struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time // latest time at which a VM was alive, by VM ID
}

// NewLiveness returns a Liveness without any VM.
func NewLiveness() *Liveness { return &Liveness{lastSeen: map[string]time.Time{}} }

// RecordAlive records that a VM was alive at seenAt. It has no effect if a later time is
// recorded.
func (l *Liveness) RecordAlive(vm string, seenAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if seenAt.After(l.lastSeen[vm]) {
		l.lastSeen[vm] = seenAt
	}
}

// Remove removes the record of a VM after the stream from it has ended. The VM
// counts as lost until RecordAlive is called for it again.
func (l *Liveness) Remove(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lastSeen, vm)
}

// Alive reports whether a VM was known to be alive less than AliveFor before now.
func (l *Liveness) Alive(vm string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.lastSeen[vm]
	return ok && now.Sub(at) < AliveFor
}

// Filter returns those of vms that are alive, in the given order.
func (l *Liveness) Filter(vms []fleet.VM, now time.Time) []fleet.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []fleet.VM
	for _, v := range vms {
		if at, ok := l.lastSeen[v.ID]; ok && now.Sub(at) < AliveFor {
			out = append(out, v)
		}
	}
	return out
}
