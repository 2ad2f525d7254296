package retry

import (
	"sync"
	"time"
)

// WindowLimits limit the retries that arrive at the servers of a service within
// any time span of length Window, over all VMs together. The limit is Ratio times
// the requests in that span plus Slack. The first arrival of a request is not a
// retry.
type WindowLimits struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries
	Window time.Duration
}

// safetyShare is the share of the limits that the VMs use together. The rest
// covers VMs that are not known yet and requests that did not arrive at a server.
const safetyShare = 0.9

// priorityShare holds, by priority, a part of this VM's share of the limits. Once its
// retries of all priorities have used that part, retries of the priority are refused. The
// last retries are reserved for requests of the highest priority.
var priorityShare = [...]float64{1, 0.85, 0.6}

// WindowBudget is this VM's share of limits that apply to all VMs together. It
// needs no communication between VMs: each VM may use retries in proportion to its
// own requests and an equal share of the slack. It is safe for concurrent use.
type WindowBudget struct {
	mu       sync.Mutex
	services map[string]*serviceWindow
}

// serviceWindow holds the times of a service's requests and retries in ascending
// order.
type serviceWindow struct {
	requests []time.Time
	retries  []time.Time
}

// NewWindowBudget returns a budget without recorded requests.
func NewWindowBudget() *WindowBudget {
	return &WindowBudget{services: map[string]*serviceWindow{}}
}

// window returns the requests and retries of a service within the window that ends
// at now. It drops older ones. The caller must hold mu.
func (b *WindowBudget) window(service string, now time.Time, window time.Duration) *serviceWindow {
	w, ok := b.services[service]
	if !ok {
		w = &serviceWindow{}
		b.services[service] = w
	}
	w.requests = dropThrough(w.requests, now.Add(-window))
	w.retries = dropThrough(w.retries, now.Add(-window))
	return w
}

// dropThrough returns the times after at. times must be sorted.
func dropThrough(times []time.Time, at time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(at) {
		n++
	}
	return times[n:]
}

// RecordRequest records a request for a service that was received at now. It must be
// called once per request and not for retries.
func (b *WindowBudget) RecordRequest(service string, now time.Time, l WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now, l.Window)
	w.requests = append(w.requests, now)
}

// Allow takes one retry from this VM's share of the limits. It returns false if the
// share for the request's priority is used up. vms is the number of VMs that share
// the limits. The highest priority is 0.
func (b *WindowBudget) Allow(service string, priority int, now time.Time, l WindowLimits, vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now, l.Window)
	limit := safetyShare * (l.Ratio*float64(len(w.requests)) + l.Slack/float64(max(vms, 1)))
	limit *= priorityShare[min(max(priority, 0), len(priorityShare)-1)]
	if float64(len(w.retries)+1) > limit {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}
