package vm_test

import (
	"fmt"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Guards against a placement that moves pools between VMs that stay.
func TestPreferredMovesOnlyKeysOfRemovedVM(t *testing.T) {
	var vms []vm.Info
	for i := range 7 {
		vms = append(vms, vm.Info{ID: vm.ID(fmt.Sprintf("vm-%d", i))})
	}
	for i := range 500 {
		key := fmt.Sprintf("pool-%d", i)
		before, _ := vm.Preferred(vms, key)
		after, _ := vm.Preferred(vms[1:], key)
		if before.ID != vms[0].ID && before.ID != after.ID {
			t.Errorf("key %s moved from %s to %s", key, before.ID, after.ID)
		}
	}
}
