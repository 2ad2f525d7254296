package placement_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// sentRequest is a request at a server.
type sentRequest struct {
	vm         int
	start, end time.Duration
}

// playMany plays many VMs that place requests on the same servers and know of
// each other's requests a little late. Servers work slower while both of their
// slots are in use. It returns the share of callers that had their answer within
// the goal.
func playMany(t *testing.T, seed uint64, ranked bool) float64 {
	t.Helper()
	const (
		vms, servers = 35, 56 // a failure domain of the users' largest site
		perSecond    = 105.0
		length       = 20 * time.Second
		lag          = 70 * time.Millisecond // two hops of news at most 35 ms apart
		usualWork    = 220 * time.Millisecond
		goal         = 400 * time.Millisecond
		bothInUse    = 1.7
	)
	w := newWorld(seed, servers, length+10*time.Second)
	at := make([][]sentRequest, servers)
	busy := func(server, self int) (n int) {
		for _, r := range at[server] {
			seen := w.now
			if r.vm != self {
				seen -= lag
			}
			if r.start <= seen && seen < r.end {
				n++
			}
		}
		return n
	}
	var infos []vm.Info
	for i := range vms {
		infos = append(infos, vm.Info{ID: vm.ID(fmt.Sprint("vm-", i))})
	}
	inGoal, asked := 0, 0
	queues := make([]*placement.Queue, vms)
	for self := range queues {
		others := slices.Delete(slices.Clone(infos), self, self+1)
		ranks := make([]int, servers)
		if ranked {
			for i := range ranks {
				ranks[i] = vm.RendezvousRank(infos[self].ID, others, fmt.Sprint("server-", i))
			}
		}
		queues[self] = &placement.Queue{
			Penalties: costs, Rand: w.rng.Float64,
			Candidates: func(time.Time, *placement.QueuedRequest) []placement.Candidate {
				out := make([]placement.Candidate, servers)
				for i, s := range w.servers {
					out[i] = placement.Candidate{
						ID: strconv.Itoa(i), Slots: 2, Busy: busy(i, self), Slowdown: s.slowdown(w.now), SpeedKnown: true, TieBreakRank: ranks[i],
					}
				}
				return out
			},
			Sent: func(it *placement.QueuedRequest, server string, _ time.Time) {
				i, err := strconv.Atoi(server)
				if err != nil {
					t.Fatal(err)
				}
				at[i] = slices.DeleteFunc(at[i], func(r sentRequest) bool { return r.end+lag < w.now })
				var ends []time.Duration
				for _, r := range at[i] {
					if r.end > w.now {
						ends = append(ends, r.end)
					}
				}
				slices.Sort(ends)
				begin, factor := w.now, 1.0
				if len(ends) > 0 {
					factor = bothInUse
				}
				if len(ends) >= 2 {
					begin = ends[len(ends)-2]
				}
				end := begin + time.Duration(float64(usualWork)*w.servers[i].slowdown(begin)*factor)
				at[i] = append(at[i], sentRequest{self, w.now, end})
				if !start.Add(end).After(it.SoftDeadline) {
					inGoal++
				}
			},
		}
	}
	next := time.Duration(0)
	for w.now = time.Second; w.now < length; w.now += time.Millisecond {
		now := start.Add(w.now)
		for next <= w.now {
			queues[w.rng.IntN(vms)].Add(&placement.QueuedRequest{
				Request: placement.Request{ServiceTime: usualWork, SoftDeadline: now.Add(goal), Deadline: now.Add(time.Second)}, Since: now,
			})
			asked++
			next = max(next, w.now-time.Millisecond) + time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second))
		}
		for _, q := range queues {
			if q.Len() > 0 {
				q.DecideAll(now)
			}
		}
	}
	return float64(inGoal) / float64(asked)
}

// Guards against VMs that choose the same servers before they know of each
// other's requests, which made callers of the largest site wait for servers with
// both slots in use while others were free.
func TestRanksKeepVMsApart(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		ranked, random := playMany(t, seed, true), playMany(t, seed, false)
		if ranked < random+0.02 {
			t.Errorf("seed %d: %.3f within the goal with ranks, %.3f without", seed, ranked, random)
		}
		t.Logf("seed %d: %.3f within the goal with ranks, %.3f without", seed, ranked, random)
	}
}
