// Package waitqueue holds requests until placement sends or refuses them. The
// decisions and their order are those of package placement.
package waitqueue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// AcquireRequest is a request that needs a server.
type AcquireRequest struct {
	Service  string
	Priority int // 0 is the highest
	placement.Request
	// AllowsRegion tells whether servers of a region may serve the request.
	AllowsRegion func(region string) bool
	// Tried are servers that have refused or failed the request.
	Tried []string
}

// AcquireResult is the outcome for one AcquireRequest.
type AcquireResult struct {
	placement.Decision
	Server string // ID of the chosen server
	// Waited is the time from Acquire to the decision.
	Waited time.Duration
	// Age is the age of the reading that decided.
	Age time.Duration
	// CandidateCount is the number of servers that were considered.
	CandidateCount int
	Chosen         placement.Candidate
}

// CandidateSource supplies candidates. Its methods are called under the lock of the Queue,
// which is therefore outside the lock of the fleet's table.
type CandidateSource interface {
	Candidates(now time.Time, a *AcquireRequest) []placement.Candidate
	// RequestStarted records that the request goes to the server.
	RequestStarted(server string, now time.Time)
}

// Queue holds the waiting requests of a VM. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	queue   placement.Queue
	waiters map[*placement.QueuedRequest]*waiter
}

type waiter struct {
	ask     AcquireRequest
	granted chan AcquireResult // capacity 1
}

// New returns an empty Queue.
func New(fleet CandidateSource, costs placement.Penalties) *Queue {
	r := &Queue{waiters: map[*placement.QueuedRequest]*waiter{}}
	r.queue = placement.Queue{
		Penalties: costs, Rand: rand.Float64, //nolint:gosec // no secret
		Candidates: func(now time.Time, it *placement.QueuedRequest) []placement.Candidate {
			return fleet.Candidates(now, &r.waiters[it].ask)
		},
		Sent: func(_ *placement.QueuedRequest, server string, now time.Time) { fleet.RequestStarted(server, now) },
	}
	return r
}

// Acquire returns the decision for a. It blocks while the decision is to wait;
// the error is that of ctx.
func (r *Queue) Acquire(ctx context.Context, a AcquireRequest) (AcquireResult, error) {
	now := time.Now()
	it := &placement.QueuedRequest{Request: a.Request, Service: a.Service, Priority: a.Priority, Since: now}
	w := &waiter{ask: a, granted: make(chan AcquireResult, 1)}
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
		return AcquireResult{}, ctx.Err()
	}
}

// Wake decides again, after news of servers, the end of a request, or time.
func (r *Queue) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() > 0 {
		r.pass(time.Now())
	}
}

// Len returns the number of waiting requests.
func (r *Queue) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Len()
}

// pass hands the decisions out. The caller holds the lock.
func (r *Queue) pass(now time.Time) {
	for _, o := range r.queue.DecideAll(now) {
		w := r.waiters[o.Item]
		delete(r.waiters, o.Item)
		w.granted <- AcquireResult{
			Decision: o.Decision, Server: o.Chosen.ID, Waited: now.Sub(o.Item.Since),
			Age: o.Chosen.Age, CandidateCount: o.CandidateCount, Chosen: o.Chosen,
		}
	}
}
