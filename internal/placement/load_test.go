package placement_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// simulation runs the load that placement is designed for: servers with two slots
// that draw a new random speed every 150 ms, each at its own phase, and requests
// that keep the speed that the server has when they start.
type simulation struct {
	rng     *rand.Rand
	servers []*simulatedServer
	now     time.Duration
}

type simulatedServer struct {
	phase       time.Duration
	slowdowns   []float64
	requestEnds []time.Duration // ends of requests in progress or waiting, sorted
}

const speedPeriod = 150 * time.Millisecond

func newSimulation(seed uint64, servers int, length time.Duration) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 2))}
	for range servers {
		s := &simulatedServer{phase: time.Duration(sim.rng.Int64N(int64(speedPeriod)))}
		for range int(length/speedPeriod) + 2 {
			slowdown := 1.0
			if sim.rng.Float64() < 0.3 {
				slowdown = 5
			}
			s.slowdowns = append(s.slowdowns, slowdown)
		}
		sim.servers = append(sim.servers, s)
	}
	return sim
}

func (s *simulatedServer) slowdown(at time.Duration) float64 {
	return s.slowdowns[(at+s.phase)/speedPeriod]
}

// serve adds a request that arrives at now and returns the time of its end. The
// request waits if both slots are in use.
func (s *simulatedServer) serve(now, serviceTime time.Duration) time.Duration {
	s.requestEnds = slices.DeleteFunc(s.requestEnds, func(end time.Duration) bool { return end <= now })
	begin := now
	if len(s.requestEnds) >= 2 {
		begin = s.requestEnds[len(s.requestEnds)-2]
	}
	end := begin + time.Duration(float64(serviceTime)*s.slowdown(begin))
	s.requestEnds = append(s.requestEnds, end)
	slices.Sort(s.requestEnds)
	return end
}

func (s *simulatedServer) busy(now time.Duration) int {
	n := 0
	for _, end := range s.requestEnds {
		if end > now {
			n++
		}
	}
	return n
}

// run sends requestsPerSecond requests per second, from second 1 to second 20 of the
// simulation. Before second 1, an old reading could refer to a time before 0, for
// which there are no speeds. readingAge is the age of the readings; 0 means that
// servers are measured right after each change of speed. It returns the share of requests
// that were answered within the latency goal.
func (sim *simulation) run(t *testing.T, requestsPerSecond float64, readingAge time.Duration) float64 {
	t.Helper()
	const length = 20 * time.Second
	const goal, timeout = 300 * time.Millisecond, time.Second
	withinGoal, total := 0, 0
	nextArrival := time.Duration(0)
	q := &placement.Queue{Penalties: penalties, Rand: sim.rng.Float64}
	q.Candidates = func(time.Time, *placement.QueuedRequest) []placement.Candidate {
		candidates := make([]placement.Candidate, len(sim.servers))
		for i, s := range sim.servers {
			candidates[i] = placement.Candidate{
				ID: strconv.Itoa(i), Slots: 2, Busy: s.busy(sim.now), Slowdown: s.slowdown(sim.now - readingAge),
				SpeedKnown: readingAge == 0, Age: readingAge,
			}
		}
		return candidates
	}
	q.OnSend = func(req *placement.QueuedRequest, server string, _ time.Time) {
		i, err := strconv.Atoi(server)
		if err != nil {
			t.Fatal(err)
		}
		if end := sim.servers[i].serve(sim.now, serviceTime); !start.Add(end).After(req.SoftDeadline) {
			withinGoal++
		}
	}
	for sim.now = time.Second; sim.now < length; sim.now += time.Millisecond {
		now := start.Add(sim.now)
		for nextArrival <= sim.now {
			q.Add(&placement.QueuedRequest{
				Request: placement.Request{ServiceTime: serviceTime, SoftDeadline: now.Add(goal), Deadline: now.Add(timeout)}, EnqueuedAt: now,
			})
			total++
			nextArrival = max(nextArrival, sim.now-time.Millisecond) + time.Duration(sim.rng.ExpFloat64()/requestsPerSecond*float64(time.Second))
		}
		q.DecideAll(now)
	}
	return float64(withinGoal) / float64(total)
}

// Guards against placement that answers no more requests within the goal with
// fresh readings than with old ones, and against one that misses the goal while
// only half of the nominal slots are in use.
func TestFreshReadingsMeetGoalMoreOften(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		const servers, requestsPerSecond = 20, 160 // 40 slots, of which 16 are in use at the usual speed
		fresh := newSimulation(seed, servers, 30*time.Second).run(t, requestsPerSecond, 0)
		stale := newSimulation(seed, servers, 30*time.Second).run(t, requestsPerSecond, 60*time.Millisecond)
		if fresh < 0.95 {
			t.Errorf("seed %d: share %.3f of requests within the goal with fresh readings, want at least 0.95", seed, fresh)
		}
		if fresh < stale+0.05 {
			t.Errorf("seed %d: share %.3f of requests within the goal with fresh readings, %.3f with readings 60 ms old, want at least 0.05 more with fresh ones", seed, fresh, stale)
		}
		t.Logf("seed %d: share of requests within the goal: %.3f with fresh readings, %.3f with readings 60 ms old", seed, fresh, stale)
	}
}

// Guards against a collapse of throughput under overload: the rate of requests
// answered within the goal must stay near the capacity of the servers.
func TestOverloadKeepsThroughput(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		const servers = 10 // 20 slots: 91 requests/s at the mean slowdown of 2.2
		share := newSimulation(seed, servers, 30*time.Second).run(t, 250, 0)
		if served := share * 250; served < 91 {
			t.Errorf("seed %d: %.0f requests/s answered within the goal, want at least 91", seed, served)
		}
		t.Logf("seed %d: %.0f requests/s answered within the goal", seed, share*250)
	}
}
