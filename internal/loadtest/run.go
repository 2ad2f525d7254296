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
	// MaxOutstanding is the maximum number of concurrent calls. Further calls
	// wait in the load test; their latency is still measured from the time at
	// which they were due. Default: 2000.
	MaxOutstanding int
	// Progress, if set, is called with a message and log keys and values when the
	// system has started and before each event. It must be safe for concurrent
	// use.
	Progress func(msg string, keyvals ...any)
}

// resendDelay is the time that a caller waits before it resends a non-idempotent
// request with unknown outcome.
const resendDelay = 200 * time.Millisecond

// runner executes one run of a scenario and collects its results.
type runner struct {
	scenario *Scenario
	options  Options
	system   *System
	caller   *caller
	start    time.Time

	mu      sync.Mutex
	results []Result
	changes []outOfServiceChange
	errs    []error
}

// outOfServiceChange records that an accepted configuration took a failure domain
// out of service (out is true) or put it back into service.
type outOfServiceChange struct {
	domain string
	out    bool
	at     time.Time // take-out: latest possible time of acceptance; return: earliest possible time
}

// Run starts the system of the scenario, sends all calls, stops the system and
// returns the measured results. The error is that of the start or of ctx. Errors
// of events and of the stop are in Report.Errors, and guarantees that the system
// violated are counted in the report.
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
	r.caller = newCaller(o.MaxOutstanding, system.pickAddresses)
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

// sendAll sends every call when it is due and runs the events of the scenario. It
// returns when all calls have ended; events that are not yet due are dropped.
func (r *runner) sendAll(ctx context.Context, arrivals []Arrival) {
	outstanding := make(chan struct{}, r.options.MaxOutstanding)
	r.start = time.Now()
	eventCtx, stopEvents := context.WithCancel(ctx)
	var events, calls sync.WaitGroup
	for i := range r.scenario.Events {
		events.Go(func() { r.runEvent(eventCtx, &r.scenario.Events[i]) })
	}
	for i := range arrivals {
		a := &arrivals[i]
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		outstanding <- struct{}{}
		calls.Go(func() {
			defer func() { <-outstanding }()
			r.sendCall(ctx, a)
		})
	}
	calls.Wait()
	stopEvents()
	events.Wait()
}

// sendCall sends a call and records its result. If the outcome of a non-idempotent
// call is unknown and the scenario has ResendUnknown set, it resends the call once
// under the id with the suffix "-again".
func (r *runner) sendCall(ctx context.Context, a *Arrival) {
	result := r.caller.call(ctx, r.start, a, a.ID, a.At)
	r.addResult(result)
	if !r.scenario.ResendUnknown || a.Key == "" || result.Kind != outcome.Unknown {
		return
	}
	due := time.Since(r.start) + resendDelay
	if sleepUntil(ctx, r.start.Add(due)) {
		r.addResult(r.caller.call(ctx, r.start, a, a.ID+"-again", due))
	}
}

func (r *runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *runner) runEvent(ctx context.Context, e *Event) {
	at := time.Duration(e.AtS * float64(time.Second))
	if !sleepUntil(ctx, r.start.Add(at)) {
		return
	}
	r.options.Progress("event", "action", e.Action, "failure_domain", e.FailureDomain, "at", at)
	if err := r.execute(ctx, e); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errs = append(r.errs, merry.Prependf(err, "event %s at %v", e.Action, at))
	}
}

func (r *runner) execute(ctx context.Context, e *Event) error {
	switch e.Action {
	case ActionTakeOut, ActionPutBack:
		if r.system.platform == nil {
			return nil // without entry VMs no process reads the configuration
		}
		started := time.Now()
		if err := r.system.setOutOfService(ctx, e.FailureDomain, e.Action == ActionTakeOut); err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		// Before setOutOfService returns, some VMs may already use a failure domain
		// that it puts back.
		at := started
		if e.Action == ActionTakeOut {
			at = time.Now()
		}
		r.changes = append(r.changes, outOfServiceChange{e.FailureDomain, e.Action == ActionTakeOut, at})
	case ActionFaults:
		r.system.applyFaults(e)
	case ActionCut:
		r.system.interRegion.Cut()
	case ActionHeal:
		r.system.interRegion.Heal()
	case ActionFreeze:
		r.system.interRegion.Pause()
	case ActionThaw:
		r.system.interRegion.Resume()
	case ActionStopVM:
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return r.system.stopOneVM(stopCtx, e.FailureDomain)
	}
	return nil
}

// sleepUntil waits until at. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool { return hrtimer.WaitUntil(ctx.Done(), at) }
