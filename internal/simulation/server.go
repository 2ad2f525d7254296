package simulation

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

// Server is a model target with a number of workers and a FIFO queue. Its
// fields may be changed while the world runs.
type Server struct {
	// Work returns the service time of a call.
	Work func() time.Duration
	// Slowdown multiplies the service time of calls that start now.
	Slowdown float64
	// Down refuses connections.
	Down bool
	// FailAfter above zero breaks every answer after that time.
	FailAfter time.Duration
	// Status is the status of answers, sent at once when it is a 5xx.
	Status int
	// Shed refuses calls and names a pause.
	Shed time.Duration
	// Leaving is announced in each answer.
	Leaving  bool
	Instance string
	// Load is what the load endpoint reports.
	Load float64

	// Cold is the time until which the target bears ColdConcurrency calls at once;
	// more make it refuse connections for Outage.
	Cold            time.Time
	ColdConcurrency int
	Outage          time.Duration
	// Overloads counts calls beyond ColdConcurrency.
	Overloads int

	w     *Simulation
	name  string
	slots int
	busy  int
	queue []func()
	epoch int // changes with a restart
}

func newServer(w *Simulation, name string, slots int) *Server {
	return &Server{
		Work:     func() time.Duration { return 20 * time.Millisecond },
		Slowdown: 1, Status: 200, Instance: name + "-1", w: w, name: name, slots: slots,
	}
}

// Slowdowns lets the target turn slow by factor at random times, in phases of
// a mean length, for a share of the time.
func (s *Server) Slowdowns(factor, share float64, mean time.Duration) {
	wait := func(m float64, fn func()) {
		s.w.after(time.Duration(s.w.rng.ExpFloat64()*m), fn)
	}
	normal := float64(mean) * (1 - share) / share
	var on, off func()
	on = func() { s.Slowdown = factor; wait(float64(mean), off) }
	off = func() { s.Slowdown = 1; wait(normal, on) }
	if s.w.rng.Float64() < share {
		on()
	} else {
		off()
	}
}

// Restart replaces the process: calls in flight are reset and the new process
// is cold.
func (s *Server) Restart(instance string, coldFor time.Duration, bears int) {
	s.epoch++
	s.Instance, s.busy, s.queue = instance, 0, nil
	s.Cold, s.ColdConcurrency = s.w.now.Add(coldFor), bears
}

// offer sends a call to the target. done gets the result after the way back.
func (s *Server) offer(done func(pool.Result)) {
	start := s.w.now
	reply := func(after time.Duration, r pool.Result) {
		s.w.after(after+s.w.cfg.NetworkDelay, func() {
			r.Latency = s.w.now.Sub(start)
			done(r)
		})
	}
	s.w.after(s.w.cfg.NetworkDelay, func() {
		switch {
		case s.Down:
			reply(0, pool.Result{Kind: outcome.NotRun, ConnRefused: true})
		case s.Shed > 0:
			reply(0, pool.Result{Kind: outcome.NotRun, Status: 503, Shed: true, RetryAfter: s.Shed})
		case s.FailAfter > 0:
			reply(s.FailAfter, pool.Result{Kind: outcome.Unknown, Failed: true})
		case s.Status >= 500:
			reply(0, pool.Result{Kind: outcome.Answered, Status: s.Status, Instance: s.Instance})
		default:
			s.enter(reply)
		}
	})
}

func (s *Server) enter(reply func(time.Duration, pool.Result)) {
	if s.w.now.Before(s.Cold) && s.busy+len(s.queue) >= s.ColdConcurrency {
		s.Overloads++
		if s.Outage > 0 {
			s.Down = true
			s.w.after(s.Outage, func() { s.Down = false })
		}
	}
	epoch := s.epoch
	run := func() {
		s.busy++
		s.w.after(time.Duration(float64(s.Work())*s.Slowdown), func() {
			if s.epoch != epoch {
				reply(0, pool.Result{Kind: outcome.Unknown, ConnReset: true, Failed: true})
				return
			}
			s.busy--
			reply(0, pool.Result{
				Kind: outcome.Answered, Status: s.Status,
				Instance: s.Instance, Leaving: s.Leaving,
			})
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.busy < s.slots {
		run()
		return
	}
	s.queue = append(s.queue, run)
}
