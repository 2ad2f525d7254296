package pool_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/pool"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// oracle recounts what one target may bear, from the page's text: since the
// last cold sign, 8 responses per step, half more rate per step, and one more
// call per step from the middle of 8 steps on.
type oracle struct {
	coldAt   time.Time
	answered int
	last     time.Time
	started  bool
	instance string
}

func (o *oracle) steps() int { return o.answered / 8 }

func (o *oracle) limit(slots int) int {
	if o.steps() >= max(8, 3+slots) {
		return slots
	}
	return min(slots, max(1, o.steps()-2))
}

func (o *oracle) gap() time.Duration {
	return time.Duration(float64(time.Second) / (10 * math.Pow(1.5, float64(o.steps()))))
}

func (o *oracle) cold(now time.Time) { o.coldAt, o.answered = now, 0 }

// world runs one pool through holders and counts what its targets get.
type world struct {
	t     *rapid.T
	slots int
	now   time.Time
	pool  *pool.Pool
	half  bool
	calls []running
	by    map[string]*oracle
}

type running struct {
	grant  pool.Slot
	holder *pool.Pool
}

func (w *world) inFlight(name string) int {
	n := 0
	for _, c := range w.calls {
		if c.grant.Target.Name == name {
			n++
		}
	}
	return n
}

func (w *world) acquire() {
	grant, ok := w.pool.Acquire(w.now)
	if !ok {
		if at, free := w.pool.NextFree(w.now); free && !at.After(w.now) {
			w.t.Fatalf("no grant, but NextFree says now and Load %+v", w.pool.Load(w.now))
		}
		return
	}
	name := grant.Target.Name
	o := w.by[name]
	w.calls = append(w.calls, running{grant, w.pool})
	limit := o.limit(w.slots)
	if w.half {
		limit = min(limit, (w.slots+1)/2)
	}
	if n := w.inFlight(name); n > limit {
		w.t.Fatalf("%s has %d calls in flight, may bear %d after %d answers", name, n, limit, o.answered)
	}
	if o.steps() < max(8, 3+w.slots) && o.started && w.now.Sub(o.last) < o.gap() {
		w.t.Fatalf("%s got a call after %s, may get one per %s", name, w.now.Sub(o.last), o.gap())
	}
	o.last, o.started = w.now, true
}

func (w *world) release() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	name := c.grant.Target.Name
	r := pool.Result{Kind: outcome.Answered, Status: 200, Latency: w.now.Sub(c.grant.At)}
	o := w.by[name]
	switch rapid.IntRange(0, 200).Draw(w.t, "result") {
	case 101:
		r = pool.Result{Kind: outcome.NotRun, ConnRefused: true}
	case 102:
		r = pool.Result{Kind: outcome.Unknown, ConnReset: true, Failed: true}
	case 103:
		r = pool.Result{Kind: outcome.NotRun, Status: 503, Shed: true}
	case 104:
		r.Status = 500
	}
	if rapid.IntRange(0, 200).Draw(w.t, "restart") == 101 {
		o.instance += "x"
	}
	r.Instance = o.instance
	before := w.status(name).Instance
	c.holder.Release(w.now, c.grant, r)
	if c.holder != w.pool {
		// The successor learns only that the call has ended.
		w.pool.PredecessorCallsDone(name, 1)
		return
	}
	if replaced := before != "" && r.Instance != before; r.ConnRefused || r.ConnReset || replaced {
		o.cold(w.now)
	}
	if r.Kind == outcome.Answered && r.Status < 500 && !c.grant.At.Before(o.coldAt) {
		o.answered++
	}
}

func (w *world) status(name string) pool.TargetStatus {
	for _, s := range w.pool.Describe(w.now) {
		if s.Name == name {
			return s
		}
	}
	return pool.TargetStatus{}
}

// report applies any load report and checks that no limit rose by it.
func (w *world) report(name string) {
	before := w.status(name)
	p := pool.ProbeResult{
		OK: true, Utilization: rapid.Float64Range(0, 2).Draw(w.t, "load"),
		Instance: w.by[name].instance,
	}
	w.pool.ProbeDone(w.now, name, p)
	after := w.status(name)
	rate := func(r float64) float64 {
		if r == 0 {
			return math.Inf(1)
		}
		return r
	}
	if after.Limit > before.Limit || rate(after.Rate) > rate(before.Rate) {
		w.t.Fatalf("a load report raised limits from %+v to %+v", before, after)
	}
	if after.Cause == slowstart.InstanceChanged && before.Instance != after.Instance {
		w.by[name].cold(w.now)
	}
}

