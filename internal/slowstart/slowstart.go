// Package slowstart limits the calls of one target after a cold start.
//
// A Limiter does no I/O: its methods take events and the current time and
// return limits. It starts no goroutine, reads no clock and is not safe for
// concurrent use.
package slowstart

import (
	"math"
	"time"
)

const (
	// responsesPerStep is the number of good responses, see Config.GoodLatency
	// and goodLatencyFactor, that advance the ramp by one step.
	responsesPerStep = 8
	// rateGrowth is the factor between the rates of two consecutive steps.
	rateGrowth = 1.5
	// minRampSteps is the least number of steps of a ramp. At the default of 10
	// calls/s the last step allows 171 calls/s. That is more than 2 slots serve
	// at 20 ms per call, so removing the rate limit at the end of the ramp
	// causes no sudden increase of load.
	minRampSteps = 8
	// slowLatencyFactor times the baseline is the latency above which a call is
	// slow, which is a sign that the target is cold.
	slowLatencyFactor = 5
	// slowCallsToRestart is the number of consecutive slow calls that restart
	// the ramp. A single slow call is common when service times vary. Calls
	// that overlapped count once, because one short stall slows all of them
	// down: when each was counted, slow phases of 500 ms put a target back into
	// a ramp of 2.5 s and doubled the 99th-percentile latency of a pool that was
	// loaded to 0.8 of its slots.
	slowCallsToRestart = 3
	// goodLatencyFactor times the baseline is the highest latency of a response
	// that counts as good for the ramp.
	goodLatencyFactor = 3
	// baselineWeight is the weight of one call in the smoothed baseline. It is
	// small, so the latency of a slow phase of a few dozen calls does not
	// become the baseline.
	baselineWeight = 0.02
	// minBaselineSamples is the number of calls after which the baseline is
	// used.
	minBaselineSamples = 8
)

// Cause is the reason why a target is assumed to be cold.
type Cause uint8

const (
	// Warm is the zero value: the target is not assumed to be cold.
	Warm Cause = iota
	// FirstSeen means that the target was added to the configuration, or that
	// it was leaving, see package pool, and gets calls again.
	FirstSeen
	// DomainReturned means that the failure domain of the target was returned
	// to service.
	DomainReturned
	// ConnectionLost means that the target refused or reset a connection.
	ConnectionLost
	// InstanceChanged means that the process of the target was replaced.
	InstanceChanged
	// Slowdown means that the latency of the target rose suddenly.
	Slowdown
	// NewHolder means that the pool of the target was taken over without a
	// handover.
	NewHolder
)

// String returns the name that the operator API reports.
func (c Cause) String() string {
	switch c {
	case Warm:
		return "warm"
	case FirstSeen:
		return "first-seen"
	case DomainReturned:
		return "domain-returned"
	case ConnectionLost:
		return "connection-lost"
	case InstanceChanged:
		return "instance-changed"
	case Slowdown:
		return "slowdown"
	case NewHolder:
		return "new-holder"
	default:
		return "unknown"
	}
}

// Config holds the limits of one target.
type Config struct {
	Slots       int           // concurrent calls that a warm target runs
	ColdRate    float64       // calls/s at the start of the ramp
	GoodLatency time.Duration // highest latency of a good response while there is no baseline
}

// Limiter limits the rate and the concurrency of calls to one target. While the
// target is cold, both rise step by step; the sequence of steps is called the
// ramp.
type Limiter struct {
	cfg             Config
	cause           Cause
	rampStart       time.Time // start of the current ramp
	rampStep        int
	goodResponses   int // good responses since the last step
	shedLimit       int // upper bound of the limit; LowerLimit lowers it, good responses raise it
	lastCallStart   time.Time
	slowCalls       int       // consecutive slow calls that did not overlap
	lastSlowCallEnd time.Time // end of the last of these slow calls

	baseline time.Duration
	samples  int

	reduced    bool
	halfCapped bool
}

// New returns a Limiter for a target that is assumed to be cold. The first call
// is allowed after one interval of the cold rate, so a new
// holder does not exceed the cold rate if the previous one has just sent a call.
func New(now time.Time, cfg Config, cause Cause) *Limiter {
	s := &Limiter{cfg: cfg, shedLimit: cfg.Slots, lastCallStart: now}
	s.Restart(now, cause)
	return s
}

// Resume returns a Limiter with the values of Rate, UncappedLimit and Baseline
// that the previous holder passed on. With a rate of zero the target is warm.
func Resume(now time.Time, cfg Config, rate float64, limit int, baseline time.Duration) *Limiter {
	s := New(now, cfg, NewHolder)
	if rate <= 0 {
		s.cause = Warm
	} else {
		s.rampStep = s.stepFor(rate)
	}
	s.shedLimit = min(cfg.Slots, max(1, limit))
	// A limit that is not below that of the step was not lowered by shedding.
	if s.cause != Warm && s.shedLimit >= s.limitAtStep(s.rampStep) {
		s.shedLimit = cfg.Slots
	}
	s.baseline = baseline
	if baseline > 0 {
		s.samples = minBaselineSamples
	}
	return s
}

// stepFor returns the highest step whose rate does not exceed rate. The
// tolerance of 1e-6 absorbs the rounding error of a rate that Rate computed.
func (s *Limiter) stepFor(rate float64) int {
	step := int(math.Floor(math.Log(rate/s.cfg.ColdRate)/math.Log(rateGrowth) + 1e-6))
	return min(max(0, step), s.rampLength()-1)
}

// SetConfig changes slots and rate. A target that has not shed load gets all of
// its new slots at once, if it is warm.
func (s *Limiter) SetConfig(cfg Config) {
	if s.shedLimit >= s.cfg.Slots {
		s.shedLimit = cfg.Slots
	}
	s.shedLimit = min(s.shedLimit, cfg.Slots)
	s.cfg = cfg
	if s.cause != Warm {
		s.rampStep = min(s.rampStep, s.rampLength()-1)
	}
}

