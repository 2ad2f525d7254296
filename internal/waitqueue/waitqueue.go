// Package waitqueue blocks requests until they are sent to a server or refused.
// Package placement makes the decisions and defines their order.
package waitqueue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fairshare"
	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// recheckInterval is the longest time between two decisions on the waiting requests.
const recheckInterval = 10 * time.Millisecond

// AcquireRequest is a request that needs a server.
type AcquireRequest struct {
	Service  string
	Priority int // 0 is the highest
	// Team is the name of the caller's team; empty if callers have none.
	Team string
	// TeamWeight is the weight of the team when room is divided among teams; 0 if it has none.
	TeamWeight float64
	placement.Request
	// AllowsRegion reports whether servers of a region may serve the request.
	AllowsRegion func(region string) bool
	// Tried holds the IDs of servers that have already rejected or failed the
	// request.
	Tried []string
}

// AcquireResult is the decision for one AcquireRequest.
type AcquireResult struct {
	placement.Decision
	Server string // ID of the chosen server; empty if the request is refused
	// Waited is the time from Acquire to the decision.
	Waited time.Duration
	// ReadingAge is the age of the fleet.Reading of the chosen server; 0 if the request is refused.
	ReadingAge time.Duration
	// CandidateCount is the number of servers that were considered.
	CandidateCount int
	Chosen         placement.Candidate // valid only if the action is Send
}

// CandidateSource supplies the servers for a request. Its methods are called with
// the lock of the Queue held and may take the lock of fleet.ServerTable. They
// must not call the Queue.
type CandidateSource interface {
	// Candidates returns the servers that may serve the request.
	Candidates(now time.Time, request *AcquireRequest) []placement.Candidate
	// RequestStarted records that a request is about to be sent to the server.
	RequestStarted(server string, now time.Time)
}

// Queue holds the waiting requests of this VM. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	queue   placement.Queue
	waiters map[*placement.QueuedRequest]*waiter
	recheck bool // a timer for the next decision is running
}

// waiter is a call of Acquire that waits for its result.
type waiter struct {
	request AcquireRequest
	result  chan AcquireResult // capacity 1
}

// New returns an empty Queue that chooses among the servers of source. shares records what teams
// get; nil if there are no teams.
func New(source CandidateSource, penalties placement.Penalties, shares *fairshare.Ledger) *Queue {
	q := &Queue{waiters: map[*placement.QueuedRequest]*waiter{}}
	q.queue = placement.Queue{
		Penalties: penalties, Shares: shares, Rand: rand.Float64, //nolint:gosec // no secret
		Candidates: func(now time.Time, req *placement.QueuedRequest) []placement.Candidate {
			return source.Candidates(now, &q.waiters[req].request)
		},
		OnSend: func(_ *placement.QueuedRequest, server string, now time.Time) { source.RequestStarted(server, now) },
	}
	return q
}

// Acquire returns the decision to send or refuse the request. It blocks while the
// decision is to wait. If ctx ends first, Acquire removes the request from the
// queue and returns the error of ctx.
func (q *Queue) Acquire(ctx context.Context, request AcquireRequest) (AcquireResult, error) {
	now := time.Now()
	req := &placement.QueuedRequest{Request: request.Request, Service: request.Service, Priority: request.Priority, EnqueuedAt: now, Team: request.Team, TeamWeight: request.TeamWeight}
	w := &waiter{request: request, result: make(chan AcquireResult, 1)}
	q.add(now, req, w)
	select {
	case result := <-w.result:
		return result, nil
	case <-ctx.Done():
	}
	q.remove(req)
	select {
	case result := <-w.result:
		return result, nil // decided at the moment when ctx ended
	default:
		return AcquireResult{}, ctx.Err()
	}
}

// add adds a request and decides on all waiting requests. If that panics, the request is
// removed again, so that the next decision does not meet it.
func (q *Queue) add(now time.Time, req *placement.QueuedRequest, w *waiter) {
	decided := false
	defer func() {
		if !decided {
			q.remove(req)
		}
	}()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters[req] = w
	q.queue.Add(req)
	q.deliverDecisions(now)
	decided = true
}

func (q *Queue) remove(req *placement.QueuedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(req)
	delete(q.waiters, req)
}

// Wake decides again on all waiting requests. It must be called when the state of
// a server changes and when a request ends. Decisions also depend on the time, so the
// Queue itself decides again every recheckInterval while requests wait.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Len() > 0 {
		q.deliverDecisions(time.Now())
	}
}

// Overloaded reports whether a service is overloaded at this VM.
func (q *Queue) Overloaded(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Overloaded(time.Now(), service)
}

// MarkOverloaded records that a service is overloaded until the given time.
func (q *Queue) MarkOverloaded(service string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.MarkOverloaded(service, until)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// deliverDecisions decides on all waiting requests and passes each final decision
// to its waiter. The caller must hold mu.
func (q *Queue) deliverDecisions(now time.Time) {
	for _, outcome := range q.queue.DecideAll(now) {
		w := q.waiters[outcome.Request]
		delete(q.waiters, outcome.Request)
		w.result <- AcquireResult{
			Decision: outcome.Decision, Server: outcome.Chosen.ID, Waited: now.Sub(outcome.Request.EnqueuedAt),
			ReadingAge: outcome.Chosen.Age, CandidateCount: outcome.CandidateCount, Chosen: outcome.Chosen,
		}
	}
	if q.queue.Len() > 0 && !q.recheck {
		q.recheck = true
		time.AfterFunc(recheckInterval, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.recheck = false
			q.deliverDecisions(time.Now())
		})
	}
}
