package pool

import (
	"math"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

const (
	// recentWeight is the weight of one call in the recent latency. With 0.3,
	// two slow calls in a row mark a target whose latency rose fivefold.
	recentWeight = 0.3
	// recentHalfLife is the time in which a target without calls is believed
	// to be back halfway to its baseline, so that a slow target is tried again.
	recentHalfLife = time.Second
	// ejectAfter consecutive failures eject a target.
	ejectAfter = 5
	minEject   = time.Second
	maxEject   = 30 * time.Second
	// shedPause applies when a shedding target names no pause, since an empty
	// refusal returns at once and would be repeated in a tight loop.
	shedPause = 100 * time.Millisecond
	// maxPause bounds the pause that a target may ask for, so that a wrong
	// Retry-After does not take it out for good.
	maxPause = 30 * time.Second
	// leavingDoubt is how long a target that announced its leaving is believed
	// over its health endpoint, which lags.
	leavingDoubt = 30 * time.Second
	// idleAfter is the time without calls after which a target is probed.
	idleAfter = time.Second
)

// target is the state of one target.
type target struct {
	info    inventory.Target
	ramp    *slowstart.Limiter
	timeout time.Duration

	open      map[uint64]time.Time // calls in flight and their start
	foreign   int                  // calls in flight of the former holder
	foreignBy time.Time            // when those have timed out
	lastCall  time.Time            // last start or end of a call

	recent   time.Duration // smoothed over few calls, failures as timeouts
	recentAt time.Time

	failures  int // consecutive
	ejections int // consecutive, sets the length of the next
	ejected   time.Time
	paused    time.Time

	leavingSaid   bool // by the target itself
	leavingSaidAt time.Time
	leavingListed bool // by SetLeaving
	removed       bool // no longer in the configuration, calls in flight

	instance  string
	lastProbe time.Time
}

func newTarget(now time.Time, info inventory.Target, svc *inventory.Service, cause ColdCause) *target {
	return &target{
		info:     info,
		ramp:     slowstart.New(now, rampConfig(svc), cause),
		timeout:  callTimeout(svc),
		open:     map[uint64]time.Time{},
		lastCall: now,
		recentAt: now,
	}
}

func rampConfig(svc *inventory.Service) slowstart.Config {
	return slowstart.Config{
		Slots:    max(svc.Slots, 1),
		ColdRate: svc.ColdRate,
		// Without a baseline a quarter of the call timeout is in good time.
		GoodTime: callTimeout(svc) / 4,
	}
}

func callTimeout(svc *inventory.Service) time.Duration {
	return time.Duration(svc.CallTimeoutMs) * time.Millisecond
}

func (t *target) leaving() bool { return t.leavingSaid || t.leavingListed }

// inUse reports whether the target may get calls once limits allow it.
func (t *target) inUse() bool { return !t.leaving() && !t.removed }

// pending returns the calls of the former holder that may still run.
func (t *target) pending(now time.Time) int {
	if t.foreign > 0 && !now.Before(t.foreignBy) {
		t.foreign = 0
	}
	return t.foreign
}

// room returns how many more calls the concurrency limit allows.
func (t *target) room(now time.Time) int {
	if !t.inUse() {
		return 0
	}
	return max(0, t.ramp.Limit()-len(t.open)-t.pending(now))
}

// readyAt returns when ejection, pause and rate limit allow the next call.
func (t *target) readyAt() time.Time {
	at := t.ramp.Ready()
	if t.ejected.After(at) {
		at = t.ejected
	}
	if t.paused.After(at) {
		at = t.paused
	}
	return at
}

// free returns how many calls may start now.
func (t *target) free(now time.Time) int {
	if t.readyAt().After(now) {
		return 0
	}
	n := t.room(now)
	if t.ramp.Rate() > 0 {
		n = min(n, 1)
	}
	return n
}

// expected returns the latency that the next call would take: the recent one,
// fading to the baseline without calls, or the age of the oldest call in
// flight when that is more.
func (t *target) expected(now time.Time) time.Duration {
	e := t.recent
	if base := t.ramp.Baseline(); e > base {
		age := max(0, now.Sub(t.recentAt))
		fade := math.Exp2(-float64(age) / float64(recentHalfLife))
		e = base + time.Duration(float64(e-base)*fade)
	}
	for _, start := range t.open {
		e = max(e, now.Sub(start))
	}
	return e
}

func (t *target) observe(now time.Time, latency time.Duration) {
	old := t.expected(now)
	t.recentAt = now
	if old == 0 {
		t.recent = latency
		return
	}
	t.recent = old + time.Duration(recentWeight*float64(latency-old))
}

func (t *target) chill(now time.Time, cause ColdCause) { t.ramp.Restart(now, cause) }

// result applies what happened to a call that started at start.
func (t *target) result(now, start time.Time, r Result, eject func() bool) {
	if r.Leaving && !t.leavingSaid {
		t.leavingSaid, t.leavingSaidAt = true, now
	}
	t.setInstance(now, r.Instance)
	switch {
	case r.Shed:
		t.shed(now, r.RetryAfter)
	case r.failed():
		t.observe(now, max(r.Latency, t.timeout))
		t.ramp.Done(now, start, r.Latency, false)
		if r.ConnRefused || r.ConnReset {
			t.chill(now, slowstart.ConnectionLost)
		}
		t.failures++
		if t.failures >= ejectAfter && !t.ejected.After(now) && eject() {
			length := min(maxEject, minEject<<min(t.ejections, 5))
			t.ejections++
			t.ejected = now.Add(length)
			// The first failure after the ejection ejects again.
			t.failures = ejectAfter - 1
		}
	case r.Kind == outcome.Answered:
		t.observe(now, r.Latency)
		t.failures, t.ejections = 0, 0
		t.ramp.Done(now, start, r.Latency, true)
	}
}

func (t *target) shed(now time.Time, pause time.Duration) {
	t.ramp.LowerLimit()
	if pause <= 0 {
		pause = shedPause
	}
	if until := now.Add(min(pause, maxPause)); until.After(t.paused) {
		t.paused = until
	}
}

// setInstance notes the instance id. A new process is cold, and the leaving of
// the former one does not apply to it.
func (t *target) setInstance(now time.Time, id string) {
	if id == "" || id == t.instance {
		return
	}
	if t.instance != "" {
		t.leavingSaid = false
		t.chill(now, slowstart.InstanceChanged)
	}
	t.instance = id
}

// suspect reports whether a probe may tell more than the calls did.
func (t *target) suspect(now time.Time) bool {
	return t.failures > 0 || t.ejected.After(now) || t.leavingSaid
}

func (t *target) idle(now time.Time) bool {
	return len(t.open) == 0 && now.Sub(t.lastCall) >= idleAfter
}

func (t *target) probed(now time.Time, p ProbeResult) {
	switch {
	case p.Refused:
		t.chill(now, slowstart.ConnectionLost)
		return
	case !p.OK:
		return
	}
	t.setInstance(now, p.Instance)
	if p.Draining {
		if !t.leavingSaid {
			t.leavingSaid, t.leavingSaidAt = true, now
		}
		return
	}
	if t.leavingSaid && now.Sub(t.leavingSaidAt) >= leavingDoubt {
		t.leavingSaid = false
		t.chill(now, slowstart.FirstSeen)
	}
	if p.Utilization >= 1 && len(t.open) == 0 {
		t.ramp.LowerLimit()
	}
}