// SetReduced turns the reduced mode on or off, which applies when a holder
// cannot renew its lease: warm targets get half of their slots, rounded down,
// cold targets get none, and the ramp does not advance.
func (s *Limiter) SetReduced(on bool) { s.reduced = on }

// SetHalfCap turns the half cap on or off, which applies to a holder that took
// the pool over without a handover: half of the slots, rounded up.
func (s *Limiter) SetHalfCap(on bool) { s.halfCapped = on }

// Restart starts the ramp again. The start time of the last call is kept, so a
// restart does not allow the next call earlier.
func (s *Limiter) Restart(now time.Time, cause Cause) {
	s.cause, s.rampStart, s.rampStep, s.goodResponses, s.slowCalls = cause, now, 0, 0, 0
}

// Cause returns why the target is assumed to be cold, or Warm.
func (s *Limiter) Cause() Cause { return s.cause }

// RampStart returns when the current ramp started.
func (s *Limiter) RampStart() time.Time { return s.rampStart }

// Baseline returns the smoothed latency, or zero before the first call.
func (s *Limiter) Baseline() time.Duration { return s.baseline }

// Limit returns how many calls may be in flight at the same time.
func (s *Limiter) Limit() int {
	if s.reduced {
		if s.cause != Warm {
			return 0
		}
		return min(s.shedLimit, s.cfg.Slots/2)
	}
	return min(s.shedLimit, s.limitAtStep(s.rampStep), s.concurrencyCap())
}

// UncappedLimit returns the limit without the reduced mode and the half cap,
// which depend on the holder.
func (s *Limiter) UncappedLimit() int { return min(s.shedLimit, s.limitAtStep(s.rampStep)) }

// Rate returns the highest allowed rate in calls per second, or zero if the
// rate is not limited.
func (s *Limiter) Rate() float64 {
	if s.cause == Warm {
		return 0
	}
	return s.cfg.ColdRate * math.Pow(rateGrowth, float64(s.rampStep))
}

// Ready returns the earliest time at which the rate limit allows the next call,
// or the zero time if the rate is not limited.
func (s *Limiter) Ready() time.Time {
	r := s.Rate()
	if r <= 0 {
		return time.Time{}
	}
	return s.lastCallStart.Add(time.Duration(math.Ceil(float64(time.Second) / r)))
}

// CallStarted records that a call starts.
func (s *Limiter) CallStarted(now time.Time) { s.lastCallStart = now }

// LowerLimit lowers the concurrency limit by one, but not below one. Good
// responses raise it again.
func (s *Limiter) LowerLimit() {
	s.shedLimit = max(1, s.UncappedLimit()-1)
	s.goodResponses = 0
}

// Done records the end of a call that started at start. ok is false for a
// failure. Done returns true if the call showed a sudden slowdown and restarted
// the ramp. Calls that started before the current ramp have no effect.
func (s *Limiter) Done(now, start time.Time, latency time.Duration, ok bool) bool {
	if start.Before(s.rampStart) {
		return false
	}
	hasBaseline := s.samples >= minBaselineSamples
	switch {
	case !hasBaseline || latency <= slowLatencyFactor*s.baseline:
		s.slowCalls = 0
	case s.slowCalls == 0 || !start.Before(s.lastSlowCallEnd):
		s.slowCalls++
		s.lastSlowCallEnd = now
	}
	if !ok {
		s.goodResponses = 0
	} else {
		good := latency <= s.cfg.GoodLatency
		if hasBaseline {
			good = latency <= goodLatencyFactor*s.baseline
		}
		s.updateBaseline(latency)
		if good && !s.reduced {
			s.goodResponses++
		}
	}
	if s.slowCalls >= slowCallsToRestart {
		s.Restart(now, Slowdown)
		return true
	}
	if s.goodResponses >= responsesPerStep {
		s.goodResponses = 0
		s.advance()
	}
	return false
}

// advance makes one step: it first restores the limit that shedding lowered,
// then advances the ramp. Under the half cap the ramp does not advance to a
// limit above the cap, since the target has not run at that limit.
func (s *Limiter) advance() {
	if s.shedLimit < s.cfg.Slots {
		s.shedLimit++
		if s.cause == Warm || s.shedLimit <= s.limitAtStep(s.rampStep) {
			return
		}
	}
	if s.cause == Warm || s.limitAtStep(s.rampStep+1) > s.concurrencyCap() {
		return
	}
	s.rampStep++
	if s.rampStep >= s.rampLength() {
		s.cause = Warm
	}
}

func (s *Limiter) updateBaseline(latency time.Duration) {
	if s.samples >= minBaselineSamples {
		latency = min(latency, slowLatencyFactor*s.baseline)
	}
	s.samples++
	w := max(baselineWeight, 1/float64(s.samples))
	s.baseline += time.Duration(w * float64(latency-s.baseline))
}

func (s *Limiter) concurrencyCap() int {
	if s.halfCapped {
		return (s.cfg.Slots + 1) / 2
	}
	return s.cfg.Slots
}

// limitAtStep returns the concurrency limit of a ramp step, counted from 0: one
// call in the first minRampSteps/2 steps, then one more with each step, up to
// all slots; all slots after the ramp.
func (s *Limiter) limitAtStep(step int) int {
	if s.cause == Warm || step >= s.rampLength() {
		return s.cfg.Slots
	}
	return min(s.cfg.Slots, max(1, 2+step-minRampSteps/2))
}

func (s *Limiter) rampLength() int { return max(minRampSteps, minRampSteps/2+s.cfg.Slots-1) }
