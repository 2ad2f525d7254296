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

// script describes one session. domains gives the targets per failure domain.
type script struct {
	about   string
	domains []int
	warm    bool
	queue   int
	until   time.Duration
	play    func(w *simulation.Simulation)
}

func poolID(domain string) inventory.PoolID {
	return inventory.PoolID{Service: "kreisplan", FailureDomain: domain}
}

var (
	graz = poolID("ost-graz")
	wien = poolID("ost-wien")
)

func (s script) run() []byte {
	svc := inventory.Service{Name: "kreisplan", Slots: 2, ColdRate: 10, ProbesPerSecond: 0.2, CallTimeoutMs: 2000}
	for d, n := range s.domains {
		for i := range n {
			name := []string{"g", "w"}[d] + fmt.Sprint(i+1)
			svc.Targets = append(svc.Targets, inventory.Target{
				Name: name, Address: name, FailureDomain: []string{graz.FailureDomain, wien.FailureDomain}[d],
			})
		}
	}
	var out strings.Builder
	fmt.Fprintf(&out, "# %s\n", s.about)
	w := simulation.New(simulation.Config{
		Seed: 1, Service: svc, VMs: 3, NetworkDelay: ms / 2, QueuePerSlot: s.queue, RetryShare: 0.1, MaxAttempts: 3, WarmStart: s.warm,
		Trace: func(at time.Duration, line string) {
			fmt.Fprintf(&out, "%9.1f ms  %s\n", float64(at)/float64(ms), line)
		},
	})
	s.play(w)
	w.Run(s.until)
	fmt.Fprintf(&out, "# %+v\n", w.Counts)
	return []byte(out.String())
}

// every lets a call arrive at VM 0 at a fixed interval.
func every(w *simulation.Simulation, interval, from, until time.Duration, c simulation.Call) {
	for at := from; at < until; at += interval {
		w.At(at, func() { w.Submit(0, c) })
	}
}

var lookup = simulation.Call{Tenant: "lesekreis-a", Deadline: 2 * time.Second}

