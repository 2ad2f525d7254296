package lease

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// scenarios are scripts that run in virtual time. Each golden file contains
// every decision except unchanged renewals, scans and heartbeats; its lines
// with -- are the steps of the script. guard states the failure that the
// scenario guards against.
var scenarios = []struct {
	name, guard string
	run         func(s *sim)
}{
	{"vm-dies", "the pools of a dead VM stay without a holder or under the half cap", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.kill("a1")
		s.runTo(100 * time.Second)
	}},
	{"vm-restarts", "a restarted VM serves beside its successor, or registers before its old lease has ended", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.kill("a1")
		s.runTo(21 * time.Second)
		s.start("a1", "a")
		s.runTo(50 * time.Second)
	}},
	{"vm-paused", "a VM that resumes after its lease has ended goes on serving, or keeps its incarnation", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.pause("a1", 10*time.Second)
		s.runTo(50 * time.Second)
	}},
	{"vm-isolated", "a VM cut off from store and siblings serves while its successor lifts the half cap", func(s *sim) {
		ids := startAll(s, "a", "a", "b")
		s.setStoreFault(storeHangs, "a1")
		s.isolate("a1", ids, true)
		s.runTo(40 * time.Second)
		s.isolate("a1", ids, false)
		s.runTo(50 * time.Second)
		s.setStoreFault(storeOK, "a1")
		s.runTo(75 * time.Second)
	}},
	{"store-down-all", "a long outage of the store stops pools or moves them; one VM dies in the middle", func(s *sim) {
		ids := startAll(s, "a", "a", "b", "b")
		s.setStoreFault(storeUnavailable, ids...)
		s.runTo(90 * time.Second)
		s.kill("b2")
		s.runTo(180 * time.Second)
		for _, id := range ids {
			s.setStoreFault(storeOK, id)
			s.runTo(s.now.Sub(simStart) + 300*time.Millisecond)
		}
		s.runTo(220 * time.Second)
	}},
	{"store-down-one", "a VM that alone loses the store serves beside its successor", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.setStoreFault(storeUnavailable, "a1")
		s.runTo(50 * time.Second)
		s.setStoreFault(storeOK, "a1")
		s.runTo(80 * time.Second)
	}},
	{"store-down-most", "a holder in full mode by the word of one VM serves beside a successor under the half cap", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.setStoreFault(storeUnavailable, "a1", "a2")
		s.isolate("a1", []vm.ID{"b1"}, true)
		s.runTo(40 * time.Second)
		s.isolate("a1", []vm.ID{"b1"}, false)
		s.setStoreFault(storeOK, "a1", "a2")
		s.runTo(70 * time.Second)
	}},
	{"successor-dies", "a second successor forgets that the holder before the first one may be in full mode", func(s *sim) {
		ids := startAll(s, "a", "a", "a", "b", "b")
		s.setStoreFault(storeUnavailable, "a1", "a2", "a3", "b2")
		s.isolate("b1", ids, true)
		s.runTo(35 * time.Second)
		s.kill("b1")
		s.isolate("a4", ids, true)
		s.start("a4", "a")
		s.runTo(60 * time.Second)
		s.isolate("a4", ids, false)
		s.setStoreFault(storeOK, "a1", "a2", "a3", "b2")
		s.runTo(75 * time.Second)
	}},
	{"answer-lost-registration", "a lost answer to the registration leaves a VM without a lease or with two", func(s *sim) {
		s.start("a1", "a")
		s.runTo(50 * time.Millisecond)
		s.setStoreFault(storeAnswerLost, "a1")
		s.runTo(600 * time.Millisecond)
		s.setStoreFault(storeOK, "a1")
		s.runTo(10 * time.Second)
	}},
	{"answer-lost-renewal", "a lost answer to a renewal ends the lease although the row is renewed", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.setStoreFault(storeAnswerLost, "a1")
		s.runTo(20600 * time.Millisecond)
		s.setStoreFault(storeOK, "a1")
		s.runTo(30 * time.Second)
		s.setStoreFault(storeEffectLate, "a1")
		s.runTo(32500 * time.Millisecond)
		s.setStoreFault(storeOK, "a1")
		s.runTo(45 * time.Second)
	}},
	{"answer-lost-takeover", "a takeover whose answer is lost leaves its pools without a holder", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.kill("a1")
		s.runTo(22803 * time.Millisecond)
		s.setStoreFault(storeAnswerLost, "a2")
		s.runTo(23500 * time.Millisecond)
		s.setStoreFault(storeOK, "a2")
		s.runTo(40 * time.Second)
	}},
	{"race", "two VMs that each regard themselves as the successor both serve a pool", func(s *sim) {
		startAll(s, "a", "a", "b", "b")
		s.logf("-- b1 alone hears that a2 is leaving")
		b1, a2 := s.vms["b1"], s.vms["a2"]
		s.setCut("a2", "b1", true)
		hb := &siblingpb.Heartbeat{}
		a2.fillHeartbeat(s.now, hb)
		hb.Leaving = true
		s.runIn(b1, b1.process, func() { b1.recordHeartbeat(s.now, hb) })
		s.kill("a1")
		s.runTo(30 * time.Second)
	}},
	{"domain-lost", "a failure domain that returns gets all its pools back at once", func(s *sim) {
		startAll(s, "a", "a", "b", "b")
		s.kill("a1")
		s.kill("a2")
		s.runTo(60 * time.Second)
		s.start("a1", "a")
		s.start("a2", "a")
		s.runTo(90 * time.Second)
	}},
	{"domain-lost-most", "a survivor of most VMs of a region waits for the dead although the platform's list no longer has them", func(s *sim) {
		startAll(s, "a", "a", "a", "a", "b")
		for _, id := range []vm.ID{"a1", "a2", "a3", "a4"} {
			s.kill(id)
		}
		s.runTo(30 * time.Second)
		s.logf("-- the list of VMs no longer has a1 to a4")
		s.vms["b1"].removedFromPlatform = func(id vm.ID) bool { return id != "b1" }
		s.runTo(60 * time.Second)
	}},
	{"domain-cut", "the VMs of a failure domain cut off from the store and the rest serve in full beside their successors", func(s *sim) {
		startAll(s, "a", "a", "a", "b", "b")
		inA := []vm.ID{"a1", "a2", "a3"}
		s.setStoreFault(storeHangs, inA...)
		for _, id := range inA {
			s.isolate(id, []vm.ID{"b1", "b2"}, true)
		}
		s.runTo(60 * time.Second)
		for _, id := range inA {
			s.isolate(id, []vm.ID{"b1", "b2"}, false)
		}
		s.runTo(70 * time.Second)
		s.setStoreFault(storeOK, inA...)
		s.runTo(100 * time.Second)
	}},
	{"stop-one", "a planned stop leaves pools without a holder until the lease would have ended", func(s *sim) {
		startAll(s, "a", "a", "b")
		s.leave("a1")
		s.runTo(100 * time.Second)
	}},
	{"stop-several", "VMs that stop together hand pools to each other and lose them", func(s *sim) {
		startAll(s, "a", "a", "b", "b")
		s.leave("a1")
		s.leave("a2")
		s.leave("b1")
		s.runTo(40 * time.Second)
	}},
	{"stop-all", "the last VM of a region can't stop, or a new one can't take its pools", func(s *sim) {
		startAll(s, "a", "b")
		s.leave("a1")
		s.leave("b1")
		s.runTo(30 * time.Second)
		s.start("b1", "b")
		s.runTo(40 * time.Second)
	}},
	{"stop-store-down", "a store outage in the middle of a planned stop drops pools or serves one twice", func(s *sim) {
		ids := startAll(s, "a", "a", "b", "b")
		s.leave("b1")
		s.runTo(20003 * time.Millisecond)
		s.setStoreFault(storeAnswerLost, ids...)
		s.runTo(20500 * time.Millisecond)
		s.setStoreFault(storeUnavailable, ids...)
		s.runTo(40 * time.Second)
		s.setStoreFault(storeOK, ids...)
		s.runTo(60 * time.Second)
	}},
	{"new-vm-in-outage", "a VM that starts in an outage serves pools of a VM in full mode", func(s *sim) {
		ids := startAll(s, "a", "a", "b")
		s.setStoreFault(storeUnavailable, ids...)
		s.runTo(30 * time.Second)
		s.start("a3", "a")
		s.runTo(60 * time.Second)
		s.setStoreFault(storeOK, ids...)
		s.runTo(90 * time.Second)
	}},
}

func TestScenarios(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt"))
	for _, tt := range scenarios {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim([]string{"a", "b"}, 2, 2)
			tt.run(s)
			if s.violation != "" {
				t.Error(s.violation)
			}
			g.Assert(t, tt.name, []byte("Guards against: "+tt.guard+".\n\n"+s.log.String()))
		})
	}
}

func (s *sim) isolate(id vm.ID, others []vm.ID, cut bool) {
	s.logf("-- cut %s from %v: %v", id, others, cut)
	for _, other := range others {
		s.setCut(id, other, cut)
	}
}

func (s *sim) leave(id vm.ID) {
	s.logf("-- leave %s", id)
	v := s.vms[id]
	s.runIn(v, v.process, func() { v.startLeave(s.now, true) })
}
