// Package waiting holds requests until placement sends or refuses them. The
// decisions and their order are those of package placement.
package waiting

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// Ask is a request that needs a server.
type Ask struct {
	Service  string
	Priority int // 0 is the highest
	placement.Request
	// AllowsRegion tells whether servers of a region may serve the request.
	AllowsRegion func(region string) bool
	// Tried are servers that have refused or failed the request.
	Tried []string
}

// Grant is the outcome for one Ask.
type Grant struct {
	placement.Decision
	Server string // ID of the chosen server
	// Waited is the time from Acquire to the decision.
	Waited time.Duration
	// Age is the age of the reading that decided.
	Age time.Duration
	// Candidates is the number of servers that were considered.
	Candidates int
	Chosen     placement.Candidate
}

// Fleet supplies candidates. Its methods are called under the lock of the Room,
// which is therefore outside the lock of the fleet's table.
type Fleet interface {
	Candidates(now time.Time, a *Ask) []placement.Candidate
	// Sent records that the request goes to the server.
	Sent(server string, now time.Time)
}

// Room holds the waiting requests of a VM. It is safe for concurrent use.
type Room struct {
	mu      sync.Mutex
	queue   placement.Queue
	waiters map[*placement.Item]*waiter
}

type waiter struct {
	ask     Ask
	granted chan Grant // capacity 1
}

// NewRoom returns an empty Room.
func NewRoom(fleet Fleet, costs placement.Costs) *Room {
	r := &Room{waiters: map[*placement.Item]*waiter{}}
	r.queue = placement.Queue{
		Costs: costs, Draw: rand.Float64, //nolint:gosec // no secret
		Candidates: func(now time.Time, it *placement.Item) []placement.Candidate {
			return fleet.Candidates(now, &r.waiters[it].ask)
		},
		Sent: func(_ *placement.Item, server string, now time.Time) { fleet.Sent(server, now) },
	}
	return r
}

// Acquire returns the decision for a. It blocks while the decision is to wait;
// the error is that of ctx.
func (r *Room) Acquire(ctx context.Context, a Ask) (Grant, error) {
	now := time.Now()
	it := &placement.Item{Request: a.Request, Service: a.Service, Rank: a.Priority, Since: now}
	w := &waiter{ask: a, granted: make(chan Grant, 1)}
	r.mu.Lock()
	r.waiters[it] = w
	r.queue.Add(it)
	r.pass(now)
	r.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.queue.Remove(it)
	delete(r.waiters, it)
	r.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil // decided at the same moment
	default:
		return Grant{}, ctx.Err()
	}
}

// Wake decides again, after news of servers, the end of a request, or time.
func (r *Room) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() > 0 {
		r.pass(time.Now())
	}
}

// Waiting returns the number of waiting requests.
func (r *Room) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len()
}

// pass hands the decisions out. The caller holds the lock.
func (r *Room) pass(now time.Time) {
	for _, o := range r.queue.Pass(now) {
		w := r.waiters[o.Item]
		delete(r.waiters, o.Item)
		w.granted <- Grant{
			Decision: o.Decision, Server: o.Chosen.ID, Waited: now.Sub(o.Item.Since),
			Age: o.Chosen.Age, Candidates: o.Of, Chosen: o.Chosen,
		}
	}
}
