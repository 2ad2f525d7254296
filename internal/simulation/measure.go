package simulation

import (
	"fmt"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// Setup of all measurements.
const (
	slotsPerTarget  = 2
	meanServiceTime = 20 * ms
	callDeadline    = 2 * time.Second
	warmUpTime      = 5 * time.Second
	queuePerSlot    = 16 // waiting calls per slot
)

// Options configures the measurements.
type Options struct {
	Seeds []uint64
	// Duration is the virtual time of a MeasureTailLatency run after 5 s of
	// warm-up. The other measurements use a part of it or a fixed time.
	Duration time.Duration
	Targets  int // distributed over two failure domains
	VMs      int
	// SlowPhase is the mean duration of a phase in which a target is slow.
	SlowPhase time.Duration
}

// DefaultOptions returns the options for one region with 7 VMs and 12 targets of 2
// slots in two failure domains.
func DefaultOptions() Options {
	return Options{
		Seeds: []uint64{1, 2, 3}, Duration: 200 * time.Second,
		Targets: 12, VMs: 7, SlowPhase: 500 * ms,
	}
}

// config returns the configuration that all measurements start from.
func (o Options) config(seed uint64) Config {
	svc := inventory.Service{
		Name: "kreisplan", Slots: slotsPerTarget, ColdRate: 10, ProbesPerSecond: 0.2, CallTimeoutMs: 2000,
	}
	for i := range o.Targets {
		svc.Targets = append(svc.Targets, inventory.Target{
			Name: fmt.Sprintf("t%02d", i), FailureDomain: []string{"ost-graz", "ost-wien"}[i%2],
		})
	}
	return Config{
		Seed: seed, Service: svc, VMs: o.VMs, NetworkDelay: ms / 2, QueuePerSlot: queuePerSlot,
		RetryShare: 0.1, MaxAttempts: 3, WarmStart: true,
	}
}

// capacityPerSecond returns the capacity of all targets in calls per second when
// no target is slow.
func (o Options) capacityPerSecond() float64 {
	return float64(o.Targets*slotsPerTarget) / meanServiceTime.Seconds()
}

// newSimulation returns a Simulation with heartbeats every second and service times
// that are exponentially distributed with a mean of 20 ms.
func (o Options) newSimulation(cfg Config) *Simulation {
	sim := New(cfg)
	for _, t := range cfg.Service.Targets {
		s := sim.servers[t.Name]
		s.ServiceTime = func() time.Duration { return time.Duration(sim.rng.ExpFloat64() * float64(meanServiceTime)) }
	}
	sim.StartHeartbeats(time.Second)
	return sim
}

// injectSlowdowns makes every target five times slower for 5 % of the time.
func (o Options) injectSlowdowns(sim *Simulation) {
	for _, t := range sim.cfg.Service.Targets {
		sim.servers[t.Name].InjectSlowdowns(5, 0.05, o.SlowPhase)
	}
}

// Variant is one of the compared ways to distribute calls: the load balancer, with
// one pool per failure domain or with a single pool (Config.Merge), or a Baseline. Set changes a
// common configuration accordingly.
type Variant struct {
	Name string
	Set  func(*Config)
}

// Variants returns all compared variants.
func Variants() []Variant {
	baseline := func(b Baseline) func(*Config) { return func(c *Config) { c.Baseline = b } }
	return []Variant{
		{"one pool per service and failure domain", func(*Config) {}},
		{"random", baseline(Random)},
		{"round robin", baseline(RoundRobin)},
		{"least in flight, by local knowledge", baseline(LeastInFlight)},
		{"one dispatcher per service and region", func(c *Config) { c.Merge = true }},
	}
}

// MeasureTailLatency runs one variant at a load given as a share of the capacity
// without slow targets. It returns the 99th percentile of the latency of answered
// calls, and the counts.
func (o Options) MeasureTailLatency(v Variant, load float64, seed uint64) (time.Duration, Counts) {
	cfg := o.config(seed)
	v.Set(&cfg)
	sim := o.newSimulation(cfg)
	sim.MeasureFrom = warmUpTime
	o.injectSlowdowns(sim)
	sim.SubmitPoisson(load*o.capacityPerSecond(), 0, warmUpTime+o.Duration, func() Call {
		return Call{Tenant: "a", Deadline: callDeadline}
	})
	sim.Run(warmUpTime + o.Duration + 10*time.Second)
	return quantile(sim.Latencies, 0.99), sim.Counts
}

// quantile returns the p-quantile (0 to 1) of l, or 0 if l is empty. It sorts l.
func quantile(l []time.Duration, p float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(p*float64(len(l))))]
}

