// Package waiting holds requests until placement sends or refuses them. The
// decisions are those of package placement; this package keeps the order: rank
// first, then the time left.
package waiting

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// maxWaiting bounds the requests that wait at one VM. Further ones of lower
// rank are refused. At today's 7 requests/s of a VM this is several seconds of
// work, more than any caller waits.
const maxWaiting = 128

// Ask is a request that needs a server.
type Ask struct {
	ID       string
	Service  string
	Route    string
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
	fleet Fleet
	costs placement.Costs

	mu      sync.Mutex
	waiting []*waiter // in order of service
}

type waiter struct {
	ask     Ask
	since   time.Time
	granted chan Grant // capacity 1
}

// NewRoom returns an empty Room.
func NewRoom(fleet Fleet, costs placement.Costs) *Room {
	return &Room{fleet: fleet, costs: costs}
}

// Acquire returns the decision for a. It blocks while the decision is to wait;
// the error is that of ctx.
func (r *Room) Acquire(ctx context.Context, a Ask) (Grant, error) {
	w := &waiter{ask: a, since: time.Now(), granted: make(chan Grant, 1)}
	r.mu.Lock()
	at, _ := slices.BinarySearchFunc(r.waiting, w, order)
	r.waiting = slices.Insert(r.waiting, at, w)
	r.pass(w.since)
	r.dropLowest()
	r.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.waiting = slices.DeleteFunc(r.waiting, func(o *waiter) bool { return o == w })
	r.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil // decided at the same moment
	default:
		return Grant{}, ctx.Err()
	}
}

func order(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), a.ask.Deadline.Compare(b.ask.Deadline))
}

// Wake decides again, after news of servers, the end of a request, or time.
func (r *Room) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) > 0 {
		r.pass(time.Now())
	}
}

// Waiting returns the number of waiting requests.
func (r *Room) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting)
}

// pass decides for all waiting requests in order.
func (r *Room) pass(now time.Time) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *waiter) bool {
		candidates := r.fleet.Candidates(now, &w.ask)
		d := placement.Decide(now, w.ask.Request, candidates, r.costs, rand.Float64()) //nolint:gosec // no secret
		if d.Action == placement.Wait {
			return false
		}
		g := Grant{Decision: d, Waited: now.Sub(w.since), Candidates: len(candidates)}
		if d.Action == placement.Send {
			c := candidates[d.Index]
			g.Server, g.Age, g.Chosen = c.ID, c.Age, c
			r.fleet.Sent(c.ID, now)
		}
		w.granted <- g
		return true
	})
}

// dropLowest refuses the requests that rank last when too many wait.
func (r *Room) dropLowest() {
	for len(r.waiting) > maxWaiting {
		last := len(r.waiting) - 1
		w := r.waiting[last]
		r.waiting = r.waiting[:last]
		w.granted <- Grant{
			Decision: placement.Decision{Action: placement.Refuse, Reason: placement.AllFull},
			Waited:   time.Since(w.since),
		}
	}
}
