// Package attemptage estimates how long ago a caller made its first attempt at a request. The
// latency goal counts from there, but each attempt arrives as a request of its own, mostly at
// another VM. The estimate rests on the time that the caller says it will still wait: first
// attempts of a route state similar times, and repeated ones state less.
//
// It answers the load of an overload in which refused callers come back: without it, attempts
// that can no longer meet their goal take servers away from first attempts that could.
package attemptage

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleSize is the number of latest requests of a route from which the usual time is
	// determined, and minSamples the number from which it is known.
	sampleSize = 128
	minSamples = 24
	// refreshEvery is the number of new samples after which the quantiles are determined again.
	refreshEvery = 8
	// lowShare is the share of the samples that may be repeated attempts. Outside of an
	// overload, fewer requests fail.
	lowShare = 0.1
)

// Estimator estimates the age of attempts by route. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes holds the stated times of the latest requests of a route.
type routeTimes struct {
	samples     []time.Duration // a ring of at most sampleSize
	next        int
	fresh       int // samples since low and median were determined
	low, median time.Duration
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{routes: map[string]*routeTimes{}} }

// Observe records the time that a request states, or ignores it if stated is zero. It must be
// called only for requests that arrive while their service is not overloaded, since in an
// overload most requests can be repeated attempts.
func (e *Estimator) Observe(route string, stated time.Duration) {
	if stated <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.routes[route]
	if !ok {
		r = &routeTimes{}
		e.routes[route] = r
	}
	if len(r.samples) < sampleSize {
		r.samples = append(r.samples, stated)
	} else {
		r.samples[r.next] = stated
		r.next = (r.next + 1) % sampleSize
	}
	if r.fresh++; len(r.samples) >= minSamples && (r.fresh >= refreshEvery || r.low == 0) {
		sorted := slices.Sorted(slices.Values(r.samples))
		r.low = sorted[int(lowShare*float64(len(sorted)))]
		r.median = sorted[len(sorted)/2]
		r.fresh = 0
	}
}

// Age returns the estimated time since the first attempt of a request that states the given
// time. It is zero for a time that first attempts state too, and as long as too few requests of
// the route are known.
func (e *Estimator) Age(route string, stated time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.routes[route]
	if !ok || stated >= r.low {
		return 0
	}
	return r.median - stated
}

// Retain drops the samples of the routes for which keep returns false.
func (e *Estimator) Retain(keep func(route string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.routes {
		if !keep(name) {
			delete(e.routes, name)
		}
	}
}
