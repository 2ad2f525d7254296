package vm_test

import (
	"fmt"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against moving pools between VMs that remain in the list.
func TestRendezvousPickMovesOnlyKeysOfRemovedVM(t *testing.T) {
	var vms []vm.Info
	for i := range 7 {
		vms = append(vms, vm.Info{ID: vm.ID(fmt.Sprintf("vm-%d", i))})
	}
	for i := range 500 {
		key := fmt.Sprintf("pool-%d", i)
		before, _ := vm.RendezvousPick(vms, key)
		after, _ := vm.RendezvousPick(vms[1:], key)
		if before.ID != vms[0].ID && before.ID != after.ID {
			t.Errorf("key %s moved from %s to %s", key, before.ID, after.ID)
		}
	}
}

// Guards against ranks that contradict RendezvousPick, and against two VMs with
// the same rank.
func TestRendezvousRankMatchesRendezvousPick(t *testing.T) {
	var vms []vm.Info
	for i := range 7 {
		vms = append(vms, vm.Info{ID: vm.ID(fmt.Sprintf("vm-%d", i))})
	}
	for i := range 100 {
		key := fmt.Sprint("server-", i)
		seen := map[int]vm.ID{}
		for j, v := range vms {
			others := append(append([]vm.Info{}, vms[:j]...), vms[j+1:]...)
			seen[vm.RendezvousRank(v.ID, others, key)] = v.ID
		}
		if best, _ := vm.RendezvousPick(vms, key); len(seen) != len(vms) || seen[0] != best.ID {
			t.Fatalf("key %s: VMs by rank %v, RendezvousPick returned %s", key, seen, best.ID)
		}
	}
}
