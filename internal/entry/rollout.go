package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/front"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/statesync"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// rolloutInterval is the time between two judgements of the roll-outs. Counts of other VMs
	// arrive at about this interval.
	rolloutInterval = 200 * time.Millisecond
	// maxObservationAge is the age up to which a step may be based on an observation. A
	// process that was paused in between must observe again.
	maxObservationAge = 300 * time.Millisecond
	// stepTimeout bounds the write of a step, and then the read of the result.
	stepTimeout = 900 * time.Millisecond
	// maxStepPauses is the number of refused writes up to which the pause before the next one grows.
	maxStepPauses = 3
	// farRelayStepDelay and domainRelayStepDelay are the times for which a step has to be due before
	// the region relay of a region that is far from the store, or another relay, writes it. The region
	// relay near the store writes it at once.
	farRelayStepDelay    = 1200 * time.Millisecond
	domainRelayStepDelay = 2400 * time.Millisecond
)

// rollouts writes the steps of roll-outs (see package canary) and reports them.
type rollouts struct {
	state    *deploymentState
	tracker  *canary.Tracker
	store    *platform.Store
	distance *storeDistance
	syncer   *statesync.Syncer
	liveness *statesync.Liveness
	limits   func() canary.Limits
	onChange func()
	metrics  *metrics.Registry
	log      log.Logger

	// The fields below are used by decide only.
	due          map[string]dueStep   // by service
	missingSince map[string]time.Time // by service: since when VMs have been without contact
	refused      map[string]refusal   // by service: writes that the store has refused since the latest other one
}

// refusal counts successive writes that the store has refused.
type refusal struct {
	writes  int
	retryAt time.Time
}

// dueStep is a step that this VM takes to be due.
type dueStep struct {
	order uint64
	step  canary.Step
	since time.Time
}

// rolloutLimits returns the limits of roll-outs in the node settings.
func rolloutLimits(b platform.Bounds) canary.Limits {
	return canary.Limits{Share: b.CanaryShare, Slack: b.CanarySlack, ContactTimeout: b.ContactTimeout}
}

// update judges the roll-outs and changes what this VM sends to their versions.
func (r *rollouts) update(now time.Time) {
	for _, e := range r.tracker.Update(now, r.presentInProgress) {
		_ = level.Info(r.log).Log("msg", string(e.What), "service", e.Service, "target", e.Target, "reason", e.Reason, "counts_age_ms", e.Age.Milliseconds())
	}
	if !r.tracker.Active() {
		return
	}
	for _, s := range r.tracker.Status(now) {
		scope := r.metrics.Scope.SubScope("rollout").Tagged(map[string]string{"service": s.Order.Service})
		present, target := s.Exposure.Sent-s.Exposure.SentToTarget, s.Exposure.SentToTarget
		scope.Tagged(map[string]string{"version": "present"}).Gauge("sent_requests").Update(float64(present))
		scope.Tagged(map[string]string{"version": "target"}).Gauge("sent_requests").Update(float64(target))
		scope.Gauge("target_answers").Update(float64(s.Finding.Target.Answers))
		scope.Gauge("target_failures").Update(float64(s.Finding.Target.Failures))
		scope.Gauge("target_slow_answers").Update(float64(s.Finding.Target.Slow))
		scope.Gauge("state").Update(float64(s.Progress.State))
	}
}

// presentInProgress returns the number of this VM's requests in progress at servers of a service that
// are not of the target version.
func (r *rollouts) presentInProgress(service, target string) int {
	n := 0
	for _, v := range r.state.fleet.Views(nil, service, time.Now()) {
		if v.Server.Version != target {
			n += v.InFlight
		}
	}
	return n
}

// decide writes the steps that are due if it is up to this VM.
func (r *rollouts) decide(ctx context.Context) {
	if !r.tracker.Active() {
		return
	}
	now := time.Now()
	delay, decides := r.stepDelay(now)
	if !decides {
		clear(r.due)
		clear(r.missingSince)
		return
	}
	for _, s := range r.tracker.Status(now) {
		if s.Withdrawn {
			continue
		}
		obs := r.observe(now, s)
		step, reason := canary.Decide(s.Order, s.Progress, s.Started, obs, r.limits())
		if step == canary.None {
			delete(r.due, s.Order.Service)
			continue
		}
		due := r.due[s.Order.Service]
		if due.order != s.Order.Row || due.step != step {
			due = dueStep{s.Order.Row, step, now}
			r.due[s.Order.Service] = due
		}
		if now.Sub(due.since) >= delay && !now.Before(r.refused[s.Order.Service].retryAt) {
			r.write(ctx, now, s, obs, step, reason)
		}
	}
}

// stepDelay returns the time for which a step has to be due before this VM writes it. decides is
// false if this VM writes no steps.
func (r *rollouts) stepDelay(now time.Time) (delay time.Duration, decides bool) {
	switch {
	case !r.state.vmsKnownFor(relaySettleTime) || !r.syncer.IsRelay():
		return 0, false
	case !r.syncer.IsRegionRelay(now):
		return domainRelayStepDelay, true
	case r.distance.far():
		return farRelayStepDelay, true
	}
	return 0, true
}

