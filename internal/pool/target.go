package pool

import (
	"math"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

const (
	// recentLatencyWeight is the weight of one call in the smoothed recent
	// latency. With 0.3, two consecutive calls at five times the usual latency
	// raise it to about three times that latency, which is enough for
	// pickTarget to prefer targets whose latency did not rise.
	recentLatencyWeight = 0.3
	// recentLatencyHalfLife is the time in which the difference between recent
	// latency and baseline is halved while a target gets no calls. Without this
	// decay a slow target would never be tried again.
	recentLatencyHalfLife = time.Second
	// ejectAfterFailures is the number of consecutive failures that eject a
	// target.
	ejectAfterFailures = 5
	minEjection        = time.Second
	maxEjection        = 30 * time.Second
	// defaultShedPause applies when a target sheds load without stating a
	// pause. Such a refusal returns at once, so calls would otherwise be
	// repeated in a tight loop.
	defaultShedPause = 100 * time.Millisecond
	// maxShedPause limits the pause that a target can request, because a wrong
	// Retry-After would otherwise take it out of use indefinitely.
	maxShedPause = 30 * time.Second
	// leavingAnnouncementTTL is how long a target's announcement that it is
	// leaving takes precedence over its health endpoint, which lags behind.
	leavingAnnouncementTTL = 30 * time.Second
	// probeAfterIdle is the time without calls after which a target is probed.
	probeAfterIdle = time.Second
)

// target is the state of one target of a pool.
type target struct {
	info    inventory.Target
	limiter *slowstart.Limiter
	timeout time.Duration

	inFlight            map[uint64]time.Time // start of each call in flight, by call ID
	predecessorCalls    int                  // calls of the previous holder still in flight
	predecessorDeadline time.Time            // when the calls of the previous holder have timed out
	lastCallAt          time.Time            // when a call last started or ended

	recentLatency   time.Duration // smoothed over a few calls; a failure counts at least as the call timeout
	recentLatencyAt time.Time

	failures     int // consecutive failures
	ejections    int // consecutive ejections; determines the length of the next one
	ejectedUntil time.Time
	pausedUntil  time.Time

	announcedLeaving   bool // the target announced that it is leaving
	announcedLeavingAt time.Time
	listedLeaving      bool // the platform's list of VMs marks it as leaving, see SetLeaving
	removed            bool // removed from the configuration, with calls in flight

	instance    string
	lastProbeAt time.Time
}

func newTarget(now time.Time, info inventory.Target, svc *inventory.Service, cause ColdCause) *target {
	return &target{
		info:            info,
		limiter:         slowstart.New(now, limiterConfig(svc), cause),
		timeout:         callTimeout(svc),
		inFlight:        map[uint64]time.Time{},
		lastCallAt:      now,
		recentLatencyAt: now,
	}
}

func limiterConfig(svc *inventory.Service) slowstart.Config {
	return slowstart.Config{
		Slots:    max(svc.Slots, 1),
		ColdRate: svc.ColdRate,
		// Until a baseline is known, a response within a quarter of the call
		// timeout counts as good.
		GoodLatency: callTimeout(svc) / 4,
	}
}

func callTimeout(svc *inventory.Service) time.Duration {
	return time.Duration(svc.CallTimeoutMs) * time.Millisecond
}

func (t *target) leaving() bool { return t.announcedLeaving || t.listedLeaving }

// eligible reports whether the target may get calls as far as its limits allow.
func (t *target) eligible() bool { return !t.leaving() && !t.removed }

// pendingPredecessorCalls returns how many calls of the previous holder may
// still run. It resets the count after they have timed out.
func (t *target) pendingPredecessorCalls(now time.Time) int {
	if t.predecessorCalls > 0 && !now.Before(t.predecessorDeadline) {
		t.predecessorCalls = 0
	}
	return t.predecessorCalls
}

// unusedSlots returns how many more calls the concurrency limit allows. Unlike
// freeSlots, it ignores rate limit, pause and ejection.
func (t *target) unusedSlots(now time.Time) int {
	if !t.eligible() {
		return 0
	}
	return max(0, t.limiter.Limit()-len(t.inFlight)-t.pendingPredecessorCalls(now))
}

// readyAt returns the earliest time at which ejection, pause and rate limit
// allow the next call.
func (t *target) readyAt() time.Time {
	at := t.limiter.Ready()
	if t.ejectedUntil.After(at) {
		at = t.ejectedUntil
	}
	if t.pausedUntil.After(at) {
		at = t.pausedUntil
	}
	return at
}

// freeSlots returns how many calls may start now. Under a rate limit it is at
// most one.
func (t *target) freeSlots(now time.Time) int {
	if t.readyAt().After(now) {
		return 0
	}
	n := t.unusedSlots(now)
	if t.limiter.Rate() > 0 {
		n = min(n, 1)
	}
	return n
}

// expectedLatency returns the latency that the next call is expected to have:
// the recent latency, which decays to the baseline while there are no calls, or
// the age of the oldest call in flight if that is higher.
func (t *target) expectedLatency(now time.Time) time.Duration {
	latency := t.recentLatency
	if base := t.limiter.Baseline(); latency > base {
		age := max(0, now.Sub(t.recentLatencyAt))
		decay := math.Exp2(-float64(age) / float64(recentLatencyHalfLife))
		latency = base + time.Duration(float64(latency-base)*decay)
	}
	for _, start := range t.inFlight {
		latency = max(latency, now.Sub(start))
	}
	return latency
}

func (t *target) recordLatency(now time.Time, latency time.Duration) {
	previous := t.expectedLatency(now)
	t.recentLatencyAt = now
	if previous == 0 {
		t.recentLatency = latency
		return
	}
	t.recentLatency = previous + time.Duration(recentLatencyWeight*float64(latency-previous))
}

func (t *target) restartSlowStart(now time.Time, cause ColdCause) { t.limiter.Restart(now, cause) }

// applyResult applies the result of a call that started at start. mayEject
// reports whether the pool may eject one more target.
func (t *target) applyResult(now, start time.Time, r Result, mayEject func() bool) {
	if r.Leaving && !t.announcedLeaving {
		t.announcedLeaving, t.announcedLeavingAt = true, now
	}
	t.setInstance(now, r.Instance)
	switch {
	case r.Shed:
		t.pauseAfterShed(now, r.RetryAfter)
	case r.countsAsFailure():
		t.recordLatency(now, max(r.Latency, t.timeout))
		t.limiter.Done(now, start, r.Latency, false)
		if r.ConnRefused || r.ConnReset {
			t.restartSlowStart(now, slowstart.ConnectionLost)
		}
		t.failures++
		if t.failures >= ejectAfterFailures && !t.ejectedUntil.After(now) && mayEject() {
			length := min(maxEjection, minEjection<<min(t.ejections, 5))
			t.ejections++
			t.ejectedUntil = now.Add(length)
			// One more failure after the ejection ejects the target again.
			t.failures = ejectAfterFailures - 1
		}
	case r.Kind == outcome.Answered:
		t.recordLatency(now, r.Latency)
		t.failures, t.ejections = 0, 0
		t.limiter.Done(now, start, r.Latency, true)
	}
}

func (t *target) pauseAfterShed(now time.Time, pause time.Duration) {
	t.limiter.LowerLimit()
	if pause <= 0 {
		pause = defaultShedPause
	}
	if until := now.Add(min(pause, maxShedPause)); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
}

// setInstance records the instance ID of the target. A new instance is a new
// process: it is cold, and an announcement of the previous process that it is
// leaving does not apply to it.
func (t *target) setInstance(now time.Time, id string) {
	if id == "" || id == t.instance {
		return
	}
	if t.instance != "" {
		t.announcedLeaving = false
		t.restartSlowStart(now, slowstart.InstanceChanged)
	}
	t.instance = id
}

// suspect reports whether calls failed or the target announced that it is
// leaving, in which case a probe may show a recovery earlier than calls do.
func (t *target) suspect(now time.Time) bool {
	return t.failures > 0 || t.ejectedUntil.After(now) || t.announcedLeaving
}

func (t *target) idle(now time.Time) bool {
	return len(t.inFlight) == 0 && now.Sub(t.lastCallAt) >= probeAfterIdle
}

func (t *target) applyProbe(now time.Time, p ProbeResult) {
	switch {
	case p.Refused:
		t.restartSlowStart(now, slowstart.ConnectionLost)
		return
	case !p.OK:
		return
	}
	t.setInstance(now, p.Instance)
	if p.Draining {
		if !t.announcedLeaving {
			t.announcedLeaving, t.announcedLeavingAt = true, now
		}
		return
	}
	if t.announcedLeaving && now.Sub(t.announcedLeavingAt) >= leavingAnnouncementTTL {
		// The announcement has lapsed, and no change of the instance was seen. The
		// target is treated like one that was added to the configuration.
		t.announcedLeaving = false
		t.restartSlowStart(now, slowstart.FirstSeen)
	}
	if p.Utilization >= 1 && len(t.inFlight) == 0 {
		t.limiter.LowerLimit()
	}
}
