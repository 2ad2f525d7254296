package lease

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// Guards against a claim partition that is taken for one that nobody ever held
// although its records were lost: after a drop at epoch 1, at a later epoch, or
// after its move to another failure domain.
func TestStateOfClaimPartition(t *testing.T) {
	id := inventory.PoolID{Service: "~claims-03", FailureDomain: "a"}
	first := &siblingpb.Assignment{Service: id.Service, Epoch: 1}
	fresh := func() *core {
		return &core{begun: map[inventory.PoolID]uint64{}, domains: map[string]domainRow{"a": {}, "b": {}}}
	}
	c := fresh()
	if s := c.claimState(id, first, nil); s.GetClaims() == nil {
		t.Error("a new partition has no state")
	}
	if c.claimState(id, first, nil) != nil {
		t.Error("the records were lost when this VM dropped the partition")
	}
	if fresh().claimState(id, &siblingpb.Assignment{Service: id.Service, Epoch: 2}, nil) != nil {
		t.Error("the records were lost with the former holder")
	}
	c = fresh()
	second := &siblingpb.Assignment{Service: id.Service, Epoch: 2, Handover: true}
	state := &siblingpb.Handover{Claims: &siblingpb.ClaimState{}}
	if c.claimState(id, second, state) != state {
		t.Error("the state of a handover is not used")
	}
	if c.claimState(id, second, state) != nil {
		t.Error("a late message of the handover passes for the records since")
	}
	moved := fresh()
	moved.domains["b"] = domainRow{pools: map[string]*siblingpb.Assignment{id.Service: first}}
	if moved.claimState(id, first, nil) != nil {
		t.Error("the records were lost when the partition moved from another failure domain")
	}
	if fresh().claimState(inventory.PoolID{Service: "s0", FailureDomain: "a"}, first, nil) != nil {
		t.Error("a pool of targets has a state without a handover")
	}
}

// Guards against records that are missing after a handover because the message
// of an earlier, failed attempt arrived after that of the next one.
func TestLateHandoverMessage(t *testing.T) {
	id := inventory.PoolID{Service: "~claims-03", FailureDomain: "a"}
	c := &core{own: ownLease{incarnation: 7}, stash: map[inventory.PoolID]*siblingpb.Handover{}}
	older := &siblingpb.Handover{Service: id.Service, FailureDomain: id.FailureDomain, Epoch: 4, ToIncarnation: 7, Export: 1}
	newer := proto.CloneOf(older)
	newer.Export = 2
	for _, h := range []*siblingpb.Handover{newer, older} {
		if !c.handoverIn(time.Time{}, h) {
			t.Fatal("handover refused")
		}
	}
	if c.stash[id] != newer {
		t.Error("the older state replaced the newer one")
	}
	next := proto.CloneOf(older)
	next.Epoch = 5
	c.handoverIn(time.Time{}, next)
	if c.stash[id] != next {
		t.Error("the state of another epoch was not taken")
	}
}

// Guards against claim partitions that stay without an owner after a VM is lost
// or has left, that move without need, or whose rows hold more than names.
func TestClaimPartitionsOfLostVM(t *testing.T) {
	for _, planned := range []bool{false, true} {
		s := newSim([]string{"a", "b"}, 0, 1)
		s.unchecked = true
		doc := *s.snap.Document
		doc.Regions = []inventory.Region{{Name: "r"}, {Name: "far", Store: true}}
		doc.Rules.Routes = []inventory.Route{{Name: "order", NonIdempotent: true, HomeRegions: []string{"r"}}}
		s.snap = inventory.NewSnapshot(1, &doc)
		startAll(s, "a", "a", "a", "b", "b", "b")
		s.runTo(60 * time.Second)
		before := owners(s)
		if len(before) != inventory.ClaimPartitions {
			t.Fatalf("%d partitions have an owner\n%s", len(before), s.log.String())
		}
		lost, share := 0, map[string]int{}
		for _, h := range before {
			share[h.id]++
			if h.id == "a1" {
				lost++
			}
		}
		if planned {
			s.leave("a1")
		} else {
			s.kill("a1")
		}
		for len(owners(s)) == inventory.ClaimPartitions && s.now.Sub(epoch) < 70*time.Second {
			s.runTo(s.now.Sub(epoch) + 10*time.Millisecond)
		}
		gone := s.now
		for len(owners(s)) < inventory.ClaimPartitions && s.now.Sub(epoch) < 120*time.Second {
			s.runTo(s.now.Sub(epoch) + 10*time.Millisecond)
		}
		t.Logf("planned %v: %d of %d partitions moved, without an owner for at most %v; held before: %v",
			planned, lost, len(before), s.now.Sub(gone), share)
		s.runTo(150 * time.Second)
		after := owners(s)
		if len(after) != inventory.ClaimPartitions {
			t.Fatalf("%d partitions have an owner\n%s", len(after), s.log.String())
		}
		for id, h := range before {
			if now := after[id]; now.id == "a1" || (h.id != "a1" && now != h) {
				t.Errorf("%v moved from %v to %v", id, h, now)
			}
		}
		if !bytes.Contains(s.rows["pools/r/a"].Value, []byte("~claims-00")) {
			t.Error("the row does not name the partition")
		}
	}
}

type ownedBy struct {
	id    string
	epoch uint64
}

// owners returns the VM that serves each partition with a valid lease.
func owners(s *sim) map[inventory.PoolID]ownedBy {
	out := map[inventory.PoolID]ownedBy{}
	for id, v := range s.vms {
		for pool, h := range v.held {
			if v.up && v.win.mode(s.now) == ModeValid {
				out[pool] = ownedBy{fmt.Sprint(id), h.epoch}
			}
		}
	}
	return out
}
