package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// runFaultSchedule draws a sequence of faults and runs a simulation with them,
// then ends all faults, restarts VMs that are down, leaving or asked to leave,
// and runs for another 50 s. The names of VMs start with their failure domain.
func runFaultSchedule(t *rapid.T) *sim {
	s := newSim([]string{"a", "b"}, 2, rapid.IntRange(1, 3).Draw(t, "slots"))
	n := rapid.IntRange(1, 5).Draw(t, "vms")
	ids := startAll(s, []string{"a", "b", "a", "b", "a"}[:n]...)
	anyVM := rapid.SampledFrom(ids)
	drawMillis := func(label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	steps := rapid.IntRange(1, 12).Draw(t, "steps")
	at := 20 * time.Second
	stopRequested := map[vm.ID]int{} // process that was asked for a planned stop; a paused one leaves only when it resumes
	for i := range steps {
		at += drawMillis("gap", 0, 6000)
		s.runTo(at)
		id := anyVM.Draw(t, "vm")
		v := s.vms[id]
		switch rapid.SampledFrom([]string{"store", "cut", "pause", "restart", "all stores", "isolate", "leave", "new", "heal"}).Draw(t, "fault") {
		case "store":
			f := fault(rapid.IntRange(int(storeOK), int(storeEffectLate)).Draw(t, "kind"))
			s.setStoreFault(f, id)
			s.after(drawMillis("for", 100, 15000), func() { s.setStoreFault(storeOK, id) })
		case "all stores":
			f := fault(rapid.IntRange(int(storeUnavailable), int(storeEffectLate)).Draw(t, "kind"))
			s.setStoreFault(f, ids...)
			for _, id := range ids {
				s.after(drawMillis("for", 2000, 20000), func() { s.setStoreFault(storeOK, id) })
			}
		case "cut":
			other := anyVM.Draw(t, "other")
			s.logf("-- cut %s %s", id, other)
			s.setCut(id, other, true)
			s.after(drawMillis("for", 500, 20000), func() { s.setCut(id, other, false) })
		case "isolate":
			s.isolate(id, ids, true)
			s.after(drawMillis("for", 500, 20000), func() { s.isolate(id, ids, false) })
		case "pause":
			if v.up {
				s.pause(id, drawMillis("for", 100, 12000))
			}
		case "restart":
			s.kill(id)
			domain := v.info.FailureDomain
			process := v.process
			s.after(drawMillis("for", 0, 8000), func() {
				if v.process == process {
					s.start(id, domain)
				}
			})
		case "leave":
			if v.up {
				s.leave(id)
				stopRequested[id] = v.process
			}
		case "new":
			id := vm.ID(fmt.Sprintf("a9%d", i))
			ids = append(ids, id)
			s.start(id, "a")
		case "heal":
			for pair := range s.cutLinks {
				s.cutLinks[pair] = false
			}
		}
	}
	s.runTo(at + 10*time.Second)
	for pair := range s.cutLinks {
		s.cutLinks[pair] = false
	}
	s.setStoreFault(storeOK, ids...)
	for _, id := range ids {
		v := s.vms[id]
		if !v.up || v.leaving || stopRequested[id] == v.process {
			s.start(id, v.info.FailureDomain)
		}
	}
	s.runTo(at + 60*time.Second)
	return s
}

// Guards against two VMs that together send more calls to a target than it has
// slots, or that raise the limit of the same target at the same time. No fault
// schedule is excluded: the lease row lists the witnesses that its holder
// counts, so a successor counts the same ones.
func TestLimitsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runFaultSchedule(t)
		if s.violation != "" {
			t.Fatalf("%s\n%s", s.violation, s.log.String())
		}
	})
}

// Guards against a pool that has no holder, or is still under the half cap,
// after all faults have ended.
func TestPoolsRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := runFaultSchedule(t)
		served := 0
		for _, v := range s.vms {
			if !v.up || v.modeTimes.mode(s.now) != ModeValid {
				continue
			}
			for pool, h := range v.held {
				served++
				if h.halfCap {
					t.Fatalf("%s still serves %v under the half cap\n%s", v.id, pool, s.log.String())
				}
			}
		}
		if served != 4 {
			t.Fatalf("%d pools are served with a valid lease, want 4\n%s", served, s.log.String())
		}
	})
}
