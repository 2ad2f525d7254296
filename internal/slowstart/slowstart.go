// Package slowstart decides how much work one target gets after a cold start.
//
// A Limiter takes events and the time and returns limits. It starts no
// goroutine, reads no clock and is not safe for concurrent use.
package slowstart

import (
	"math"
	"time"
)

const (
	// stepResponses is the number of responses in good time per ramp step.
	stepResponses = 8
	// rateGrowth is the factor between the rates of two steps.
	rateGrowth = 1.5
	// minSteps is the length of a ramp. At the default of 10 calls/s the last
	// step allows 171 calls/s, more than 2 slots serve at 20 ms per call, so
	// that the end of the rate limit is no jump.
	minSteps = 8
	// slowFactor times the baseline marks a call as a sign of a cold target.
	slowFactor = 5
	// slowCalls consecutive calls of that latency make the target cold. One
	// such call alone is common with service times that vary. Calls that
	// overlapped count once, because one short stall slows all of them: counted
	// singly, phases of 500 ms cost a target its 2.5 s of ramp and doubled the
	// 99th percentile of a pool at 0.8 of its slots.
	slowCalls = 3
	// goodFactor times the baseline is the latest a response counts for the
	// ramp.
	goodFactor = 3
	// baselineWeight is the weight of one call in the smoothed baseline. It
	// is small so that a slow phase of a few dozen calls does not become the
	// baseline.
	baselineWeight = 0.02
	// minSamples is the number of calls after which a baseline is used.
	minSamples = 8
)

// Cause says why a target is assumed cold.
type Cause uint8

const (
	// Warm is the zero value: the target is not assumed cold.
	Warm Cause = iota
	// FirstSeen is a target that appeared in the configuration.
	FirstSeen
	// DomainReturned is a target whose failure domain was put into service.
	DomainReturned
	// ConnectionLost is a target that refused or reset a connection.
	ConnectionLost
	// InstanceChanged is a target whose process was replaced.
	InstanceChanged
	// Slowdown is a target whose latency rose suddenly.
	Slowdown
	// NewHolder is a target whose pool was taken over without handover.
	NewHolder
)

// String returns the name used in state dumps.
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

// Config bounds the work of one target.
type Config struct {
	Slots    int           // calls a warm target runs at once
	ColdRate float64       // calls/s at the start of the ramp
	GoodTime time.Duration // latest response in good time without a baseline
}

// Limiter is the ramp of one target.
type Limiter struct {
	cfg     Config
	cause   Cause
	since   time.Time // start of the current ramp
	step    int
	good    int // responses in good time since the last step
	ceiling int // limit after shedding
	started time.Time
	slow    int       // consecutive slow calls that did not overlap
	slowAt  time.Time // end of the last of them

	baseline time.Duration
	samples  int

	reduced bool
	half    bool
}

// New returns the state of a target that is assumed cold. Its first call is
// allowed after one interval of the cold rate, so that a change of holder does
// not add a call to those of the former one.
func New(now time.Time, cfg Config, cause Cause) *Limiter {
	s := &Limiter{cfg: cfg, ceiling: cfg.Slots, started: now}
	s.Restart(now, cause)
	return s
}

// Resume returns the state that a former holder described with Rate, Limit
// and Baseline. A rate of zero is a warm target.
func Resume(now time.Time, cfg Config, rate float64, limit int, baseline time.Duration) *Limiter {
	s := New(now, cfg, NewHolder)
	if rate <= 0 {
		s.cause = Warm
	} else {
		s.step = s.stepFor(rate)
	}
	s.ceiling = min(cfg.Slots, max(1, limit))
	if s.cause != Warm && s.ceiling >= s.earnedAt(s.step) {
		s.ceiling = cfg.Slots
	}
	s.baseline = baseline
	if baseline > 0 {
		s.samples = minSamples
	}
	return s
}

// stepFor returns the highest step whose rate is at most rate. The tolerance
// absorbs rounding of a rate that was computed by Rate.
func (s *Limiter) stepFor(rate float64) int {
	step := int(math.Floor(math.Log(rate/s.cfg.ColdRate)/math.Log(rateGrowth) + 1e-6))
	return min(max(0, step), s.lastStep()-1)
}

// SetConfig changes slots and rate. A target that shed no load gets all its
// new slots.
func (s *Limiter) SetConfig(cfg Config) {
	if s.ceiling >= s.cfg.Slots {
		s.ceiling = cfg.Slots
	}
	s.ceiling = min(s.ceiling, cfg.Slots)
	s.cfg = cfg
	if s.cause != Warm {
		s.step = min(s.step, s.lastStep()-1)
	}
}

