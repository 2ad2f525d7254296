package pool

import (
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/slowstart"
)

// ColdCause is the reason why a target is assumed to be cold.
type ColdCause = slowstart.Cause

// Slot is one slot of a target. It must be returned exactly once with Release;
// further releases have no effect.
type Slot struct {
	Target inventory.Target
	At     time.Time // when the slot was taken

	target *target
	callID uint64
}

// Result is the outcome of a call that held a slot.
type Result struct {
	Kind    outcome.Kind
	Status  int
	Latency time.Duration
	// RetryAfter is the pause that a target requested when it shed load.
	RetryAfter  time.Duration
	Shed        bool // the target refused the call because of its load
	Failed      bool // status of 500 or above, malformed answer or timeout
	ConnRefused bool // the target refused the connection
	ConnReset   bool // the target reset the connection
	Leaving     bool // the target announced that it is leaving, see the package comment
	// Instance is the instance ID that the target sent, or empty.
	Instance string
}

// countsAsFailure reports whether the result is a failure of the target. A
// status of 500 or above is a failure even if the answer is complete, since a
// target that fails quickly would otherwise appear to be the fastest one.
func (r Result) countsAsFailure() bool {
	return r.Failed || r.ConnRefused || r.ConnReset ||
		(r.Kind == outcome.Answered && r.Status >= 500)
}

// ProbeResult is the answer of a target to GET /load.
type ProbeResult struct {
	OK       bool // the target answered
	Refused  bool // the target refused or reset the connection
	Draining bool // the target announced that it is leaving, see the package comment
	// Utilization is the share of its slots that the target reports as busy.
	// The report may be outdated or wrong, so it never raises a limit. If it is
	// 1 or more while no call of this pool is in flight to the target, the
	// concurrency limit of the target is lowered by one.
	Utilization float64
	Instance    string
}

// Load is the load of a pool that its holder reports to siblings.
type Load struct {
	Free     int // calls that may start now
	Slots    int // sum of the limits of the eligible targets that are not ejected
	InFlight int
}

// Handover is the state of a pool that a holder passes to its successor.
type Handover struct {
	Targets []TargetHandover
}

// TargetHandover is the state of one target in a Handover.
type TargetHandover struct {
	Name     string
	Limit    int // concurrency limit without the reduced mode and the half cap
	Warm     bool
	Rate     float64 // calls/s; 0: no rate limit
	Baseline time.Duration
	InFlight int // calls of the previous holder that have not ended
	Instance string
	Leaving  bool // the target announced that it is leaving
}

// TargetStatus describes a target for the operator API.
type TargetStatus struct {
	Name             string
	Address          string
	Limit            int
	InFlight         int
	PredecessorCalls int // calls of the previous holder that have not ended
	Cause            ColdCause
	Rate             float64 // calls/s; 0: no rate limit
	Baseline         time.Duration
	Expected         time.Duration // expected latency of the next call; Acquire prefers the lowest
	Failures         int           // consecutive failures
	Ejected          time.Duration // time left; 0: not ejected
	Paused           time.Duration // time left; 0: not paused
	Leaving          bool          // leaving, or removed from the configuration with calls in flight
	Instance         string
	LastProbe        time.Time
}
