package main

import (
	"fmt"
	"time"
)

func init() { cases["silent"] = playSilent }

const (
	silentRounds   = 16
	silentPeriod   = 6500 * time.Millisecond
	silentInterval = 250 * time.Millisecond  // mean time between two requests of a caller
	silentBefore   = 1500 * time.Millisecond // from the start of a target until the connections go silent
	silentStep     = 137 * time.Millisecond  // added in each round, as nothing ties the disruption to what VMs do
	silentRemoval  = 300 * time.Millisecond  // from then until the target leaves
	silentServes   = 3700 * time.Millisecond // from then until it ends: drain_ms and a little longer
)

// playSilent lets all open connections of the VMs to each other, to the store and to the targets go
// silent, while new ones work. A target that never reports that it drains leaves 0.3 s later: its row
// is removed, and it goes on serving for drain_ms and a little longer.
func playSilent(r *run) error {
	if err := r.startCluster(2); err != nil {
		return err
	}
	endCalls := r.callAll(4, silentInterval)
	var left []departure
	for i := range silentRounds {
		begun := time.Now()
		x, err := r.startTarget(fmt.Sprintf("x-%d", i+1), zones[0], service)
		if err != nil {
			return err
		}
		leavesAt := begun.Add(silentBefore + time.Duration(i%5)*silentStep + silentRemoval)
		next := x.beatUntil(begun.Add(heartbeat), leavesAt.Add(-silentRemoval))
		d := departure{server: x.ID}
		if r.trouble {
			d.inTouch = time.Now().Add(contactTime)
			for _, l := range r.allLinks() {
				l.Blackhole()
			}
			r.notef("all open connections of the VMs to each other, to the store and to targets are silent from now on; new ones work")
		}
		x.beatUntil(next, leavesAt)
		x.leave()
		r.store.Remove("servers", x.ID)
		d.told = time.Now()
		r.notef("row of target %s removed; the target serves for %v from now", x.ID, silentServes)
		time.Sleep(silentServes)
		x.Close()
		r.notef("target %s has ended", x.ID)
		left = append(left, d)
		time.Sleep(time.Until(begun.Add(silentPeriod)))
	}
	endCalls()
	r.checkDepartures(left)
	return nil
}
