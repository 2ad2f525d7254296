package front

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

const (
	// firstGuess is the usual work as a share of the latency goal before any
	// answer was seen: operators set goals at about three times the work.
	firstGuess = 0.37
	// workWeight is the weight of a new observation.
	workWeight = 0.05
	// fallbackWork is assumed for routes without a goal.
	fallbackWork = 100 * time.Millisecond
)

// ServiceTimeEstimator knows how long a server at the usual speed works on the requests of
// each route. It is safe for concurrent use.
type ServiceTimeEstimator struct {
	mu    sync.Mutex
	usual map[string]time.Duration // by route
}

// NewServiceTimeEstimator returns an empty record.
func NewServiceTimeEstimator() *ServiceTimeEstimator {
	return &ServiceTimeEstimator{usual: map[string]time.Duration{}}
}

// Estimate returns the usual work of a route.
func (t *ServiceTimeEstimator) Estimate(r *routing.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.usual[r.Name]; ok {
		return d
	}
	if r.LatencyGoal == 0 {
		return fallbackWork
	}
	return time.Duration(float64(r.LatencyGoal) * firstGuess)
}

// Observe records the time of an answer of the chosen server. Answers of servers
// that were slow or full when chosen say little about the usual work.
func (t *ServiceTimeEstimator) Observe(r *routing.Route, took time.Duration, chosen placement.Candidate) {
	if chosen.Slowdown > 1 || chosen.Busy >= chosen.Slots || chosen.Distance == placement.OtherRegion {
		return
	}
	before := t.Estimate(r)
	// A server that turns slow during the work is an outlier.
	took = min(took, 2*before)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usual[r.Name] = before + time.Duration(workWeight*float64(took-before))
}
