package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	coldRounds   = 14
	coldInterval = 40 * time.Millisecond // mean time between two requests of a caller
	coldCallers  = 6                     // of each VM
	coldWork     = 20 * time.Millisecond
	coldAway     = 3 * time.Second // for which the zone is to get nothing
	coldPause    = 4 * time.Second // from its return until it is emptied again
	// coldTime is warmup_s, and coldBound the number of requests that a cold target may get within one
	// second: warmup_per_s x warmup_overshoot + warmup_slack, with the 2.7 of vasar-kapu.
	coldTime      = 3 * time.Second
	coldPerSecond = 2.7
	coldBound     = coldPerSecond*1.5 + 5
)

// coldVMs are the numbers of VMs by zone, those of vasar-kapu.
var coldVMs = map[string]int{"east-a": 5, "east-b": 3, "west-a": 3, "west-b": 3}

// coldTargets are the numbers of targets by zone.
var coldTargets = map[string]int{"east-a": 3, "east-b": 2, "west-a": 2, "west-b": 2}

// returned is a time at which a target was cold.
type returned struct {
	target     string
	start, end time.Time
}

// playCold empties a zone and takes it back several times. Its targets are cold when it comes back.
func playCold(r *run) error {
	r.work, r.coldPerSecond = coldWork, coldPerSecond
	r.regions = map[string]string{}
	for _, zone := range zones {
		r.regions[zone] = "east"
	}
	if err := r.configure(); err != nil {
		return err
	}
	var emptied []*target
	for _, zone := range zones {
		for i := range coldTargets[zone] {
			t, err := r.startTarget(fmt.Sprintf("t-%s-%d", zone, i+1), zone, service)
			if err != nil {
				return err
			}
			go t.beatUntil(time.Now().Add(heartbeat), time.Now().Add(maxTime))
			if zone == zones[0] {
				emptied = append(emptied, t)
			}
		}
		for i := range coldVMs[zone] {
			if err := r.startVM(fmt.Sprintf("front-%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	for _, v := range r.vms {
		if err := v.waitReady(); err != nil {
			return err
		}
	}
	endCalls := r.callAll(coldCallers, coldInterval)
	time.Sleep(coldPause)
	var cold []returned
	for range coldRounds {
		if r.trouble {
			if err := r.store.Evacuate(zones[0]); err != nil {
				return err
			}
			r.notef("zone %s is to get nothing", zones[0])
		}
		time.Sleep(coldAway)
		if r.trouble {
			for _, t := range emptied {
				t.SetCold(coldTime)
				cold = append(cold, returned{t.ID, time.Now(), time.Now().Add(coldTime)})
			}
			r.store.Return(zones[0])
			r.notef("zone %s is taken back; its targets are cold", zones[0])
		}
		time.Sleep(coldPause)
	}
	endCalls()
	r.checkCold(cold)
	return nil
}

// checkCold checks that no cold target got more requests within a second than it may. Counted are
// requests that were sent and arrived inside the second.
func (r *run) checkCold(cold []returned) {
	r.mu.Lock()
	requests := slices.Clone(r.order)
	r.mu.Unlock()
	type hit struct{ sent, at time.Time }
	for _, c := range cold {
		var hits []hit
		for _, q := range requests {
			for _, a := range q.arrivals {
				if a.server == c.target && a.at.After(c.start) && a.at.Before(c.end) {
					hits = append(hits, hit{q.sent, a.at})
				}
			}
		}
		most := 0
		for _, first := range hits {
			n := 0
			for _, h := range hits {
				if !h.sent.Before(first.sent) && h.at.Sub(first.sent) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		r.noteAt(c.end, "cold target %s got %d requests, at most %d of them within one second", c.target, len(hits), most)
		if float64(most) > coldBound {
			r.brokenf("FAILBACK: target %s, cold from%s, got %d requests within one second, %.2f allowed", c.target, r.since(c.start), most, coldBound)
		}
	}
}