// SetReduced sets the reduced mode of a holder that cannot renew its lease:
// half of the slots of warm targets, rounded down, none of cold ones, and no
// ramp steps.
func (s *Limiter) SetReduced(on bool) { s.reduced = on }

// SetHalfCap sets the cap of a holder that took over without handover: half
// of the slots, rounded up.
func (s *Limiter) SetHalfCap(on bool) { s.half = on }

// Restart begins the ramp anew. The time of the last call is kept, so that a
// restart does not allow a call earlier.
func (s *Limiter) Restart(now time.Time, cause Cause) {
	s.cause, s.since, s.step, s.good, s.slow = cause, now, 0, 0, 0
}

// Cause returns Warm or why the target is assumed cold.
func (s *Limiter) Cause() Cause { return s.cause }

// Since returns the start of the current ramp.
func (s *Limiter) Since() time.Time { return s.since }

// Baseline returns the smoothed latency, or zero before the first call.
func (s *Limiter) Baseline() time.Duration { return s.baseline }

// Limit returns how many calls may be in flight at once.
func (s *Limiter) Limit() int {
	if s.reduced {
		if s.cause != Warm {
			return 0
		}
		return min(s.ceiling, s.cfg.Slots/2)
	}
	return min(s.ceiling, s.earnedAt(s.step), s.cap())
}

// UncappedLimit returns the limit without the caps of the holder's mode.
func (s *Limiter) UncappedLimit() int { return min(s.ceiling, s.earnedAt(s.step)) }

// Rate returns the most calls per second, or zero for no limit.
func (s *Limiter) Rate() float64 {
	if s.cause == Warm {
		return 0
	}
	return s.cfg.ColdRate * math.Pow(rateGrowth, float64(s.step))
}

// Ready returns the earliest time of the next call under the rate limit, or
// the zero time when there is no limit.
func (s *Limiter) Ready() time.Time {
	r := s.Rate()
	if r <= 0 {
		return time.Time{}
	}
	return s.started.Add(time.Duration(math.Ceil(float64(time.Second) / r)))
}

// CallStarted records that a call starts.
func (s *Limiter) CallStarted(now time.Time) { s.started = now }

// LowerLimit lowers the limit by one, to no less than one. Responses in good time
// raise it again.
func (s *Limiter) LowerLimit() {
	s.ceiling = max(1, s.UncappedLimit()-1)
	s.good = 0
}

// Done records a response to a call that started at start. ok is false for a
// failure. It restarts the ramp and returns true on a sudden slowdown.
// Calls from before the current ramp change nothing.
func (s *Limiter) Done(now, start time.Time, latency time.Duration, ok bool) bool {
	if start.Before(s.since) {
		return false
	}
	known := s.samples >= minSamples
	switch {
	case !known || latency <= slowFactor*s.baseline:
		s.slow = 0
	case s.slow == 0 || !start.Before(s.slowAt):
		s.slow++
		s.slowAt = now
	}
	if !ok {
		s.good = 0
	} else {
		inTime := latency <= s.cfg.GoodTime
		if known {
			inTime = latency <= goodFactor*s.baseline
		}
		s.learn(latency)
		if inTime && !s.reduced {
			s.good++
		}
	}
	if s.slow >= slowCalls {
		s.Restart(now, Slowdown)
		return true
	}
	if s.good >= stepResponses {
		s.good = 0
		s.advance()
	}
	return false
}

// advance makes one step: first back from shedding, then along the ramp. Under
// the half cap the ramp does not earn a limit that it has not tried.
func (s *Limiter) advance() {
	if s.ceiling < s.cfg.Slots {
		s.ceiling++
		if s.cause == Warm || s.ceiling <= s.earnedAt(s.step) {
			return
		}
	}
	if s.cause == Warm || s.earnedAt(s.step+1) > s.cap() {
		return
	}
	s.step++
	if s.step >= s.lastStep() {
		s.cause = Warm
	}
}

func (s *Limiter) learn(latency time.Duration) {
	if s.samples >= minSamples {
		latency = min(latency, slowFactor*s.baseline)
	}
	s.samples++
	w := max(baselineWeight, 1/float64(s.samples))
	s.baseline += time.Duration(w * float64(latency-s.baseline))
}

func (s *Limiter) cap() int {
	if s.half {
		return (s.cfg.Slots + 1) / 2
	}
	return s.cfg.Slots
}

// earnedAt is the concurrency of a ramp step: one up to the middle of the
// ramp, then one more per step.
func (s *Limiter) earnedAt(step int) int {
	if s.cause == Warm || step >= s.lastStep() {
		return s.cfg.Slots
	}
	return min(s.cfg.Slots, max(1, 2+step-minSteps/2))
}

func (s *Limiter) lastStep() int { return max(minSteps, minSteps/2+s.cfg.Slots-1) }
