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

// gapSeeds is 50 by default, because 200 seeds take a minute under the race
// detector.
var gapSeeds = flag.Uint64("gap-seeds", 50, "seeds of TestLostHolderGap")

// unservedTimes stops one VM of a region without notice and returns, for each
// pool that it held, how long no VM served the pool, in virtual time.
func unservedTimes(t *testing.T, seed uint64, domains []string) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 2))
	s := newSim([]string{"a", "b"}, 8, 2)
	s.skipCheck = true
	var ids []vm.ID
	for i, d := range domains {
		s.runTo(time.Duration(rnd.IntN(1000)) * time.Millisecond * time.Duration(i+1))
		id := vm.ID(fmt.Sprintf("%s%d", d, i))
		ids = append(ids, id)
		s.start(id, d).random = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	s.runTo(25*time.Second + time.Duration(rnd.IntN(5000))*time.Millisecond)
	victim := s.vms[ids[rnd.IntN(len(ids))]]
	unserved := victim.heldPoolIDs()
	s.kill(victim.id)
	killedAt := s.now
	var gaps []time.Duration
	s.onEvent = func() {
		unserved = slices.DeleteFunc(unserved, func(id inventory.PoolID) bool {
			for _, v := range s.vms {
				if limit, _ := v.grant(s.now, id, s.slots); limit > 0 {
					gaps = append(gaps, s.now.Sub(killedAt))
					return true
				}
			}
			return false
		})
	}
	s.runTo(38 * time.Second)
	if len(unserved) > 0 {
		t.Fatalf("seed %d: pools %v were not served again before the end\n%s", seed, unserved, s.log.String())
	}
	return gaps
}

// Guards against a lost holder whose pools are not served for longer than 4.5 s
// plus one table transaction, 4.7 s in total.
func TestLostHolderGap(t *testing.T) {
	for _, domains := range [][]string{{"a", "a", "b", "b"}, {"a", "b", "a", "b", "a", "b", "a"}} {
		var gaps []time.Duration
		for seed := range *gapSeeds {
			gaps = append(gaps, unservedTimes(t, seed, domains)...)
		}
		slices.Sort(gaps)
		t.Logf("%d VMs, %d seeds, %d pools lost: minimum %v, median %v, maximum %v",
			len(domains), *gapSeeds, len(gaps), gaps[0], gaps[len(gaps)/2], gaps[len(gaps)-1])
		if worst := gaps[len(gaps)-1]; worst > 4700*time.Millisecond {
			t.Errorf("a pool was not served for %v", worst)
		}
	}
}
