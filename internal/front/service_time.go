package front

import (
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

const (
	// initialGoalShare is the estimated service time of a route as a share of
	// its latency goal before any response was seen. Operators set goals at
	// about three times the service time.
	initialGoalShare = 0.37
	// observationWeight is the weight of a new observation in the moving
	// average.
	observationWeight = 0.05
	// fallbackServiceTime is the first estimate for routes without a latency
	// goal.
	fallbackServiceTime = 100 * time.Millisecond
)

// ServiceTimeEstimator estimates for each route how long a server at its usual
// speed takes for a request. It is safe for concurrent use.
type ServiceTimeEstimator struct {
	mu        sync.Mutex
	estimates map[string]time.Duration // by name of the route
}

// NewServiceTimeEstimator returns an estimator without observations.
func NewServiceTimeEstimator() *ServiceTimeEstimator {
	return &ServiceTimeEstimator{estimates: map[string]time.Duration{}}
}

// Estimate returns the estimated service time of a route.
func (t *ServiceTimeEstimator) Estimate(r *routing.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.estimates[r.Name]; ok {
		return d
	}
	if r.LatencyGoal == 0 {
		return fallbackServiceTime
	}
	return time.Duration(float64(r.LatencyGoal) * initialGoalShare)
}

// Observe records how long the chosen server took for a response. Responses of
// servers that were slow or had no free slot when chosen, or that are in
// another region, show little about the usual service time and are ignored.
func (t *ServiceTimeEstimator) Observe(r *routing.Route, took time.Duration, chosen placement.Candidate) {
	if chosen.Slowdown > 1 || chosen.Busy >= chosen.Slots || chosen.Distance == placement.OtherRegion {
		return
	}
	before := t.Estimate(r)
	// Limits the effect of a single slow response, for instance of a server that became
	// slow between the choice and the start of the request.
	took = min(took, 2*before)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimates[r.Name] = before + time.Duration(observationWeight*float64(took-before))
}
