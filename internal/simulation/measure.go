package simulation

import (
	"fmt"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

const (
	slots      = 2
	meanWork   = 20 * ms
	deadline   = 2 * time.Second
	warmUp     = 5 * time.Second
	queueDepth = 16 // waiting calls per slot
)

// Options sets up the measurements.
type Options struct {
	Seeds []uint64
	// Duration is the virtual time of one run, after 5 s of warm-up.
	Duration time.Duration
	Targets  int // over two failure domains
	VMs      int
	// SlowPhase is the mean length of a phase in which a target is slow.
	SlowPhase time.Duration
}

// DefaultOptions is one region with 12 targets of 2 slots in two failure
// domains and 7 VMs.
func DefaultOptions() Options {
	return Options{
		Seeds: []uint64{1, 2, 3}, Duration: 200 * time.Second,
		Targets: 12, VMs: 7, SlowPhase: 500 * ms,
	}
}

// config is the common set-up: exponential work with a mean of 20 ms.
func (o Options) config(seed uint64) Config {
	svc := inventory.Service{
		Name: "kreisplan", Slots: slots, ColdRate: 10, ProbesPerSecond: 0.2, CallTimeoutMs: 2000,
	}
	for i := range o.Targets {
		svc.Targets = append(svc.Targets, inventory.Target{
			Name: fmt.Sprintf("t%02d", i), FailureDomain: []string{"ost-graz", "ost-wien"}[i%2],
		})
	}
	return Config{
		Seed: seed, Service: svc, VMs: o.VMs, NetworkDelay: ms / 2, QueuePerSlot: queueDepth,
		RetryShare: 0.1, MaxAttempts: 3, WarmStart: true,
	}
}

// perSecond is the capacity in calls per second when no target is slow.
func (o Options) perSecond() float64 {
	return float64(o.Targets*slots) / meanWork.Seconds()
}

func (o Options) world(cfg Config) *Simulation {
	w := New(cfg)
	for _, t := range cfg.Service.Targets {
		s := w.servers[t.Name]
		s.Work = func() time.Duration { return time.Duration(w.rng.ExpFloat64() * float64(meanWork)) }
	}
	w.Heartbeats(time.Second)
	return w
}

func (o Options) slow(w *Simulation) {
	for _, t := range w.cfg.Service.Targets {
		w.servers[t.Name].Slowdowns(5, 0.05, o.SlowPhase)
	}
}

// Design is one of the compared ways to distribute calls.
type Design struct {
	Name string
	Set  func(*Config)
}

// Designs returns the compared designs.
func Designs() []Design {
	baseline := func(b Baseline) func(*Config) { return func(c *Config) { c.Baseline = b } }
	return []Design{
		{"one pool per service and failure domain", func(*Config) {}},
		{"random", baseline(Random)},
		{"round robin", baseline(RoundRobin)},
		{"least in flight, by local knowledge", baseline(LeastInFlight)},
		{"one dispatcher per service and region", func(c *Config) { c.Merge = true }},
	}
}

// TailLatency runs one design at a share of the nominal slots and returns the 99th
// percentile of the latency of answered calls, with the counts.
func (o Options) TailLatency(d Design, load float64, seed uint64) (time.Duration, Counts) {
	cfg := o.config(seed)
	d.Set(&cfg)
	w := o.world(cfg)
	w.Since = warmUp
	o.slow(w)
	w.Poisson(load*o.perSecond(), 0, warmUp+o.Duration, func() Call {
		return Call{Tenant: "a", Deadline: deadline}
	})
	w.Run(warmUp + o.Duration + 10*time.Second)
	return percentile(w.Latencies, 0.99), w.Counts
}

func percentile(l []time.Duration, p float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(p*float64(len(l))))]
}

// Overload offers ten times the capacity for a tenth of the Duration, from two tenants of which one
// sends three of four calls, a tenth of all non-idempotent, and returns the
// useful share of the capacity: answers within the deadline.
func (o Options) Overload(baseline Baseline, limit time.Duration, seed uint64) (float64, Counts) {
	length := o.Duration / 10
	cfg := o.config(seed)
	cfg.Baseline = baseline
	w := o.world(cfg)
	w.Poisson(10*o.perSecond(), 0, length, func() Call {
		c := Call{Tenant: "a", Deadline: limit, NonIdempotent: w.rng.IntN(10) == 0}
		if w.rng.IntN(4) == 0 {
			c.Tenant = "b"
		}
		return c
	})
	w.Run(length)
	return float64(w.Counts.Useful) / (o.perSecond() * length.Seconds()), w.Counts
}

// Outage lets all targets break their answers for 3/20 of the Duration at a
// share of the nominal slots and returns the calls sent to targets per first attempt that
// was sent. A retry share below zero retries without budget, up to 3 attempts.
func (o Options) Outage(share, load float64, seed uint64) (float64, Counts) {
	length := o.Duration * 3 / 20
	cfg := o.config(seed)
	cfg.RetryShare = share
	w := o.world(cfg)
	for _, t := range cfg.Service.Targets {
		w.servers[t.Name].FailAfter = meanWork
	}
	w.Poisson(load*o.perSecond(), 0, length, func() Call {
		return Call{Tenant: "a", Deadline: deadline}
	})
	w.Run(length + 5*time.Second)
	return float64(w.Counts.Sends) / float64(max(1, w.Counts.FirstSends)), w.Counts
}

// ColdStart is what a region of cold targets got on the way to full capacity.
type ColdStart struct {
	FirstWarm, AllWarm time.Duration
	Steps              []ColdStep
}

// ColdStep is the most work that any cold target got at one rate limit.
type ColdStep struct {
	Rate         float64 // limit, calls/s
	Limit        int
	MostInFlight int
	LeastGap     time.Duration // between two calls of one target
}

// Cold starts all targets cold at a load of 0.8 of the slots.
func (o Options) Cold(seed uint64) ColdStart {
	cfg := o.config(seed)
	cfg.WarmStart = false
	w := o.world(cfg)
	var out ColdStart
	steps := map[float64]*ColdStep{}
	last := map[string]time.Time{}
	w.onStart = func(h *holder, name string) {
		for _, s := range h.pool.Describe(w.now) {
			if s.Name != name {
				continue
			}
			if s.Cause == slowstart.Warm {
				continue
			}
			step, ok := steps[s.Rate]
			if !ok {
				step = &ColdStep{Rate: s.Rate, Limit: s.Limit, LeastGap: time.Hour}
				steps[s.Rate] = step
			}
			step.MostInFlight = max(step.MostInFlight, s.InFlight)
			if at, ok := last[name]; ok {
				step.LeastGap = min(step.LeastGap, w.now.Sub(at))
			}
			last[name] = w.now
		}
	}
	var check func()
	check = func() {
		warm := 0
		for _, id := range w.poolIDs() {
			for _, s := range w.holders[id].pool.Describe(w.now) {
				if s.Cause == slowstart.Warm {
					warm++
				}
			}
		}
		if warm > 0 && out.FirstWarm == 0 {
			out.FirstWarm = w.Elapsed()
		}
		if warm == o.Targets {
			out.AllWarm = w.Elapsed()
			return
		}
		w.after(10*ms, check)
	}
	check()
	w.Poisson(0.8*o.perSecond(), 0, 10*time.Second, func() Call {
		return Call{Tenant: "a", Deadline: deadline}
	})
	w.Run(10 * time.Second)
	for _, s := range steps {
		out.Steps = append(out.Steps, *s)
	}
	slices.SortFunc(out.Steps, func(a, b ColdStep) int { return int(a.Rate - b.Rate) })
	return out
}
