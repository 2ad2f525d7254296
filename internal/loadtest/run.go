package loadtest

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/standin/hrtimer"
)

// Options are the settings of a run besides the scenario.
type Options struct {
	Factory Factory
	// MaxOutstanding bounds the calls under way. Later calls wait in the tool
	// and are still charged from the time they were due. Default: 2000.
	MaxOutstanding int
	// Progress, if set, is told about phases and events.
	Progress func(msg string, keyvals ...any)
}

// resendAfter is how long a caller waits before it sends a non-idempotent
// request with unknown outcome once more.
const resendAfter = 200 * time.Millisecond

// runner is one run of a scenario.
type runner struct {
	scenario *Scenario
	options  Options
	system   *System
	caller   *caller
	start    time.Time

	mu      sync.Mutex
	results []Result
	changes []change
	errs    []error
}

// change is a failure domain taken out (or put back) by an accepted
// configuration.
type change struct {
	domain string
	out    bool
	at     time.Time // latest acceptance of a take-out, earliest of a return
}

// Run starts the scenario's system, sends its calls and returns what was
// measured. The error is about the tool or the start of the system; faults of
// the system under load are in the report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if o.MaxOutstanding == 0 {
		o.MaxOutstanding = 2000
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	arrivals := s.Schedule()
	system, err := StartSystem(ctx, s, o.Factory)
	if err != nil {
		return nil, err
	}
	o.Progress("system started", "targets", len(system.targets), "entry_vms", len(system.vms), "calls", len(arrivals))
	r := &runner{scenario: s, options: o, system: system}
	r.caller = newCaller(o.MaxOutstanding, system.pick)
	r.sendAll(ctx, arrivals)
	r.caller.close()
	ended := time.Now()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := system.Stop(stopCtx); err != nil {
		r.errs = append(r.errs, err)
	}
	report := newReport(r, ended.Sub(r.start))
	return report, ctx.Err()
}

// sendAll sends every call at its time and returns when all have ended.
func (r *runner) sendAll(ctx context.Context, arrivals []Arrival) {
	outstanding := make(chan struct{}, r.options.MaxOutstanding)
	r.start = time.Now()
	eventCtx, stopEvents := context.WithCancel(ctx)
	var events, calls sync.WaitGroup
	for i := range r.scenario.Events {
		events.Go(func() { r.event(eventCtx, &r.scenario.Events[i]) })
	}
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		outstanding <- struct{}{}
		calls.Go(func() {
			defer func() { <-outstanding }()
			r.one(ctx, a)
		})
	}
	calls.Wait()
	stopEvents()
	events.Wait()
}

// one sends a call, and once more if its outcome is unknown and callers do so.
func (r *runner) one(ctx context.Context, a *Arrival) {
	result := r.caller.call(ctx, r.start, a, a.ID, a.At)
	r.add(result)
	if !r.scenario.ResendUnknown || a.Key == "" || result.Kind != outcome.Unknown {
		return
	}
	due := time.Since(r.start) + resendAfter
	if sleepUntil(ctx, r.start.Add(due)) {
		r.add(r.caller.call(ctx, r.start, a, a.ID+"-again", due))
	}
}

func (r *runner) add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *runner) event(ctx context.Context, e *Event) {
	at := time.Duration(e.AtS * float64(time.Second))
	if !sleepUntil(ctx, r.start.Add(at)) {
		return
	}
	r.options.Progress("event", "action", e.Action, "failure_domain", e.FailureDomain, "at", at)
	if err := r.act(ctx, e); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, merry.Prependf(err, "event %s at %v", e.Action, at))
	}
}

func (r *runner) act(ctx context.Context, e *Event) error {
	switch e.Action {
	case ActionTakeOut, ActionPutBack:
		if r.system.platform == nil {
			return nil // without entry VMs nobody reads the configuration
		}
		started := time.Now()
		if err := r.system.setOut(ctx, e.FailureDomain, e.Action == ActionTakeOut); err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		// A return is in force at some VMs before the change has been reported.
		at := started
		if e.Action == ActionTakeOut {
			at = time.Now()
		}
		r.changes = append(r.changes, change{e.FailureDomain, e.Action == ActionTakeOut, at})
	case ActionFaults:
		r.system.applyFaults(e)
	case ActionCut:
		r.system.link.Cut()
	case ActionHeal:
		r.system.link.Heal()
	case ActionFreeze:
		r.system.link.Pause()
	case ActionThaw:
		r.system.link.Resume()
	case ActionStopVM:
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return r.system.stopOneVM(stopCtx, e.FailureDomain)
	}
	return nil
}

// sleepUntil returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool { return hrtimer.WaitUntil(ctx.Done(), at) }