// observe returns what this VM knows of a roll-out.
func (r *rollouts) observe(now time.Time, s canary.Status) canary.Observation {
	obs := canary.Observation{Age: now.Sub(s.SeenAt), Finding: s.Finding, Moved: s.MovedVMs}
	if clock, ok := r.store.Clock(); ok && s.Started {
		obs.Age = max(obs.Age, clock-s.Progress.StartedAt)
	}
	for _, v := range r.state.fleet.Views(nil, s.Order.Service, now) {
		obs.Busy += v.Busy
		if v.Server.Version == s.Order.Target && !v.Server.Draining && v.Reading.Health == fleet.Healthy && !v.Reading.Cold(now) &&
			!r.state.Evacuated(v.Server.FailureDomain) {
			obs.Slots += v.Server.Slots
		}
	}
	vms := r.state.VMs()
	obs.VMs, obs.Alive = len(vms), 1
	for _, v := range r.liveness.Filter(vms, now) {
		if v.ID != r.state.self.ID {
			obs.Alive++
		}
	}
	if obs.Alive >= obs.VMs {
		delete(r.missingSince, s.Order.Service)
		return obs
	}
	since, ok := r.missingSince[s.Order.Service]
	if !ok {
		since = now
		r.missingSince[s.Order.Service] = now
	}
	obs.MissingFor = now.Sub(since)
	return obs
}

// write writes a step, on the condition that no other VM has written one that this VM does not know
// of. Afterwards it reads the result, also if the write was not confirmed: it may have
// been done.
func (r *rollouts) write(ctx context.Context, observed time.Time, s canary.Status, obs canary.Observation, step canary.Step, reason string) {
	service := s.Order.Service
	version, _, _ := r.state.status.State()
	if version == 0 {
		return // not known yet whether another VM has begun
	}
	next := r.next(s, step)
	rows, err := r.rows(service, next)
	if err != nil {
		_ = level.Error(r.log).Log("msg", "step of a roll-out cannot be encoded", "service", service, "err", err)
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if time.Since(observed) > maxObservationAge {
		return
	}
	err = r.store.SetIf(writeCtx, platform.TableStatus, rows)
	f := s.Finding.Target
	_ = level.Info(r.log).Log("msg", "step of a roll-out written", "service", service, "target", s.Order.Target, "step", step, "reason", reason,
		"err", err, "age_ms", obs.Age.Milliseconds(), "duration_ms", s.Order.Duration.Milliseconds(), "answers", f.Answers, "failures", f.Failures,
		"slow", f.Slow, "counts_age_ms", s.EvidenceAge.Milliseconds(), "slots", obs.Slots, "busy", obs.Busy, "vms", obs.VMs, "alive", obs.Alive, "moved", obs.Moved)
	r.metrics.Scope.SubScope("rollout").Tagged(map[string]string{"step": step.String()}).Counter("steps").Inc(1)
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited) {
		n := min(r.refused[service].writes+1, maxStepPauses)
		r.refused[service] = refusal{n, time.Now().Add(retryPause(n, false, rand.Float64()))} //nolint:gosec // no secret
		return
	}
	delete(r.refused, service)
	r.readStatus(ctx)
}

// next returns the progress after a step.
func (r *rollouts) next(s canary.Status, step canary.Step) canary.Progress {
	p := s.Progress
	p.Order, p.Target = s.Order.Row, s.Order.Target
	switch step {
	case canary.Start:
		p = canary.Progress{Order: s.Order.Row, Target: s.Order.Target}
		if clock, ok := r.store.Clock(); ok {
			p.StartedAt = clock - time.Since(s.SeenAt)
		}
	case canary.Move:
		p.Moving = true
	case canary.Complete:
		p.State = canary.Completed
	case canary.RollBack:
		p.State = canary.RolledBack
	case canary.None:
	}
	return p
}

// rows returns the rows of a progress with the versions that they have in the copy.
func (r *rollouts) rows(service string, p canary.Progress) ([]platform.RowWrite, error) {
	status, err := platform.EncodeRolloutStatus(p)
	if err != nil {
		return nil, err
	}
	progress, err := platform.EncodeProgress(p)
	if err != nil {
		return nil, err
	}
	rows := []platform.RowWrite{
		{Key: platform.RolloutStatusKey(service), Value: status}, {Key: platform.RolloutProgressKey(service), Value: progress},
	}
	for i := range rows {
		if row, ok := r.state.status.Get(rows[i].Key); ok && !row.Lost {
			rows[i].Version = row.Version
		}
	}
	return rows, nil
}

// readStatus reads the table with the progress of roll-outs.
func (r *rollouts) readStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	sent := time.Now()
	c, err := r.store.Read(ctx, platform.TableStatus)
	if err != nil {
		_ = level.Warn(r.log).Log("msg", "read of the progress of roll-outs failed", "err", err)
		return
	}
	if r.state.status.ApplyRead(c, sent) {
		r.onChange()
	}
}

// recordAttempt counts the result of an attempt at a server.
func (r *rollouts) recordAttempt(a front.Attempt) {
	if !r.tracker.Active() || a.Result != fleet.Succeeded && a.Result != fleet.Failed {
		return
	}
	server, ok := r.state.fleet.Server(a.Server)
	if !ok {
		return
	}
	reading, _ := r.state.fleet.Reading(a.Server)
	r.tracker.RecordResult(server.Version, canary.Result{
		Service: a.Service, Route: a.Route, Failed: a.Result == fleet.Failed, TimedOut: a.TimedOut,
		Cold: reading.At.IsZero() || reading.Cold(a.Sent), Took: a.Took, Slowdown: a.Slowdown,
	})
}
