package gateway

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// maxRecentRefusals is the number of refusals that are kept for the state dump.
const maxRecentRefusals = 64

// Refusal describes a request to which the gateway replied without the answer of a
// target: the request was refused, or its outcome is unknown, for example because
// a connection was lost. Apart from the service and the reason, it contains no data
// of the request.
type Refusal struct {
	At      time.Time      `json:"at"`
	Service string         `json:"service,omitempty"`
	Outcome string         `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	AfterMs int64          `json:"after_ms"` // time from the arrival of the request to the reply, in ms
}

// refusalLog keeps the last maxRecentRefusals refusals in a ring buffer. It is
// safe for concurrent use.
type refusalLog struct {
	mu    sync.Mutex
	ring  [maxRecentRefusals]Refusal
	added int
}

func (r *refusalLog) add(e Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.added%maxRecentRefusals] = e
	r.added++
}

// list returns a copy of the refusals, oldest first.
func (r *refusalLog) list() []Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Refusal, 0, min(r.added, maxRecentRefusals))
	for i := max(0, r.added-maxRecentRefusals); i < r.added; i++ {
		out = append(out, r.ring[i%maxRecentRefusals])
	}
	return out
}