// Guards against a cold target that gets more calls at once or a higher rate
// than its ramp allows (G2), through cold signs, load reports, planned
// handovers, takeovers with half cap and configuration changes.
func TestColdTargetNeverGetsMoreThanItsRampAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, slots: rapid.IntRange(1, 4).Draw(t, "slots"), now: t0, by: map[string]*oracle{}}
		ts := targets(2)
		for _, x := range ts {
			w.by[x.Name] = &oracle{coldAt: t0, instance: "1"}
		}
		w.pool = pool.New(id, service(w.slots), ts, t0, nil)
		allCold := func() {
			for _, o := range w.by {
				o.cold(w.now)
			}
		}
		for range rapid.IntRange(100, 1500).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			// Calls end before the timeout that frees slots of a former holder.
			for len(w.calls) > 0 && w.now.Sub(w.calls[0].grant.At) > time.Second {
				w.release()
			}
			switch rapid.IntRange(0, 300).Draw(t, "event") {
			default:
				w.acquire()
				w.release()
			case 100:
				w.pool.AssumeCold(w.now, slowstart.DomainReturned)
				allCold()
			case 101, 102:
				w.report(rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "target"))
			case 103:
				h := w.pool.Export()
				w.pool = pool.New(id, service(w.slots), ts, w.now, &h)
				w.pool.SetHalfCap(w.half)
			case 104:
				// The former holder has stopped and its calls have ended.
				w.calls = nil
				w.pool = pool.New(id, service(w.slots), ts, w.now, nil)
				w.half = true
				w.pool.SetHalfCap(true)
				allCold()
			case 105:
				w.half = false
				w.pool.SetHalfCap(false)
			case 106:
				w.pool.Update(w.now, service(w.slots), ts[:1])
				w.pool.Update(w.now, service(w.slots), ts)
				w.by["t1"].cold(w.now)
			case 107:
				w.pool.SetReduced(true)
				if l := w.pool.Load(w.now); l.Slots > len(ts)*(w.slots/2) {
					t.Fatalf("%d slots in reduced mode", l.Slots)
				}
				w.acquire()
				w.pool.SetReduced(false)
			case 108, 109:
				w.acquire()
				w.acquire()
			}
		}
	})
}

// Guards against an ejection that empties the pool, whatever the results.
func TestAtMostHalfOfTheTargetsAreEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "targets")
		p := warmPool(n, 2)
		now := t0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if g, ok := p.Acquire(now); ok {
				p.Release(now, g, pool.Result{Kind: outcome.Unknown, Failed: rapid.IntRange(0, 9).Draw(t, "ok") > 0, Latency: time.Millisecond})
			}
			ejected := 0
			for _, s := range p.Describe(now) {
				if s.Ejected > 0 {
					ejected++
				}
			}
			if ejected > n/2 {
				t.Fatalf("%d of %d targets ejected", ejected, n)
			}
		}
	})
}

// Guards against probes beyond the budget (G1) when the pool changes its
// holder and targets come and go.
func TestProbesOfThePoolStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, p, sent := t0, warmPool(3, 2), map[string]int{}
		p.SetProbeBudget(t0, 400)
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				h := p.Export()
				p = pool.New(id, service(2), targets(3), now, &h)
				p.SetProbeBudget(now, 400)
			case 1:
				p.Update(now, service(2), targets(2))
				p.Update(now, service(2), targets(3))
			case 102:
				moved := append([]inventory.Target{}, targets(3)...)
				moved[0].Address = "127.0.0.1:9"
				p.Update(now, service(2), moved)
			}
			for x, ok := p.NextProbe(now); ok; x, ok = p.NextProbe(now) {
				sent[x.Name]++
				total++
			}
			elapsed := now.Sub(t0).Seconds()
			for name, n := range sent {
				if float64(n) > 0.2*elapsed+1e-6 {
					t.Fatalf("%d probes of %s in %.1f s", n, name, elapsed)
				}
			}
			if float64(total*512) > 400*elapsed+1e-3 {
				t.Fatalf("%d probes in %.1f s", total, elapsed)
			}
		}
	})
}
