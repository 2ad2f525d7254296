package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// gapSeeds is 50 by default, because 200 take a minute under the race detector.
var gapSeeds = flag.Uint64("gap-seeds", 50, "seeds of TestLostHolderGap")

// lostGaps kills one VM of a region and returns how long each of its pools
// served nobody, in virtual time.
func lostGaps(t *testing.T, seed uint64, domains []string) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 2))
	s := newSim([]string{"a", "b"}, 8, 2)
	s.unchecked = true
	var ids []vm.ID
	for i, d := range domains {
		s.runTo(time.Duration(rnd.IntN(1000)) * time.Millisecond * time.Duration(i+1))
		id := vm.ID(fmt.Sprintf("%s%d", d, i))
		ids = append(ids, id)
		s.start(id, d).rnd = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	s.runTo(25*time.Second + time.Duration(rnd.IntN(5000))*time.Millisecond)
	victim := s.vms[ids[rnd.IntN(len(ids))]]
	open := victim.heldIDs()
	s.kill(victim.id)
	died := s.now
	var gaps []time.Duration
	s.onEvent = func() {
		open = slices.DeleteFunc(open, func(id inventory.PoolID) bool {
			for _, v := range s.vms {
				if limit, _ := v.grant(s.now, id, s.slots); limit > 0 {
					gaps = append(gaps, s.now.Sub(died))
					return true
				}
			}
			return false
		})
	}
	s.runTo(38 * time.Second)
	if len(open) > 0 {
		t.Fatalf("seed %d: %v have no holder\n%s", seed, open, s.log.String())
	}
	return gaps
}

// Guards against a lost holder whose pools serve nobody for longer than the
// 4.5 s and the transaction that the design page allows.
func TestLostHolderGap(t *testing.T) {
	for _, domains := range [][]string{{"a", "a", "b", "b"}, {"a", "b", "a", "b", "a", "b", "a"}} {
		var gaps []time.Duration
		for seed := range *gapSeeds {
			gaps = append(gaps, lostGaps(t, seed, domains)...)
		}
		slices.Sort(gaps)
		t.Logf("%d VMs, %d seeds, %d pools lost: minimum %v, median %v, maximum %v",
			len(domains), *gapSeeds, len(gaps), gaps[0], gaps[len(gaps)/2], gaps[len(gaps)-1])
		if worst := gaps[len(gaps)-1]; worst > 4700*time.Millisecond {
			t.Errorf("a pool served nobody for %v", worst)
		}
	}
}
