package gateway

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// recentSize is the number of refusals that the state dump shows.
const recentSize = 64

// Refusal is a call that did not end with an answer. It names the service and
// the reason and holds nothing else of the request.
type Refusal struct {
	At      time.Time      `json:"at"`
	Service string         `json:"service,omitempty"`
	Outcome string         `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	AfterMs int64          `json:"after_ms"` // time since the request arrived
}

// recent keeps the last refusals.
type recent struct {
	mu   sync.Mutex
	ring [recentSize]Refusal
	next int
}

func (r *recent) add(e Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next%recentSize] = e
	r.next++
}

// list returns the refusals, oldest first.
func (r *recent) list() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Refusal, 0, min(r.next, recentSize))
	for i := max(0, r.next-recentSize); i < r.next; i++ {
		out = append(out, r.ring[i%recentSize])
	}
	return out
}
