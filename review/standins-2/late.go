package main

import (
	"fmt"
	"time"
)

func init() { cases["late"] = playLate }

const (
	lateRounds   = 7
	latePeriod   = 14 * time.Second
	lateInterval = 250 * time.Millisecond // mean time between two requests of a caller
	lateLost     = 100 * time.Millisecond // from a lost answer to the end of the loss of answers
	// lateBy is the time after which the write with the lost answer is done. The platform does such
	// writes 1 to 6 s later.
	lateBy = 4600 * time.Millisecond
	// lateDrain is the time from the end of the loss until the target reports that it drains. It is
	// longer than contact_ms, so that the store is stable by then.
	lateDrain = 3100 * time.Millisecond
	// lateServes is the time for which the target then serves: drain_ms and a little longer.
	lateServes = 2800 * time.Millisecond
)

// playLate lets the store lose the answer to one heartbeat of a target, a write that is done 4.6 s
// later. Meanwhile the target reports that it drains. No VM is disturbed.
func playLate(r *run) error {
	if err := r.startCluster(2); err != nil {
		return err
	}
	endCalls := r.callAll(3, lateInterval)
	var left []departure
	for i := range lateRounds {
		begun := time.Now()
		x, err := r.startTarget(fmt.Sprintf("x-%d", i+1), zones[0], service)
		if err != nil {
			return err
		}
		lostAt := x.beatUntil(begun.Add(heartbeat), begun.Add(2*heartbeat+heartbeat/2))
		time.Sleep(time.Until(lostAt))
		if row := x.row(); r.trouble {
			r.notef("heartbeat of %s with state ready: its answer is lost, and it is not done yet", x.ID)
			time.AfterFunc(lateBy, func() { x.write(row, "late heartbeat") })
		} else {
			x.write(row, "heartbeat")
		}
		drainAt := lostAt.Add(lateLost + lateDrain)
		next := x.beatUntil(lostAt.Add(heartbeat), drainAt)
		x.leave()
		x.write(x.row(), "it drains")
		reported := time.Now()
		x.beatUntil(next, reported.Add(lateServes))
		x.Close()
		r.store.Remove("servers", x.ID)
		r.notef("target %s has ended", x.ID)
		left = append(left, departure{server: x.ID, told: reported})
		time.Sleep(time.Until(begun.Add(latePeriod)))
	}
	endCalls()
	r.checkDepartures(left)
	return nil
}
