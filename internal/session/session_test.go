package session_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/simulation"
)

const ms = time.Millisecond

// scenario defines the targets, calls and faults of one session.
type scenario struct {
	about        string // first line of the golden file
	domains      []int  // number of targets in each failure domain
	warm         bool   // starts with warm targets
	queuePerSlot int    // maximum number of waiting calls per slot
	runFor       time.Duration
	schedule     func(sim *simulation.Simulation) // schedules calls and faults
}

func poolID(domain string) inventory.PoolID {
	return inventory.PoolID{Service: "kreisplan", FailureDomain: domain}
}

var (
	grazPool = poolID("ost-graz")
	wienPool = poolID("ost-wien")
)

// run runs the session on 3 VMs with seed 1. It returns the trace of all decisions
// between a line with the description and a line with the counts. The targets of
// ost-graz are named g1, g2 and so on, those of ost-wien w1, w2 and so on.
func (s scenario) run() []byte {
	svc := inventory.Service{Name: "kreisplan", Slots: 2, ColdRate: 10, ProbesPerSecond: 0.2, CallTimeoutMs: 2000}
	for d, n := range s.domains {
		for i := range n {
			name := []string{"g", "w"}[d] + fmt.Sprint(i+1)
			svc.Targets = append(svc.Targets, inventory.Target{
				Name: name, Address: name, FailureDomain: []string{grazPool.FailureDomain, wienPool.FailureDomain}[d],
			})
		}
	}
	var out strings.Builder
	fmt.Fprintf(&out, "# %s\n", s.about)
	sim := simulation.New(simulation.Config{
		Seed: 1, Service: svc, VMs: 3, NetworkDelay: ms / 2, QueuePerSlot: s.queuePerSlot, RetryShare: 0.1, MaxAttempts: 3, WarmStart: s.warm,
		Trace: func(at time.Duration, line string) {
			fmt.Fprintf(&out, "%9.1f ms  %s\n", float64(at)/float64(ms), line)
		},
	})
	s.schedule(sim)
	sim.Run(s.runFor)
	fmt.Fprintf(&out, "# %+v\n", sim.Counts)
	return []byte(out.String())
}

// submitEvery schedules a call to VM 0 at a fixed interval, from the time from until
// before the time until.
func submitEvery(sim *simulation.Simulation, interval, from, until time.Duration, c simulation.Call) {
	for at := from; at < until; at += interval {
		sim.At(at, func() { sim.Submit(0, c) })
	}
}

// idempotentCall is a call that may be sent again after a failure. Its tenant has no
// effect on a session in which all calls have the same one.
var idempotentCall = simulation.Call{Tenant: "lesekreis-a", Deadline: 2 * time.Second}

