package retry

import (
	"sync"
	"time"
)

// WindowLimits bound the arrivals of a service beyond the first of each request
// within any span of Window, over all VMs together.
type WindowLimits struct {
	Ratio  float64 // per request
	Slack  float64 // arrivals
	Window time.Duration
}

// safetyShare is the part of the limits that VMs use. The rest covers VMs that
// are not known yet and requests that never arrived.
const safetyShare = 0.9

// rankShare is the part of its share that a VM uses for requests of each rank, so
// that the last retries are left to the most urgent ones.
var rankShare = [...]float64{1, 0.85, 0.6}

// WindowBudget is this VM's share of limits that hold for all VMs together. It
// needs no messages: a VM earns retries with its own requests, and an equal
// share of the slack. It is safe for concurrent use.
type WindowBudget struct {
	mu       sync.Mutex
	services map[string]*windowCounts
}

type windowCounts struct {
	firsts  []time.Time
	repeats []time.Time
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget() *WindowBudget {
	return &WindowBudget{services: map[string]*windowCounts{}}
}

func (b *WindowBudget) counts(service string, now time.Time, window time.Duration) *windowCounts {
	c, ok := b.services[service]
	if !ok {
		c = &windowCounts{}
		b.services[service] = c
	}
	c.firsts = since(c.firsts, now.Add(-window))
	c.repeats = since(c.repeats, now.Add(-window))
	return c
}

// since drops the times up to at from a sorted list.
func since(list []time.Time, at time.Time) []time.Time {
	n := 0
	for n < len(list) && !list[n].After(at) {
		n++
	}
	return list[n:]
}

// RecordRequest records a request for a service.
func (b *WindowBudget) RecordRequest(service string, now time.Time, l WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now, l.Window)
	c.firsts = append(c.firsts, now)
}

// Allow takes one repeated arrival from the share of this VM, one of vms, or
// returns false. rank is that of the request; 0 is the highest.
func (b *WindowBudget) Allow(service string, rank int, now time.Time, l WindowLimits, vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(service, now, l.Window)
	limit := safetyShare * (l.Ratio*float64(len(c.firsts)) + l.Slack/float64(max(vms, 1)))
	limit *= rankShare[min(max(rank, 0), len(rankShare)-1)]
	if float64(len(c.repeats)+1) > limit {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}
