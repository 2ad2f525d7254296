package periodicity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/periodicity"
)

// server changes speed at random multiples of a period, or at random times.
type server struct {
	rng    *rand.Rand
	period time.Duration // 0: no rhythm
	phase  time.Duration
	value  float64
	next   time.Duration
}

func newServer(seed uint64, period time.Duration) *server {
	s := &server{rng: rand.New(rand.NewPCG(seed, 1)), period: period, value: 1}
	s.phase = time.Duration(s.rng.Int64N(int64(150 * time.Millisecond)))
	s.next = s.phase
	return s
}

func (s *server) at(t time.Duration) float64 {
	for t >= s.next {
		s.value = 1
		if s.rng.Float64() < 0.3 {
			s.value = 5
		}
		step := s.period
		if step == 0 {
			step = time.Duration(s.rng.ExpFloat64() * float64(150*time.Millisecond))
		}
		s.next += max(step, time.Millisecond)
	}
	return s.value
}

// follow measures s as the tracker asks for 30 s. It returns the share of the
// last 20 s in which the tracker's value was wrong, and the measurements/s.
func follow(s *server, tr *periodicity.Detector) (wrong, rate float64) {
	start := time.Unix(1000, 0)
	const length, counted = 30 * time.Second, 10 * time.Second
	const oneWay = 300 * time.Microsecond
	var known float64
	var bad, probes int
	next := time.Duration(0)
	for t := time.Duration(0); t < length; t += 500 * time.Microsecond {
		truth := s.at(t)
		if t >= next {
			known = truth
			tr.Observe(start.Add(t-oneWay), start.Add(t+oneWay), truth)
			next = tr.Next(start.Add(t + oneWay)).Sub(start)
			if t >= counted {
				probes++
			}
		}
		if t >= counted && known != truth {
			bad++
		}
	}
	span := length - counted
	return float64(bad) / float64(span/(500*time.Microsecond)), float64(probes) / span.Seconds()
}

// Guards against measurements that miss changes of a server with a rhythm, or
// that cost as much as measuring at a fixed interval.
func TestFollowsRhythm(t *testing.T) {
	for seed := range uint64(20) {
		for _, period := range []time.Duration{100, 150, 210} {
			tr := &periodicity.Detector{}
			wrong, rate := follow(newServer(seed, period*time.Millisecond), tr)
			if !tr.HasPeriod() {
				t.Errorf("seed %d, period %d ms: no rhythm found", seed, period)
				continue
			}
			if d := tr.Period() - period*time.Millisecond; d > time.Millisecond || d < -time.Millisecond {
				t.Errorf("seed %d, period %d ms: found %v", seed, period, tr.Period())
			}
			if wrong > 0.03 {
				t.Errorf("seed %d, period %d ms: wrong for %.3f of the time", seed, period, wrong)
			}
			// Measuring at the fixed interval takes 3 per 150 ms.
			if limit := 2 * 1000 / float64(period); rate > limit {
				t.Errorf("seed %d, period %d ms: %.1f measurements/s, limit %.1f", seed, period, rate, limit)
			}
		}
	}
}

// Guards against a rhythm that is seen where there is none: speeds would be
// taken as valid for too long.
func TestFallsBackWithoutRhythm(t *testing.T) {
	for seed := range uint64(20) {
		tr := &periodicity.Detector{}
		wrong, rate := follow(newServer(seed, 0), tr)
		if wrong > 0.14 {
			t.Errorf("seed %d: wrong for %.3f of the time", seed, wrong)
		}
		if rate > 41 {
			t.Errorf("seed %d: %.1f measurements/s", seed, rate)
		}
	}
}

// Guards against a phase that is kept after the server's rhythm moved.
func TestNoticesMovedPhase(t *testing.T) {
	s := newServer(3, 150*time.Millisecond)
	tr := &periodicity.Detector{}
	if wrong, _ := follow(s, tr); wrong > 0.03 {
		t.Fatalf("wrong for %.3f of the time before the move", wrong)
	}
	moved := newServer(4, 150*time.Millisecond)
	moved.phase += 70 * time.Millisecond
	moved.next = moved.phase
	start := time.Unix(2000, 0)
	next := time.Duration(0)
	bad := 0
	known := 0.0
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		truth := moved.at(at)
		if at >= next {
			known = truth
			tr.Observe(start.Add(at), start.Add(at), truth)
			next = tr.Next(start.Add(at)).Sub(start)
		}
		if at > 10*time.Second && known != truth {
			bad++
		}
	}
	if share := float64(bad) / 10000; share > 0.05 {
		t.Errorf("wrong for %.3f of the time after the move", share)
	}
}
