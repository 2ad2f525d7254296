// Package fakebackend is a stand-in for a backend server, for tests, experiments
// and the demo. It speaks HTTP/1.1, has slots and a service time, starts cold,
// sheds load, drains, and misbehaves on request. It records what it was asked
// to do, so that checks can compare that with what callers were told.
package fakebackend

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/coder/quartz"
)

// Headers of the stand-in, besides those of package outcome.
const (
	// HeaderRequestID identifies a request; the answer echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderHomeRegions marks a request with the regions that may see it, as
	// a comma-separated list. Callers of tests set it; only checks read it.
	HeaderHomeRegions = "Standin-Home-Regions"
	// HeaderServiceTime is the time a run held its slot. Unit: microseconds.
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

// ColdStart describes how a target bears load after a start.
type ColdStart struct {
	// Calls and Time must both pass until the target is warm. Calls 0 makes a
	// target that is always warm.
	Calls int
	Time  time.Duration
	// Rate is the number of calls within one second that a cold target bears;
	// it grows with warmth. Concurrency is one up to half warmth and reaches
	// the slots when warm.
	Rate float64
	// Slowdown multiplies the service time of a cold target.
	Slowdown float64
	// Down is how long the target is down after it got more than it bears.
	Down time.Duration
	// Answer503 makes a target that is down answer 503 without an outcome.
	// Otherwise it refuses connections.
	Answer503 bool
}

// Config describes one target. Zero fields take the defaults in the comments.
type Config struct {
	Name          string
	Address       string // default 127.0.0.1:0
	Region        string
	FailureDomain string
	Slots         int // default 2
	Waiting       int // calls that wait for a slot before shedding; default 4
	ServiceTime   time.Duration
	Distribution  Distribution // default Exponential
	Seed          uint64
	AnswerBytes   int // least length of an answer body; default 256
	ColdStart     ColdStart
	ProbeTime     time.Duration // duration of GET /load and GET /healthz
	ConnectTime   time.Duration // added to the first request of a connection
	RetryAfter    time.Duration // advice when shedding; default 1 s
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

// draw returns one service time.
func (c *Config) draw(rng *rand.Rand) time.Duration {
	f := 1.0
	switch c.Distribution {
	case Exponential:
		f = rng.ExpFloat64()
	case Lognormal:
		f = math.Exp(rng.NormFloat64() - 0.5)
	}
	return time.Duration(f * float64(c.ServiceTime))
}
