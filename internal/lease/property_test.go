package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// schedule draws faults and runs them. The names of VMs carry their failure
// domain.
func schedule(t *rapid.T) *sim {
	s := newSim([]string{"a", "b"}, 2, rapid.IntRange(1, 3).Draw(t, "slots"))
	n := rapid.IntRange(1, 5).Draw(t, "vms")
	ids := startAll(s, []string{"a", "b", "a", "b", "a"}[:n]...)
	one := rapid.SampledFrom(ids)
	ms := func(label string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	steps := rapid.IntRange(1, 12).Draw(t, "steps")
	at := 20 * time.Second
	for i := range steps {
		at += ms("gap", 0, 6000)
		s.runTo(at)
		id := one.Draw(t, "vm")
		v := s.vms[id]
		switch rapid.SampledFrom([]string{"store", "cut", "pause", "restart", "all stores", "isolate", "leave", "new", "heal"}).Draw(t, "fault") {
		case "store":
			f := fault(rapid.IntRange(int(storeOK), int(storeLate)).Draw(t, "kind"))
			s.setStore(f, id)
			s.after(ms("for", 100, 15000), func() { s.setStore(storeOK, id) })
		case "all stores":
			f := fault(rapid.IntRange(int(storeDown), int(storeLate)).Draw(t, "kind"))
			s.setStore(f, ids...)
			for _, id := range ids {
				s.after(ms("for", 2000, 20000), func() { s.setStore(storeOK, id) })
			}
		case "cut":
			other := one.Draw(t, "other")
			s.say("-- cut %s %s", id, other)
			s.setCut(id, other, true)
			s.after(ms("for", 500, 20000), func() { s.setCut(id, other, false) })
		case "isolate":
			s.isolate(id, ids, true)
			s.after(ms("for", 500, 20000), func() { s.isolate(id, ids, false) })
		case "pause":
			if v.up {
				s.pause(id, ms("for", 100, 12000))
			}
		case "restart":
			s.kill(id)
			domain := v.info.FailureDomain
			life := v.life
			s.after(ms("for", 0, 8000), func() {
				if v.life == life {
					s.start(id, domain)
				}
			})
		case "leave":
			if v.up {
				s.leave(id)
			}
		case "new":
			id := vm.ID(fmt.Sprintf("a9%d", i))
			ids = append(ids, id)
			s.start(id, "a")
		case "heal":
			for pair := range s.cut {
				s.cut[pair] = false
			}
		}
	}
	s.runTo(at + 10*time.Second)
	for pair := range s.cut {
		s.cut[pair] = false
	}
	s.setStore(storeOK, ids...)
	for _, id := range ids {
		v := s.vms[id]
		if !v.up || v.leaving {
			s.start(id, v.info.FailureDomain)
		}
	}
	s.runTo(at + 60*time.Second)
	return s
}

// Guards against two VMs that together send more calls to a target than it has
// slots, or that ramp it at once. No case is excluded: the lease row names the
// witnesses that its holder counts, so a successor counts the same ones.
func TestLimitsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := schedule(t)
		if s.broken != "" {
			t.Fatalf("%s\n%s", s.broken, s.log.String())
		}
	})
}

// Guards against a pool that stays without a holder, or under the half cap,
// after all faults have ended.
func TestPoolsRecover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := schedule(t)
		served := 0
		for _, v := range s.vms {
			if !v.up || v.win.mode(s.now) != ModeValid {
				continue
			}
			for pool, h := range v.held {
				served++
				if h.halfCap {
					t.Fatalf("%s keeps %v under the half cap\n%s", v.id, pool, s.log.String())
				}
			}
		}
		if served != 4 {
			t.Fatalf("%d of 4 pools are served once\n%s", served, s.log.String())
		}
	})
}
