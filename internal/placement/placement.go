// Package placement decides for each request whether it is sent to a backend
// server, queued or refused. It is designed for backend servers with few slots
// whose speed changes within tens of milliseconds, while the readings of that
// speed are slightly out of date. Under these conditions, queueing a request for a
// moment is better than sending it to a slow server, and refusing it early is
// better than queueing it until the caller has given up.
package placement

import (
	"math"
	"time"
)

const (
	// lastSlotFactor multiplies the estimated time of a request that would take
	// the last free slot of a server with several slots, because some servers
	// run slower when they are nearly full.
	lastSlotFactor = 1.3
	// failureFactor and shedFactor weight, in the score of a server, the share
	// of its recent requests that failed and the share that it rejected without
	// running them. A rejected request costs less, so its weight is lower.
	failureFactor = 4
	shedFactor    = 2
	// unhealthyFactor multiplies the score of a server whose health check
	// reports it unhealthy. The server is not excluded because such reports can
	// be wrong.
	unhealthyFactor = 2
	// readingDecayTime is the time constant with which the weight of a reading
	// decays exponentially with its age if Candidate.SpeedPeriod is not known. Servers
	// that change speed do so every 150 ms or more rarely.
	readingDecayTime = 150 * time.Millisecond
	// meanSlowdown is the slowdown assumed for a server whose speed is not
	// known. Servers are five times slower than usual for about a third of the time.
	meanSlowdown = 2.2
	// tieMargin is the relative difference up to which two scores count as equal.
	tieMargin = 0.08
	// deadlineMargin is the part of the time until the deadline that is reserved
	// for returning the answer to the caller.
	deadlineMargin = 10 * time.Millisecond
	// lateEstimateFactor multiplies the estimate for a request that misses its
	// soft deadline. The request is sent only if the result still fits before
	// the deadline, since the work may take longer than estimated.
	lateEstimateFactor = 1.2
)

// Distance is the network distance from this VM to a server.
type Distance uint8

// Distances, from the nearest to the farthest.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that may serve the request, with its state as known to
// this VM.
type Candidate struct {
	ID       string
	Distance Distance
	Slots    int
	Busy     int // requests that the server runs or queues
	// Slowdown is the factor by which requests take longer than usual. A request
	// keeps the slowdown that the server has when it starts running the request.
	Slowdown float64
	// SpeedKnown is true if Slowdown is expected to stay valid until the request
	// arrives at the server.
	SpeedKnown bool
	Age        time.Duration // age of the reading that Slowdown comes from
	// SpeedPeriod is the time between two changes of speed of similar servers; 0 if it is
	// not known. At that age, a reading says little about the present speed.
	SpeedPeriod time.Duration
	// Blocked is true if the request must not be sent to the server now, for
	// instance because the server is cold (see fleet.Server) and this VM has used up its
	// share of the requests that the server may get within a second.
	Blocked      bool
	Unhealthy    bool
	FailureShare float64 // share of recent requests that failed, 0 to 1
	ShedShare    float64 // share of recent requests that the server rejected without running them, 0 to 1
	// Connected is true if this VM holds an idle connection to the server.
	Connected bool
	// Leaving is true if the request leaves its region as planned (see package spillover), so
	// that Penalties.Leaving applies instead of OtherRegion.
	Leaving bool
	// TieBreakRank is the position of this VM in an order of the VMs of the server's
	// failure domain or, if this VM is in another one, of this VM's region. The order
	// differs from server to server. Among servers with equal scores, this VM chooses
	// the one for which its own rank is lowest. VMs that decide at the same moment, before
	// they know of each other's requests, therefore choose different servers.
	TieBreakRank int
}

// Request holds the properties of a request that Decide needs.
type Request struct {
	// ServiceTime is the time that a server of usual speed needs for the request.
	ServiceTime  time.Duration
	SoftDeadline time.Time // time by which the latency goal is met
	Deadline     time.Time // time after which the caller no longer uses the answer
	BodyBytes    int64     // length of the request body; 0 if there is none or the length is not known
}