var sessions = map[string]script{
	"cold-target-turns-cold-again": {
		about: "A cold target ramps up; at 1500 ms its process is replaced.", domains: []int{1}, queue: 8, until: 6 * time.Second,
		play: func(w *simulation.Simulation) {
			every(w, 25*ms, 100*ms, 4500*ms, lookup)
			w.At(1500*ms, func() { w.Server("g1").Restart("g1-2", time.Second, 1) })
		},
	},
	"lying-load-reports": {
		about:   "g1 is idle and reports full load, g2 is cold and reports none. Reports lower limits and raise none.",
		domains: []int{2}, warm: true, queue: 8, until: 40 * time.Second,
		play: func(w *simulation.Simulation) {
			w.SetProbeBudget(graz, 1000)
			w.Server("g1").Load = 1
			w.At(100*ms, func() { w.Server("g2").Restart("g2-2", time.Second, 1) })
			for at := time.Second; at <= 30*time.Second; at += time.Second {
				w.At(at, func() { w.Probe(graz) })
			}
			every(w, 15*ms, 31*time.Second, 31300*ms, lookup)
		},
	},
	"failure-domain-out-and-back": {
		about: "ost-wien is taken out at 100 ms under load and returns at 300 ms.", domains: []int{2, 2}, warm: true, queue: 8, until: 2 * time.Second,
		play: func(w *simulation.Simulation) {
			every(w, 5*ms, 0, 500*ms, lookup)
			w.At(100*ms, func() { w.SetOutOfService("ost-wien", true) })
			w.At(300*ms, func() { w.SetOutOfService("ost-wien", false) })
		},
	},
	"fail-fast-target": {
		about: "g2 breaks every answer within 1 ms from 50 ms to 3 s.", domains: []int{3}, warm: true, queue: 8, until: 6 * time.Second,
		play: func(w *simulation.Simulation) {
			w.At(50*ms, func() { w.Server("g2").FailAfter = ms })
			w.At(3*time.Second, func() { w.Server("g2").FailAfter = 0 })
			every(w, 10*ms, 0, 300*ms, lookup)
			every(w, 50*ms, 300*ms, 5*time.Second, lookup)
		},
	},
	"slow-target-recovers": {
		about: "g2 takes ten times as long from 100 ms to 700 ms.", domains: []int{3}, warm: true, queue: 8, until: 4 * time.Second,
		play: func(w *simulation.Simulation) {
			w.At(100*ms, func() { w.Server("g2").Slowdown = 10 })
			w.At(700*ms, func() { w.Server("g2").Slowdown = 1 })
			every(w, 6*ms, 0, 1200*ms, lookup)
			every(w, 50*ms, 1200*ms, 3*time.Second, lookup)
		},
	},
	"all-targets-fail": {
		about: "All targets break their answers from 50 ms to 1500 ms; at most half of them are ejected.", domains: []int{4}, warm: true, queue: 4, until: 4 * time.Second,
		play: func(w *simulation.Simulation) {
			for _, n := range []string{"g1", "g2", "g3", "g4"} {
				w.At(50*ms, func() { w.Server(n).FailAfter = 2 * ms })
				w.At(1500*ms, func() { w.Server(n).FailAfter = 0 })
			}
			every(w, 20*ms, 0, 2500*ms, lookup)
		},
	},
	"thundering-herd": {
		about:   "Ten times the capacity of 2 targets for 100 ms: tenant a sends three lookups and one safety order for each lookup of tenant b.",
		domains: []int{2}, warm: true, queue: 4, until: 2 * time.Second,
		play: func(w *simulation.Simulation) {
			order := simulation.Call{Tenant: "a", Deadline: 200 * ms, NonIdempotent: true}
			a, b := order, simulation.Call{Tenant: "b", Deadline: 200 * ms}
			a.NonIdempotent = false
			for i, c := range []simulation.Call{a, a, a, order, b} {
				every(w, 5*ms/2, time.Duration(i)*ms/2, 100*ms, c)
			}
		},
	},
	"takeover-under-half-cap": {
		about:   "The holder dies at 100 ms; its successor starts cold and under half cap, which is lifted at 3 s.",
		domains: []int{2}, warm: true, queue: 8, until: 6 * time.Second,
		play: func(w *simulation.Simulation) {
			every(w, 30*ms, 0, 4*time.Second, lookup)
			w.At(100*ms, func() { w.Takeover(graz, 1) })
			w.At(3*time.Second, func() { w.SetHalfCap(graz, false) })
		},
	},
	"planned-handover": {
		about: "The pool moves at 100 ms with calls in flight and waiting.", domains: []int{2}, warm: true, queue: 8, until: time.Second,
		play: func(w *simulation.Simulation) {
			every(w, 3*ms, 0, 200*ms, lookup)
			w.At(100*ms, func() { w.Handover(graz, 1) })
		},
	},
	"target-leaves": {
		about: "g2 announces its leaving from 60 ms; its successor process answers a probe later.", domains: []int{2}, warm: true, queue: 8, until: 12 * time.Second,
		play: func(w *simulation.Simulation) {
			w.SetProbeBudget(graz, 1000)
			w.At(60*ms, func() { w.Server("g2").Leaving = true })
			w.At(4*time.Second, func() {
				w.Server("g2").Restart("g2-2", time.Second, 1)
				w.Server("g2").Leaving = false
			})
			for at := time.Second; at <= 9*time.Second; at += time.Second {
				w.At(at, func() { w.Probe(graz) })
			}
			every(w, 15*ms, 0, 200*ms, lookup)
			every(w, 50*ms, 9*time.Second, 10*time.Second, lookup)
		},
	},
	"total-outage-with-retries": {
		about: "All targets break their answers from 200 ms to 1200 ms; the retry budget bounds the extra load.", domains: []int{2, 2}, warm: true, queue: 4, until: 4 * time.Second,
		play: func(w *simulation.Simulation) {
			for _, n := range []string{"g1", "g2", "w1", "w2"} {
				w.At(200*ms, func() { w.Server(n).FailAfter = 5 * ms })
				w.At(1200*ms, func() { w.Server(n).FailAfter = 0 })
			}
			every(w, 10*ms, 0, 1500*ms, lookup)
		},
	},
}

// Guards against any unintended change of a decision in a whole session.
func TestSessions(t *testing.T) {
	for name, s := range sessions {
		t.Run(name, func(t *testing.T) {
			goldie.New(t, goldie.WithTestNameForDir(false)).Assert(t, name, s.run())
		})
	}
}
