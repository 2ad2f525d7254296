// Package fakebackend implements a stand-in for a backend server, for tests,
// experiments and the demo. It serves HTTP/1.1 with a limited number of slots and a
// configurable service time, starts cold, sheds load, drains, and injects faults on
// request. It records the requests that it received and ran, so that tests can
// compare them with the answers that callers got.
//
// A GET request to /load or /healthz is a probe. A request to any path other than those,
// /record and /faults is a call. A run is the execution of a call, during which the call
// holds a slot. A shed call is answered as not run, because all slots and all places of
// waiting calls are taken or because a fault says so. While the server is down, it
// refuses connections or answers calls with status 503.
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
	// separated by commas. Callers in tests set it; only the stand-in reads it, and
	// records for test assertions if its region is not listed.
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

// ColdStart limits the load that a server accepts after a start, until it is warm. A
// cold server that gets more goes down. Its warm-up progress goes from 0 at the start to
// 1 when it is warm; it is the smaller of the share of WarmupCalls served and the share
// of MinWarmupTime passed. There are two limits: one on the calls that arrive within a
// second, see Rate, and one on concurrent calls. The latter does not depend on Rate: it
// is one up to a progress of 0.5, and then grows to the number of slots.
type ColdStart struct {
	// A server is warm once it has served WarmupCalls calls and MinWarmupTime has
	// passed since its start. If WarmupCalls is 0, the server is always warm.
	WarmupCalls   int
	MinWarmupTime time.Duration
	// Rate is the number of calls within one second that a server accepts just
	// after its start; 0 means no limit. The limit is Rate/(1-progress), so it
	// grows without bound until the server is warm.
	Rate float64
	// Slowdown is the factor on service times after a start. It falls to 1 as the
	// server warms up.
	Slowdown float64
	// DownTime is how long the server is down after it got more calls than it accepts.
	DownTime time.Duration
	// Answer503 makes a server that is down answer with status 503 and without an
	// outcome header. If it is false, the server refuses connections.
	Answer503 bool
}

// Config describes one server. Fields that are zero get the default given in their
// comment.
type Config struct {
	Name          string
	Address       string // default 127.0.0.1:0
	Region        string
	FailureDomain string
	Slots         int           // default 2
	MaxWaiting    int           // most calls that wait for a slot, further ones are shed; default 4
	ServiceTime   time.Duration // mean of Distribution
	Distribution  Distribution  // default Exponential
	Seed          uint64
	AnswerBytes   int // bytes of an answer body after its first line; default 256
	ColdStart     ColdStart
	ProbeTime     time.Duration // duration of GET /load and GET /healthz
	ConnectTime   time.Duration // delay before the first request of a connection is read
	RetryAfter    time.Duration // sent as Retry-After with calls answered as not run; default 1 s
	Clock         quartz.Clock  // default: the real clock
}

// DefaultColdStart returns a cold start that lasts 40 calls and at least 1 s.
func DefaultColdStart() ColdStart {
	return ColdStart{WarmupCalls: 40, MinWarmupTime: time.Second, Rate: 15, Slowdown: 3, DownTime: time.Second}
}

func (c *Config) setDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = 2
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = 4
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