// Penalties are added to the estimate of a server when servers are compared. A
// more distant server is chosen only if it saves at least this much time.
type Penalties struct {
	SameRegion  time.Duration
	OtherRegion time.Duration
	Leaving     time.Duration // for a request that leaves its region as planned
	// SameRegionPerKB and OtherRegionPerKB are added for each 1024 bytes of the request
	// body. They keep uploads off links between failure domains and between regions,
	// which all traffic shares, unless the nearer servers are slow or full.
	SameRegionPerKB  time.Duration
	OtherRegionPerKB time.Duration
	// Connect applies to a server to which a new connection has to be opened.
	Connect time.Duration
}

func (p Penalties) forCandidate(r Request, c Candidate) time.Duration {
	var penalty time.Duration
	kilobytes := time.Duration(r.BodyBytes >> 10)
	switch c.Distance {
	case SameDomain:
	case SameRegion:
		penalty = p.SameRegion + kilobytes*p.SameRegionPerKB
	case OtherRegion:
		penalty = p.OtherRegion
		if c.Leaving {
			penalty = p.Leaving
		}
		penalty += kilobytes * p.OtherRegionPerKB
	}
	if !c.Connected {
		penalty += p.Connect
	}
	return penalty
}

// Action is what happens to a request next.
type Action uint8

// Actions.
const (
	Wait Action = iota
	Send
	Refuse
)

// Reason says why a decision was made. Its values appear in logs.
type Reason string

// Reasons for decisions.
const (
	ReasonNoServer   Reason = "no-server"    // Refuse: there are no candidates
	ReasonTooLate    Reason = "too-late"     // Refuse: no server can answer before the deadline
	ReasonAllFull    Reason = "all-full"     // Wait: all servers are full or blocked; Refuse: the queue is full
	ReasonOnlySlow   Reason = "only-slow"    // Wait: only slow servers are free; a faster one may become free before the soft deadline or, once that can no longer be met, before the deadline
	ReasonGoodEnough Reason = "good-enough"  // Send: the soft deadline will be met
	ReasonLateButRun Reason = "late-but-run" // Send: the soft deadline is missed, the deadline is met
	ReasonOverload   Reason = "overload"     // Refuse: the service is overloaded and the request has waited too long or would be late
)

// Decision is the outcome of Decide.
type Decision struct {
	Action   Action
	Index    int           // index of the chosen candidate; valid only if Action is Send
	Estimate time.Duration // estimated time until the best candidate answers; 0 if none has a free slot or the request is refused
	Reason   Reason
}

// Decide returns the decision for a request at the time now. draw is a random
// number in [0, 1) that selects among candidates with equal scores and ranks.
func Decide(now time.Time, r Request, candidates []Candidate, penalties Penalties, draw float64) Decision {
	best, bestEstimate, hasCandidates := choose(r, candidates, penalties, draw)
	if !hasCandidates {
		return Decision{Action: Refuse, Reason: ReasonNoServer}
	}
	timeToGoal := r.SoftDeadline.Sub(now)
	timeToDeadline := r.Deadline.Sub(now) - deadlineMargin
	if best >= 0 && bestEstimate <= timeToGoal {
		return Decision{Action: Send, Index: best, Estimate: bestEstimate, Reason: ReasonGoodEnough}
	}
	if timeToDeadline <= 0 || r.ServiceTime > timeToDeadline {
		return Decision{Action: Refuse, Reason: ReasonTooLate}
	}
	if timeToGoal >= r.ServiceTime {
		// A server of usual speed that becomes free now would still meet the soft
		// deadline.
		return Decision{Action: Wait, Reason: waitReason(best), Estimate: bestEstimate}
	}
	if best < 0 {
		return Decision{Action: Wait, Reason: ReasonAllFull}
	}
	if time.Duration(float64(bestEstimate)*lateEstimateFactor) <= timeToDeadline {
		return Decision{Action: Send, Index: best, Estimate: bestEstimate, Reason: ReasonLateButRun}
	}
	return Decision{Action: Wait, Reason: ReasonOnlySlow, Estimate: bestEstimate}
}

