package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["forged"] = playForged }

const (
	forgedRounds   = 12
	forgedPeriod   = 3 * heartbeat
	forgedInterval = 120 * time.Millisecond // mean time between two requests of a caller
)

// playForged lets another writer overwrite the row of a target with one that lacks sequence,
// warmup_left_ms and born, and that names the other service. The next heartbeat of the target
// restores it.
func playForged(r *run) error {
	if err := r.startCluster(1); err != nil {
		return err
	}
	y, err := r.startTarget("y-1", zones[0], otherService)
	if err != nil {
		return err
	}
	endCalls := r.callAll(4, forgedInterval)
	next := time.Now().Add(heartbeat)
	for range forgedRounds {
		next = y.beatUntil(next, next.Add(heartbeat/10))
		if r.trouble {
			err := r.store.Put("servers", y.ID, map[string]any{
				"address": y.Address,
				"info":    map[string]any{"service": service, "zone": y.FailureDomain, "slots": slots, "version": "v1"},
				"status":  map[string]any{"state": "ready"},
			})
			if err != nil {
				return fmt.Errorf("row of another writer: %w", err)
			}
			r.notef("another writer overwrites the row of %s: service %s; born, sequence and warmup_left_ms are missing", y.ID, service)
		}
		next = y.beatUntil(next, next.Add(forgedPeriod-heartbeat))
	}
	endCalls()
	r.mu.Lock()
	requests := slices.Clone(r.order)
	r.mu.Unlock()
	for _, q := range requests {
		for _, a := range q.arrivals {
			if a.server == y.ID && a.ran {
				r.brokenf("ROUTE: %s %s %s to %s was run by target %s of service %s; answered %d",
					q.method, q.id, q.path, q.vm, y.ID, otherService, q.status)
			}
		}
	}
	return nil
}