// MeasureOverload offers ten times the capacity for a tenth of the Duration. There
// are two tenants, one of which sends three of four calls, and a tenth of all calls
// is non-idempotent. Each call has the given deadline. It returns the number
// of answers within the deadline as a share of the capacity, and the counts.
func (o Options) MeasureOverload(baseline Baseline, deadline time.Duration, seed uint64) (float64, Counts) {
	length := o.Duration / 10
	cfg := o.config(seed)
	cfg.Baseline = baseline
	sim := o.newSimulation(cfg)
	sim.SubmitPoisson(10*o.capacityPerSecond(), 0, length, func() Call {
		c := Call{Tenant: "a", Deadline: deadline, NonIdempotent: sim.rng.IntN(10) == 0}
		if sim.rng.IntN(4) == 0 {
			c.Tenant = "b"
		}
		return c
	})
	sim.Run(length)
	return float64(sim.Counts.Useful) / (o.capacityPerSecond() * length.Seconds()), sim.Counts
}

// MeasureOutage makes all targets break their answers for 3/20 of the Duration, at
// a load given as a share of the capacity. It returns the number of sends to targets
// per call that was sent at least once, and the counts. A negative retryShare means
// retries without a budget, up to 3 attempts.
func (o Options) MeasureOutage(retryShare, load float64, seed uint64) (float64, Counts) {
	length := o.Duration * 3 / 20
	cfg := o.config(seed)
	cfg.RetryShare = retryShare
	sim := o.newSimulation(cfg)
	for _, t := range cfg.Service.Targets {
		sim.servers[t.Name].FailAfter = meanServiceTime
	}
	sim.SubmitPoisson(load*o.capacityPerSecond(), 0, length, func() Call {
		return Call{Tenant: "a", Deadline: callDeadline}
	})
	sim.Run(length + 5*time.Second)
	return float64(sim.Counts.Sends) / float64(max(1, sim.Counts.FirstSends)), sim.Counts
}

// ColdStart describes how cold targets reach full capacity: the virtual time
// from the start of the simulation until the first target and all targets were warm, and the work that the targets
// received at each rate limit.
type ColdStart struct {
	FirstWarm, AllWarm time.Duration
	Steps              []ColdStep
}

// ColdStep describes the most work that any cold target received while its rate limit
// was Rate: the largest MaxInFlight and the smallest MinInterval of all targets.
type ColdStep struct {
	Rate        float64 // limit, calls/s
	Limit       int     // concurrent calls
	MaxInFlight int
	MinInterval time.Duration // between the starts of two calls at one target
}

// MeasureColdStart starts all targets cold and offers a load of 0.8 of the capacity
// for 10 s.
func (o Options) MeasureColdStart(seed uint64) ColdStart {
	cfg := o.config(seed)
	cfg.WarmStart = false
	sim := o.newSimulation(cfg)
	var out ColdStart
	steps := map[float64]*ColdStep{}
	lastStart := map[string]time.Time{}
	sim.onStart = func(h *holder, name string) {
		for _, s := range h.pool.Describe(sim.now) {
			if s.Name != name {
				continue
			}
			if s.Cause == slowstart.Warm {
				continue
			}
			step, ok := steps[s.Rate]
			if !ok {
				step = &ColdStep{Rate: s.Rate, Limit: s.Limit, MinInterval: time.Hour}
				steps[s.Rate] = step
			}
			step.MaxInFlight = max(step.MaxInFlight, s.InFlight)
			if at, ok := lastStart[name]; ok {
				step.MinInterval = min(step.MinInterval, sim.now.Sub(at))
			}
			lastStart[name] = sim.now
		}
	}
	var checkWarm func()
	checkWarm = func() {
		warm := 0
		for _, id := range sim.poolIDs() {
			for _, s := range sim.holders[id].pool.Describe(sim.now) {
				if s.Cause == slowstart.Warm {
					warm++
				}
			}
		}
		if warm > 0 && out.FirstWarm == 0 {
			out.FirstWarm = sim.Elapsed()
		}
		if warm == o.Targets {
			out.AllWarm = sim.Elapsed()
			return
		}
		sim.after(10*ms, checkWarm)
	}
	checkWarm()
	sim.SubmitPoisson(0.8*o.capacityPerSecond(), 0, 10*time.Second, func() Call {
		return Call{Tenant: "a", Deadline: callDeadline}
	})
	sim.Run(10 * time.Second)
	for _, s := range steps {
		out.Steps = append(out.Steps, *s)
	}
	slices.SortFunc(out.Steps, func(a, b ColdStep) int { return int(a.Rate - b.Rate) })
	return out
}