func waitReason(best int) Reason {
	if best < 0 {
		return ReasonAllFull
	}
	return ReasonOnlySlow
}

// choose returns the index of the candidate with the lowest score and the
// estimate for it. The index is -1 if all candidates are full or blocked.
func choose(r Request, candidates []Candidate, penalties Penalties, draw float64) (best int, estimate time.Duration, hasCandidates bool) {
	best = -1
	bestScore := math.Inf(1)
	ties := 0
	for i, c := range candidates {
		hasCandidates = true
		if c.Blocked || c.Busy >= c.Slots {
			// A request sent to a full server would wait for a slot of that server.
			// In this VM's queue it can go to any server that gets a free slot.
			continue
		}
		score := (float64(Estimate(r.ServiceTime, c)) + float64(penalties.forCandidate(r, c))) * scoreFactor(c)
		switch {
		case score < bestScore*(1-tieMargin):
			best, bestScore, ties = i, score, 1
		case score <= bestScore*(1+tieMargin) && c.TieBreakRank < candidates[best].TieBreakRank:
			best, bestScore, ties = i, min(score, bestScore), 1
		case score <= bestScore*(1+tieMargin) && c.TieBreakRank == candidates[best].TieBreakRank:
			// Reservoir sampling among equal candidates: the fractional part of
			// draw is reused, so that one random number is enough.
			ties++
			draw *= float64(ties)
			if int(draw) == 0 {
				best, bestScore = i, min(score, bestScore)
			}
			draw -= math.Floor(draw)
		}
	}
	if best < 0 {
		return -1, 0, hasCandidates
	}
	return best, Estimate(r.ServiceTime, candidates[best]), hasCandidates
}

// Estimate returns the expected time from sending a request to c until the
// answer is complete. c must have a free slot.
func Estimate(serviceTime time.Duration, c Candidate) time.Duration {
	estimate := float64(serviceTime) * expectedSlowdown(c)
	if c.Busy == c.Slots-1 && c.Slots > 1 {
		estimate *= lastSlotFactor
	}
	return time.Duration(estimate)
}

// scoreFactor returns the factor by which failures, rejections and bad health
// increase the score of c. It affects only the comparison of servers and not
// the time estimate. Otherwise requests would wait for a better server while
// all servers fail some requests.
func scoreFactor(c Candidate) float64 {
	factor := 1 + failureFactor*c.FailureShare + shedFactor*c.ShedShare
	if c.Unhealthy {
		factor *= unhealthyFactor
	}
	return factor
}

// RetryAfter returns the delay after which a refused caller should retry. It is
// at least 50 ms and grows with draw, a random number in [0, 1), up to a third
// of timeLeft, the time until the caller's deadline, so that callers that were
// refused together do not retry together.
func RetryAfter(timeLeft time.Duration, draw float64) time.Duration {
	const (
		minDelay = 50 * time.Millisecond // typical time until a slot becomes free
		maxShare = 1.0 / 3               // longest delay as a share of timeLeft
	)
	maxDelay := max(time.Duration(float64(timeLeft)*maxShare), minDelay)
	return minDelay + time.Duration(draw*float64(maxDelay-minDelay))
}

// expectedSlowdown returns the measured slowdown of c if it is known to be
// valid, else an average of it and meanSlowdown that moves towards meanSlowdown
// as the reading ages.
func expectedSlowdown(c Candidate) float64 {
	measured := max(c.Slowdown, 1)
	if c.SpeedKnown {
		return measured
	}
	decayTime := readingDecayTime
	if c.SpeedPeriod > 0 {
		decayTime = c.SpeedPeriod
	}
	weight := math.Exp(-float64(c.Age) / float64(decayTime))
	return measured*weight + meanSlowdown*(1-weight)
}
