package pool

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// ColdCause says why a target is assumed cold.
type ColdCause = slowstart.Cause

// Slot is one slot of a target. It is given back exactly once with Release;
// further releases change nothing.
type Slot struct {
	Target inventory.Target
	At     time.Time // when the slot was taken

	state *target
	call  uint64
}

// Result is what happened to a call that had a slot.
type Result struct {
	Kind    outcome.Kind
	Status  int
	Latency time.Duration
	// RetryAfter is the pause that a shedding target asked for.
	RetryAfter  time.Duration
	Shed        bool // the target refused the call because of load
	Failed      bool // error response, broken answer or timeout
	ConnRefused bool // the target refused the connection
	ConnReset   bool // the target reset the connection
	Leaving     bool // the target announced that it is leaving
	// Instance is the instance id of the target, if it sent one.
	Instance string
}

// failed reports whether the result counts as a failure of the target. A 5xx
// status is a failure even when the answer is whole, since a target that fails
// fast would otherwise look like the fastest one.
func (r Result) failed() bool {
	return r.Failed || r.ConnRefused || r.ConnReset ||
		(r.Kind == outcome.Answered && r.Status >= 500)
}

// ProbeResult is the answer of a target to GET /load.
type ProbeResult struct {
	OK       bool // the target answered
	Refused  bool // the target refused or reset the connection
	Draining bool
	// Utilization is the share of its slots that the target reports as busy. It is
	// stale and may be wrong: a report of 1 or more while this pool has no call
	// in flight lowers the limit, and no report raises it.
	Utilization float64
	Instance    string
}

// Load is what a holder tells siblings about its pool.
type Load struct {
	Free     int // calls that may start now
	Slots    int // sum of the limits of the targets in use
	InFlight int
}

// Handover is the state that a holder gives to its successor.
type Handover struct {
	Targets []TargetHandover
}

// TargetHandover is the state of one target in a Handover.
type TargetHandover struct {
	Name     string
	Limit    int
	Warm     bool
	Rate     float64 // calls/s, 0: not limited
	Baseline time.Duration
	InFlight int // calls of the former holder that have not ended
	Instance string
	Leaving  bool // the target announced its leaving
}

// TargetStatus describes a target in the state dump.
type TargetStatus struct {
	Name             string
	Address          string
	Limit            int
	InFlight         int
	PredecessorCalls int // calls of the former holder that have not ended
	Cause            ColdCause
	Rate             float64 // calls/s, 0: not limited
	Baseline         time.Duration
	Expected         time.Duration // latency that the choice of a target assumes
	Failures         int           // consecutive
	Ejected          time.Duration // time left, 0: not ejected
	Paused           time.Duration // time left, 0: not paused
	Leaving          bool
	Instance         string
	LastProbe        time.Time
}
