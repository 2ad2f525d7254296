// Package fakebackend implements a stand-in for a backend server, for tests,
// experiments and the demo. It serves HTTP/1.1 with a limited number of slots and a
// configurable service time, starts cold, sheds load, drains, and injects faults on
// request. It records the requests that it received and ran, so that checks can
// compare them with the answers that callers got.
package fakebackend

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/coder/quartz"
)

// Headers of the stand-in, in addition to those of package outcome.
const (
	// HeaderRequestID identifies a request; the answer echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderHomeRegions lists the regions whose servers may receive the request,
	// separated by commas. Callers in tests set it; only checks read it.
	HeaderHomeRegions = "Standin-Home-Regions"
	// HeaderServiceTime is the time for which a run held its slot, in
	// microseconds.
	HeaderServiceTime = "Standin-Service-Time-Us"
	// HeaderRequestDigest is the SHA-256 of the request body, in hex.
	HeaderRequestDigest = "Standin-Request-Digest"
)

// Distribution names the distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal" // sigma 1, scaled to the mean
)

// ColdStart limits the load that a target accepts after a start, until it is warm. A
// cold target that gets more goes down.
type ColdStart struct {
	// A target is warm once it has served Calls calls and Time has passed since
	// its start. If Calls is 0, the target is always warm.
	Calls int
	Time  time.Duration
	// Rate is the number of calls within one second that a cold target accepts;
	// 0 means no limit. The limit grows as the target warms up. The limit of
	// concurrent calls is one until the target is half warm, and grows to the
	// number of slots when it is warm.
	Rate float64
	// Slowdown is the factor on service times after a start. It falls to 1 as the
	// target warms up.
	Slowdown float64
	// Down is how long the target is down after it got more calls than it accepts.
	Down time.Duration
	// Answer503 makes a target that is down answer with status 503 and without an
	// outcome header. If it is false, the target refuses connections.
	Answer503 bool
}

// Config describes one target. Fields that are zero get the default given in their
// comment.
type Config struct {
	Name          string
	Address       string // default 127.0.0.1:0
	Region        string
	FailureDomain string
	Slots         int           // default 2
	Waiting       int           // calls that may wait for a slot, further ones are shed; default 4
	ServiceTime   time.Duration // mean of Distribution
	Distribution  Distribution  // default Exponential
	Seed          uint64
	AnswerBytes   int // bytes of an answer body after its first line; default 256
	ColdStart     ColdStart
	ProbeTime     time.Duration // duration of GET /load and GET /healthz
	ConnectTime   time.Duration // delay before the first request of a connection is read
	RetryAfter    time.Duration // sent as Retry-After with refused calls; default 1 s
	Clock         quartz.Clock  // default: the real clock
}

// DefaultColdStart returns a cold start that lasts 40 calls and at least 1 s.
func DefaultColdStart() ColdStart {
	return ColdStart{Calls: 40, Time: time.Second, Rate: 15, Slowdown: 3, Down: time.Second}
}

func (c *Config) setDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = 2
	}
	if c.Waiting == 0 {
		c.Waiting = 4
	}
	if c.Distribution == "" {
		c.Distribution = Exponential
	}
	if c.AnswerBytes == 0 {
		c.AnswerBytes = 256
	}
	if c.RetryAfter == 0 {
		c.RetryAfter = time.Second
	}
	if c.Clock == nil {
		c.Clock = quartz.NewReal()
	}
}

// drawServiceTime draws the service time of one call.
func (c *Config) drawServiceTime(rng *rand.Rand) time.Duration {
	factor := 1.0
	switch c.Distribution {
	case Exponential:
		factor = rng.ExpFloat64()
	case Lognormal:
		factor = math.Exp(rng.NormFloat64() - 0.5)
	}
	return time.Duration(factor * float64(c.ServiceTime))
}
