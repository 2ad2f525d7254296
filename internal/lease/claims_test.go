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

// Guards against a claim partition that starts with an empty set of records
// although earlier records were lost: after it was stopped at epoch 1, at a
// later epoch, or after it moved from another failure domain.
func TestStateOfClaimPartition(t *testing.T) {
	id := inventory.PoolID{Service: "~claims-03", FailureDomain: "a"}
	first := &siblingpb.Assignment{Service: id.Service, Epoch: 1}
	newEmptyCore := func() *core {
		return &core{startedClaimEpochs: map[inventory.PoolID]uint64{}, domains: map[string]domainRow{"a": {}, "b": {}}}
	}
	c := newEmptyCore()
	if s := c.claimState(id, first, nil); s.GetClaims() == nil {
		t.Error("a partition that never had an owner starts without an empty set of records")
	}
	if c.claimState(id, first, nil) != nil {
		t.Error("a state was accepted although this VM stopped the partition and lost its records")
	}
	if newEmptyCore().claimState(id, &siblingpb.Assignment{Service: id.Service, Epoch: 2}, nil) != nil {
		t.Error("a state was returned at epoch 2 without a handover although the former holder's records are lost")
	}
	c = newEmptyCore()
	second := &siblingpb.Assignment{Service: id.Service, Epoch: 2, Handover: true}
	state := &siblingpb.Handover{Claims: &siblingpb.ClaimState{}}
	if c.claimState(id, second, state) != state {
		t.Error("the state received in a handover is not used")
	}
	if c.claimState(id, second, state) != nil {
		t.Error("the state of a repeated handover message was accepted after the partition had started at the same epoch")
	}
	moved := newEmptyCore()
	moved.domains["b"] = domainRow{pools: map[string]*siblingpb.Assignment{id.Service: first}}
	if moved.claimState(id, first, nil) != nil {
		t.Error("a state was returned although the partition moved from another failure domain and its records are lost")
	}
	if newEmptyCore().claimState(inventory.PoolID{Service: "s0", FailureDomain: "a"}, first, nil) != nil {
		t.Error("a pool of targets got a state without a handover")
	}
}

// Guards against records that are missing after a handover because the message
// of an earlier, failed attempt arrived after the message of the next attempt
// and replaced its newer state.
func TestLateHandoverMessage(t *testing.T) {
	id := inventory.PoolID{Service: "~claims-03", FailureDomain: "a"}
	c := &core{own: ownLease{incarnation: 7}, receivedHandovers: map[inventory.PoolID]*siblingpb.Handover{}}
	older := &siblingpb.Handover{Service: id.Service, FailureDomain: id.FailureDomain, Epoch: 4, ToIncarnation: 7, Export: 1}
	newer := proto.CloneOf(older)
	newer.Export = 2
	for _, h := range []*siblingpb.Handover{newer, older} {
		if !c.receiveHandover(time.Time{}, h) {
			t.Fatal("handover message was not accepted")
		}
	}
	if c.receivedHandovers[id] != newer {
		t.Error("the state of the earlier export replaced that of the later one")
	}
	next := proto.CloneOf(older)
	next.Epoch = 5
	c.receiveHandover(time.Time{}, next)
	if c.receivedHandovers[id] != next {
		t.Error("the state of the next epoch did not replace the stored one")
	}
}

// Guards against claim partitions that stay without an owner after a VM is lost
// or has left, that move although their owner is still running, or whose
// assignment row holds more than their names. The test checks that the name is
// in the row.
func TestClaimPartitionsOfLostVM(t *testing.T) {
	for _, planned := range []bool{false, true} {
		s := newSim([]string{"a", "b"}, 0, 1)
		s.skipCheck = true
		doc := *s.snap.Document
		doc.Regions = []inventory.Region{{Name: "r"}, {Name: "far", Store: true}}
		doc.Rules.Routes = []inventory.Route{{Name: "order", NonIdempotent: true, HomeRegions: []string{"r"}}}
		s.snap = inventory.NewSnapshot(1, &doc)
		startAll(s, "a", "a", "a", "b", "b", "b")
		s.runTo(60 * time.Second)
		before := partitionOwners(s)
		if len(before) != inventory.ClaimPartitions {
			t.Fatalf("%d claim partitions have an owner with a valid lease\n%s", len(before), s.log.String())
		}
		heldByA1, heldByVM := 0, map[string]int{}
		for _, h := range before {
			heldByVM[h.id]++
			if h.id == "a1" {
				heldByA1++
			}
		}
		if planned {
			s.leave("a1")
		} else {
			s.kill("a1")
		}
		for len(partitionOwners(s)) == inventory.ClaimPartitions && s.now.Sub(simStart) < 70*time.Second {
			s.runTo(s.now.Sub(simStart) + 10*time.Millisecond)
		}
		unownedSince := s.now
		for len(partitionOwners(s)) < inventory.ClaimPartitions && s.now.Sub(simStart) < 120*time.Second {
			s.runTo(s.now.Sub(simStart) + 10*time.Millisecond)
		}
		t.Logf("planned stop %v: %d of %d partitions moved, without an owner for at most %v; partitions by VM before: %v",
			planned, heldByA1, len(before), s.now.Sub(unownedSince), heldByVM)
		s.runTo(150 * time.Second)
		after := partitionOwners(s)
		if len(after) != inventory.ClaimPartitions {
			t.Fatalf("%d claim partitions have an owner with a valid lease\n%s", len(after), s.log.String())
		}
		for id, h := range before {
			if now := after[id]; now.id == "a1" || (h.id != "a1" && now != h) {
				t.Errorf("%v moved from %v to %v", id, h, now)
			}
		}
		if !bytes.Contains(s.rows["pools/r/a"].Value, []byte("~claims-00")) {
			t.Error("the assignment row does not contain the name of the partition")
		}
	}
}

type partitionOwner struct {
	id    string
	epoch uint64
}

// partitionOwners returns, for each partition, the VM that serves it with a
// valid lease, and the epoch.
func partitionOwners(s *sim) map[inventory.PoolID]partitionOwner {
	out := map[inventory.PoolID]partitionOwner{}
	for id, v := range s.vms {
		for pool, h := range v.held {
			if v.up && v.modeTimes.mode(s.now) == ModeValid {
				out[pool] = partitionOwner{fmt.Sprint(id), h.epoch}
			}
		}
	}
	return out
}
