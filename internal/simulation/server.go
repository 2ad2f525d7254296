package simulation

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

// Server is a simulated target with a fixed number of workers and a FIFO queue. Its
// exported fields may be changed while the Simulation runs.
type Server struct {
	// ServiceTime returns the service time of a call.
	ServiceTime func() time.Duration
	// Slowdown is the factor on the service time of calls that start from now on.
	Slowdown float64
	// Down makes the target refuse connections.
	Down bool
	// FailAfter, if positive, makes every call fail that long after it arrived,
	// with a broken answer and without use of a worker.
	FailAfter time.Duration
	// Status is the HTTP status of answers. If it is 500 or above, the target
	// answers at once, without use of a worker.
	Status int
	// Shed, if positive, makes the target refuse every call with status 503 and
	// this duration as Retry-After.
	Shed time.Duration
	// Leaving makes the target announce in each answer that it will stop.
	Leaving  bool
	Instance string
	// Load is the utilization that the load endpoint reports.
	Load float64

	// ColdUntil is the end of the cold phase. Until then the target can handle
	// ColdConcurrency concurrent calls. A further call makes it refuse connections
	// for OverloadOutage, if that is positive.
	ColdUntil       time.Time
	ColdConcurrency int
	OverloadOutage  time.Duration
	// Overloads counts calls that exceeded ColdConcurrency in the cold phase.
	Overloads int

	sim        *Simulation
	name       string
	slots      int
	busy       int
	queue      []func()
	generation int // incremented by Restart
}

func newServer(sim *Simulation, name string, slots int) *Server {
	return &Server{
		ServiceTime: func() time.Duration { return 20 * time.Millisecond },
		Slowdown:    1, Status: 200, Instance: name + "-1", sim: sim, name: name, slots: slots,
	}
}

// InjectSlowdowns makes the target slower by factor during phases at random times.
// The length of a phase is exponentially distributed with the given mean. The
// phases take the given share of the time, which must be above 0 and at most 1.
func (s *Server) InjectSlowdowns(factor, share float64, mean time.Duration) {
	afterRandomDelay := func(meanDelay float64, fn func()) {
		s.sim.after(time.Duration(s.sim.rng.ExpFloat64()*meanDelay), fn)
	}
	normal := float64(mean) * (1 - share) / share
	var startSlow, endSlow func()
	startSlow = func() { s.Slowdown = factor; afterRandomDelay(float64(mean), endSlow) }
	endSlow = func() { s.Slowdown = 1; afterRandomDelay(normal, startSlow) }
	if s.sim.rng.Float64() < share {
		startSlow()
	} else {
		endSlow()
	}
}

// Restart replaces the process of the target. The connections of running calls are
// reset, and waiting calls are dropped without a reply. The new process is cold for
// coldFor and can handle coldConcurrency concurrent calls meanwhile.
func (s *Server) Restart(instance string, coldFor time.Duration, coldConcurrency int) {
	s.generation++
	s.Instance, s.busy, s.queue = instance, 0, nil
	s.ColdUntil, s.ColdConcurrency = s.sim.now.Add(coldFor), coldConcurrency
}

// send sends a call to the target. done is called with the result when the answer
// has reached the sender, one network delay after the target sent it.
func (s *Server) send(done func(pool.Result)) {
	start := s.sim.now
	reply := func(after time.Duration, r pool.Result) {
		s.sim.after(after+s.sim.cfg.NetworkDelay, func() {
			r.Latency = s.sim.now.Sub(start)
			done(r)
		})
	}
	s.sim.after(s.sim.cfg.NetworkDelay, func() {
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
			s.enqueue(reply)
		}
	})
}

// enqueue runs a call on a free worker or adds it to the queue.
func (s *Server) enqueue(reply func(time.Duration, pool.Result)) {
	if s.sim.now.Before(s.ColdUntil) && s.busy+len(s.queue) >= s.ColdConcurrency {
		s.Overloads++
		if s.OverloadOutage > 0 {
			s.Down = true
			s.sim.after(s.OverloadOutage, func() { s.Down = false })
		}
	}
	generation := s.generation
	run := func() {
		s.busy++
		s.sim.after(time.Duration(float64(s.ServiceTime())*s.Slowdown), func() {
			if s.generation != generation {
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
