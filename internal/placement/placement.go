// Package placement decides where a request goes, whether it waits, and when it
// is refused. It answers one load: backend servers with few slots whose speed
// changes within tens of milliseconds, while readings of them are slightly old.
// A request is better held for a moment than sent to a slow server, and better
// refused than held until its caller has given up.
package placement

import (
	"math"
	"time"
)

const (
	// lastSlotFactor is the slowdown assumed for the last free slot of a server:
	// some servers work slower when they are nearly full.
	lastSlotFactor = 1.3
	// failureFactor scales the rank of a server by its share of recent failures,
	// and shedFactor by that of requests that it did not take, which cost less.
	failureFactor = 4
	shedFactor    = 2
	// unhealthyFactor scales the rank of a server that says it is not well: such
	// answers can be false.
	unhealthyFactor = 2
	// memory is the age at which a reading has lost most of its meaning for the
	// speed: servers change it about every 150 ms.
	memory = 150 * time.Millisecond
	// meanSlowdown is assumed for servers of which the speed is not known: a
	// third of the time five times slower than usual.
	meanSlowdown = 2.2
	// tieMargin is the relative difference below which two estimates are equal.
	tieMargin = 0.08
	// deadlineMargin is left for the way back to the caller.
	deadlineMargin = 10 * time.Millisecond
	// pessimism is how much longer than estimated the work of a late request
	// may take.
	pessimism = 1.2
)

// Distance is how far a server is away.
type Distance uint8

// Distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that may serve the request.
type Candidate struct {
	ID       string
	Distance Distance
	Slots    int
	Busy     int // requests at the server
	// Slowdown is how many times longer than usual work takes. It is fixed when
	// the server starts with a request.
	Slowdown float64
	// SpeedKnown is true if Slowdown holds until the request arrives.
	SpeedKnown bool
	Age        time.Duration // of the reading
	// Blocked is true if the server must not get the request now, for instance
	// because it is cold and has had its share of this second.
	Blocked      bool
	Unhealthy    bool
	FailureShare float64 // of recent requests
	ShedShare    float64 // of recent requests; the server did not run them
	// Connected is true if an idle connection to the server is kept.
	Connected bool
	// TieBreakRank is the position of this VM in the server's own order of the VMs near
	// it. VMs that decide at the same moment, before they know of each other's
	// requests, then choose different ones among equal servers.
	TieBreakRank int
}

// Request is what the decision has to know of a request.
type Request struct {
	// ServiceTime is the usual time that a server works on it.
	ServiceTime  time.Duration
	SoftDeadline time.Time // until then the answer is worth most
	Deadline     time.Time // afterwards it is worth nothing
}

// Penalties are the time that a farther server must win to be chosen.
type Penalties struct {
	SameRegion  time.Duration
	OtherRegion time.Duration
	// Connect is the same for a server to which a connection has to be opened.
	Connect time.Duration
}

func (c Penalties) of(s Candidate) time.Duration {
	var cost time.Duration
	switch s.Distance {
	case SameDomain:
	case SameRegion:
		cost = c.SameRegion
	case OtherRegion:
		cost = c.OtherRegion
	}
	if !s.Connected {
		cost += c.Connect
	}
	return cost
}

// Action is what to do with a request.
type Action uint8

// Actions.
const (
	Wait Action = iota
	Send
	Refuse
)

// Reason says why a request waits or is refused.
type Reason string

// Reasons.
const (
	NoServer   Reason = "no-server"   // none may serve it
	TooLate    Reason = "too-late"    // none can answer by the deadline
	AllFull    Reason = "all-full"    // all slots are in use
	OnlySlow   Reason = "only-slow"   // a faster server may come free in time
	GoodEnough Reason = "good-enough" // meets the goal
	LateButRun Reason = "late-but-run"
	Overload   Reason = "overload" // waited in vain for a slot
)

// Decision is the outcome of Decide.
type Decision struct {
	Action   Action
	Index    int // of the chosen candidate
	Estimate time.Duration
	Reason   Reason
}

