package main

import (
	"slices"
	"time"
)

// departure is the departure of a target.
type departure struct {
	server string
	told   time.Time // time at which the store confirmed that the target drains or is gone
	// inTouch is the time from which all VMs are in touch, or zero if they have always been.
	inTouch time.Time
}

// checkDepartures checks that no VM in touch sent a target a request that arrived later than drain_ms
// after the store confirmed that the target drains or is gone.
func (r *run) checkDepartures(left []departure) {
	r.mu.Lock()
	requests := slices.Clone(r.order)
	r.mu.Unlock()
	for _, x := range left {
		bound := x.told.Add(drainTime)
		arrivals, late, lost := 0, 0, 0
		for _, q := range requests {
			for _, a := range q.arrivals {
				if a.server != x.server {
					continue
				}
				arrivals++
				if !a.at.After(bound) || q.sent.Before(x.inTouch) {
					continue
				}
				late++
				outcome := "answered"
				if !q.safe && a.ran && q.status != 200 {
					lost++
					outcome = "which ran and whose answer is lost, answered"
				}
				r.brokenf("DRAIN: %s %s, sent to %s at%s, reached target %s %d ms after the confirmation, %s %d",
					q.method, q.id, q.vm, r.since(q.sent), x.server, a.at.Sub(x.told).Milliseconds(), outcome, q.status)
			}
		}
		r.notef("target %s got %d requests, %d of them later than drain_ms from VMs in touch, of which %d orders lost their answer",
			x.server, arrivals, late, lost)
	}
}
