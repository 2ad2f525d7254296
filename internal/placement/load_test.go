package placement_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/placement"
)

// world plays the load that placement is made for: servers of two slots that
// draw their speed anew every 150 ms, each with a phase of its own, and requests
// that keep the speed with which they start.
type world struct {
	rng     *rand.Rand
	servers []*played
	now     time.Duration
}

type played struct {
	phase  time.Duration
	speeds []float64
	until  []time.Duration // ends of requests in progress or waiting, sorted
}

const period = 150 * time.Millisecond

func newWorld(seed uint64, servers int, length time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2))}
	for range servers {
		s := &played{phase: time.Duration(w.rng.Int64N(int64(period)))}
		for range int(length/period) + 2 {
			slowdown := 1.0
			if w.rng.Float64() < 0.3 {
				slowdown = 5
			}
			s.speeds = append(s.speeds, slowdown)
		}
		w.servers = append(w.servers, s)
	}
	return w
}

func (s *played) slowdown(at time.Duration) float64 { return s.speeds[(at+s.phase)/period] }

// take runs a request that arrives at now and returns its end.
func (s *played) take(now, work time.Duration) time.Duration {
	s.until = slices.DeleteFunc(s.until, func(end time.Duration) bool { return end <= now })
	begin := now
	if len(s.until) >= 2 {
		begin = s.until[len(s.until)-2]
	}
	end := begin + time.Duration(float64(work)*s.slowdown(begin))
	s.until = append(s.until, end)
	slices.Sort(s.until)
	return end
}

func (s *played) busy(now time.Duration) int {
	n := 0
	for _, end := range s.until {
		if end > now {
			n++
		}
	}
	return n
}

// play sends requests at a rate per second for 20 s. readAge is the age of
// the readings: 0 stands for measurements right after each change. It returns
// the share of callers that had their answer within the goal.
func (w *world) play(t *testing.T, perSecond float64, readAge time.Duration) float64 {
	t.Helper()
	const length = 20 * time.Second
	const goal, patience = 300 * time.Millisecond, time.Second
	inGoal, asked := 0, 0
	next := time.Duration(0)
	q := &placement.Queue{Penalties: costs, Rand: w.rng.Float64}
	q.Candidates = func(time.Time, *placement.QueuedRequest) []placement.Candidate {
		candidates := make([]placement.Candidate, len(w.servers))
		for i, s := range w.servers {
			candidates[i] = placement.Candidate{
				ID: strconv.Itoa(i), Slots: 2, Busy: s.busy(w.now), Slowdown: s.slowdown(w.now - readAge),
				SpeedKnown: readAge == 0, Age: readAge,
			}
		}
		return candidates
	}
	q.Sent = func(it *placement.QueuedRequest, server string, _ time.Time) {
		i, err := strconv.Atoi(server)
		if err != nil {
			t.Fatal(err)
		}
		if end := w.servers[i].take(w.now, work); !start.Add(end).After(it.SoftDeadline) {
			inGoal++
		}
	}
	for w.now = time.Second; w.now < length; w.now += time.Millisecond {
		now := start.Add(w.now)
		for next <= w.now {
			q.Add(&placement.QueuedRequest{
				Request: placement.Request{ServiceTime: work, SoftDeadline: now.Add(goal), Deadline: now.Add(patience)}, Since: now,
			})
			asked++
			next = max(next, w.now-time.Millisecond) + time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second))
		}
		q.DecideAll(now)
	}
	return float64(inGoal) / float64(asked)
}

// Guards against placement that serves callers no better with fresh readings
// than with old ones, and against one that lets them down at half of the
// nominal slots.
func TestCallersGainFromFreshReadings(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		const servers, perSecond = 20, 160 // 40 slots; 16 in use at the usual speed
		fresh := newWorld(seed, servers, 30*time.Second).play(t, perSecond, 0)
		old := newWorld(seed, servers, 30*time.Second).play(t, perSecond, 60*time.Millisecond)
		if fresh < 0.95 {
			t.Errorf("seed %d: %.3f within the goal with fresh readings", seed, fresh)
		}
		if fresh < old+0.05 {
			t.Errorf("seed %d: %.3f within the goal with fresh readings, %.3f with readings 60 ms old", seed, fresh, old)
		}
		t.Logf("seed %d: fresh %.3f, 60 ms old %.3f", seed, fresh, old)
	}
}

// Guards against a collapse under more requests than the servers can bear: what
// is served in time must stay near the capacity.
func TestOverloadKeepsServing(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		const servers = 10 // 20 slots: 91 requests/s at the mean slowdown of 2.2
		share := newWorld(seed, servers, 30*time.Second).play(t, 250, 0)
		if served := share * 250; served < 91 {
			t.Errorf("seed %d: %.0f requests/s within the goal", seed, served)
		}
		t.Logf("seed %d: %.0f requests/s within the goal", seed, share*250)
	}
}