// scenarios holds the scenario of each session by name, which is also the name of its
// golden file.
var scenarios = map[string]scenario{
	"cold-target-turns-cold-again": {
		about: "A cold target ramps up; at 1500 ms its process is replaced.", domains: []int{1}, queuePerSlot: 8, runFor: 6 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			submitEvery(sim, 25*ms, 100*ms, 4500*ms, idempotentCall)
			// The new process g1-2 is cold for 1 s, during which it can handle one
			// concurrent call.
			sim.At(1500*ms, func() { sim.Server("g1").Restart("g1-2", time.Second, 1) })
		},
	},
	// Guards against trust in incorrect load reports: a report may lower the limit of
	// a target but never raise it.
	"lying-load-reports": {
		about:   "g1 is idle and reports full load, g2 is cold and reports none. Reports lower limits and raise none.",
		domains: []int{2}, warm: true, queuePerSlot: 8, runFor: 40 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			sim.SetProbeBudget(grazPool, 1000) // bytes/s
			sim.Server("g1").Load = 1          // reports full utilization
			// The new process g2-2 is cold for 1 s, during which it can handle one
			// concurrent call. Its load reports stay at 0.
			sim.At(100*ms, func() { sim.Server("g2").Restart("g2-2", time.Second, 1) })
			for at := time.Second; at <= 30*time.Second; at += time.Second {
				sim.At(at, func() { sim.Probe(grazPool) })
			}
			submitEvery(sim, 15*ms, 31*time.Second, 31300*ms, idempotentCall)
		},
	},
	"failure-domain-out-and-back": {
		about: "ost-wien is taken out at 100 ms under load and returns at 300 ms.", domains: []int{2, 2}, warm: true, queuePerSlot: 8, runFor: 2 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			submitEvery(sim, 5*ms, 0, 500*ms, idempotentCall)
			sim.At(100*ms, func() { sim.SetOutOfService("ost-wien", true) })
			sim.At(300*ms, func() { sim.SetOutOfService("ost-wien", false) })
		},
	},
	"fail-fast-target": {
		about: "g2 breaks every answer within 1 ms from 50 ms to 3 s.", domains: []int{3}, warm: true, queuePerSlot: 8, runFor: 6 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			sim.At(50*ms, func() { sim.Server("g2").FailAfter = ms })
			sim.At(3*time.Second, func() { sim.Server("g2").FailAfter = 0 })
			submitEvery(sim, 10*ms, 0, 300*ms, idempotentCall)
			submitEvery(sim, 50*ms, 300*ms, 5*time.Second, idempotentCall)
		},
	},
	"slow-target-recovers": {
		about: "g2 takes ten times as long from 100 ms to 700 ms.", domains: []int{3}, warm: true, queuePerSlot: 8, runFor: 4 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			sim.At(100*ms, func() { sim.Server("g2").Slowdown = 10 })
			sim.At(700*ms, func() { sim.Server("g2").Slowdown = 1 })
			submitEvery(sim, 6*ms, 0, 1200*ms, idempotentCall)
			submitEvery(sim, 50*ms, 1200*ms, 3*time.Second, idempotentCall)
		},
	},
	"all-targets-fail": {
		about: "All targets break their answers from 50 ms to 1500 ms; at most half of them are ejected.", domains: []int{4}, warm: true, queuePerSlot: 4, runFor: 4 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			for _, n := range []string{"g1", "g2", "g3", "g4"} {
				sim.At(50*ms, func() { sim.Server(n).FailAfter = 2 * ms })
				sim.At(1500*ms, func() { sim.Server(n).FailAfter = 0 })
			}
			submitEvery(sim, 20*ms, 0, 2500*ms, idempotentCall)
		},
	},
	// An overload of two tenants. The golden file calls an idempotent call a lookup and
	// a non-idempotent one a safety order.
	"thundering-herd": {
		about:   "Ten times the capacity of 2 targets for 100 ms: tenant a sends three lookups and one safety order for each lookup of tenant b.",
		domains: []int{2}, warm: true, queuePerSlot: 4, runFor: 2 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			nonIdempotentA := simulation.Call{Tenant: "a", Deadline: 200 * ms, NonIdempotent: true}
			idempotentA, idempotentB := nonIdempotentA, simulation.Call{Tenant: "b", Deadline: 200 * ms}
			idempotentA.NonIdempotent = false
			for i, c := range []simulation.Call{idempotentA, idempotentA, idempotentA, nonIdempotentA, idempotentB} {
				submitEvery(sim, 5*ms/2, time.Duration(i)*ms/2, 100*ms, c)
			}
		},
	},
	// The new holder treats all targets as cold. Under the half cap it uses at most half
	// of the slots of each target.
	"takeover-under-half-cap": {
		about:   "The holder dies at 100 ms; its successor starts cold and under half cap, which is lifted at 3 s.",
		domains: []int{2}, warm: true, queuePerSlot: 8, runFor: 6 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			submitEvery(sim, 30*ms, 0, 4*time.Second, idempotentCall)
			sim.At(100*ms, func() { sim.Takeover(grazPool, 1) })
			sim.At(3*time.Second, func() { sim.SetHalfCap(grazPool, false) })
		},
	},
	// The pool changes its holder from VM 0 to VM 1.
	"planned-handover": {
		about: "The pool moves at 100 ms with calls in flight and waiting.", domains: []int{2}, warm: true, queuePerSlot: 8, runFor: time.Second,
		schedule: func(sim *simulation.Simulation) {
			submitEvery(sim, 3*ms, 0, 200*ms, idempotentCall)
			sim.At(100*ms, func() { sim.Handover(grazPool, 1) })
		},
	},
	// The process of g2 announces that it will stop; at 4 s a new process replaces it,
	// which a later probe finds.
	"target-leaves": {
		about: "g2 announces its leaving from 60 ms; its successor process answers a probe later.", domains: []int{2}, warm: true, queuePerSlot: 8, runFor: 12 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			sim.SetProbeBudget(grazPool, 1000) // bytes/s
			sim.At(60*ms, func() { sim.Server("g2").Leaving = true })
			sim.At(4*time.Second, func() {
				sim.Server("g2").Restart("g2-2", time.Second, 1)
				sim.Server("g2").Leaving = false
			})
			for at := time.Second; at <= 9*time.Second; at += time.Second {
				sim.At(at, func() { sim.Probe(grazPool) })
			}
			submitEvery(sim, 15*ms, 0, 200*ms, idempotentCall)
			submitEvery(sim, 50*ms, 9*time.Second, 10*time.Second, idempotentCall)
		},
	},
	"total-outage-with-retries": {
		about: "All targets break their answers from 200 ms to 1200 ms; the retry budget bounds the extra load.", domains: []int{2, 2}, warm: true, queuePerSlot: 4, runFor: 4 * time.Second,
		schedule: func(sim *simulation.Simulation) {
			for _, n := range []string{"g1", "g2", "w1", "w2"} {
				sim.At(200*ms, func() { sim.Server(n).FailAfter = 5 * ms })
				sim.At(1200*ms, func() { sim.Server(n).FailAfter = 0 })
			}
			submitEvery(sim, 10*ms, 0, 1500*ms, idempotentCall)
		},
	},
}

// Guards against unintended changes of decisions: compares the trace of each session
// with its golden file.
func TestSessions(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			goldie.New(t, goldie.WithTestNameForDir(false)).Assert(t, name, s.run())
		})
	}
}