// Decide chooses among candidates. draw is in [0, 1) and picks among equals.
func Decide(now time.Time, r Request, candidates []Candidate, costs Penalties, draw float64) Decision {
	best, bestTime, usable := choose(r, candidates, costs, draw)
	if !usable {
		return Decision{Action: Refuse, Reason: NoServer}
	}
	goalLeft := r.SoftDeadline.Sub(now)
	left := r.Deadline.Sub(now) - deadlineMargin
	if best >= 0 && bestTime <= goalLeft {
		return Decision{Action: Send, Index: best, Estimate: bestTime, Reason: GoodEnough}
	}
	if left <= 0 || r.ServiceTime > left {
		return Decision{Action: Refuse, Reason: TooLate}
	}
	if goalLeft >= r.ServiceTime {
		// A server that is free and as fast as usual would still meet the goal.
		return Decision{Action: Wait, Reason: waitReason(best), Estimate: bestTime}
	}
	if best < 0 {
		return Decision{Action: Wait, Reason: AllFull}
	}
	if time.Duration(float64(bestTime)*pessimism) <= left {
		return Decision{Action: Send, Index: best, Estimate: bestTime, Reason: LateButRun}
	}
	return Decision{Action: Wait, Reason: OnlySlow, Estimate: bestTime}
}

func waitReason(best int) Reason {
	if best < 0 {
		return AllFull
	}
	return OnlySlow
}

// choose returns the candidate with the shortest estimate, or -1 if all are
// full. usable is false if no candidate may serve the request at all.
func choose(r Request, candidates []Candidate, costs Penalties, draw float64) (best int, estimate time.Duration, usable bool) {
	best = -1
	shortest := math.Inf(1)
	ties := 0
	for i, c := range candidates {
		usable = true
		if c.Blocked || c.Busy >= c.Slots {
			continue // a request waits better here, where any free server can take it
		}
		e := (float64(Estimate(r.ServiceTime, c)) + float64(costs.of(c))) * doubt(c)
		switch {
		case e < shortest*(1-tieMargin):
			best, shortest, ties = i, e, 1
		case e <= shortest*(1+tieMargin) && c.TieBreakRank < candidates[best].TieBreakRank:
			best, shortest, ties = i, min(e, shortest), 1
		case e <= shortest*(1+tieMargin) && c.TieBreakRank == candidates[best].TieBreakRank:
			// Reservoir choice among equals, from one draw.
			ties++
			draw *= float64(ties)
			if int(draw) == 0 {
				best, shortest = i, min(e, shortest)
			}
			draw -= math.Floor(draw)
		}
	}
	if best < 0 {
		return -1, 0, usable
	}
	return best, Estimate(r.ServiceTime, candidates[best]), usable
}

// Estimate returns the time from sending to c, which has a free slot, until its
// answer is complete.
func Estimate(work time.Duration, c Candidate) time.Duration {
	t := float64(work) * expectedSlowdown(c)
	if c.Busy == c.Slots-1 && c.Slots > 1 {
		t *= lastSlotFactor
	}
	return time.Duration(t)
}

// doubt scales the rank of a server by what speaks against it. It says nothing
// about the time of an answer, so that requests do not wait for better servers
// while all servers fail some.
func doubt(c Candidate) float64 {
	d := 1 + failureFactor*c.FailureShare + shedFactor*c.ShedShare
	if c.Unhealthy {
		d *= unhealthyFactor
	}
	return d
}

// RetryAfter returns when a refused caller should come back. Callers wait up to a
// third of their time; the spread keeps those that were refused together from
// returning together. draw is in [0, 1).
func RetryAfter(left time.Duration, draw float64) time.Duration {
	const (
		shortest = 50 * time.Millisecond // a slot comes free in about this time
		share    = 1.0 / 3               // of the time left
	)
	longest := max(time.Duration(float64(left)*share), shortest)
	return shortest + time.Duration(draw*float64(longest-shortest))
}

// expectedSlowdown weighs the slowdown that was read with the mean.
func expectedSlowdown(c Candidate) float64 {
	read := max(c.Slowdown, 1)
	if c.SpeedKnown {
		return read
	}
	weight := math.Exp(-float64(c.Age) / float64(memory))
	return read*weight + meanSlowdown*(1-weight)
}
