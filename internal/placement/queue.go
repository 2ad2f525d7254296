package placement

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fairshare"
)

const (
	// maxQueued is the number of requests that may wait at one VM. Beyond it, the
	// requests that come last in the queue order are refused. At the present rate
	// of 7 requests/s per VM, a full queue is several seconds of work, which is
	// longer than any caller waits.
	maxQueued = 128
	// overloadWaitShare is the share of the time between arrival and soft
	// deadline after which a request that still finds all slots in use indicates
	// an overload of its service. Requests that arrive later could hardly meet
	// their soft deadlines.
	overloadWaitShare = 1.0 / 3
	// overloadDuration is how long a service counts as overloaded after the
	// latest request that indicated an overload.
	overloadDuration = 200 * time.Millisecond
)

// QueuedRequest is a request that waits for a server.
type QueuedRequest struct {
	Request
	Service    string
	Priority   int // 0 is the highest
	EnqueuedAt time.Time
	// Team is the team to which the request belongs, and TeamWeight its weight when room is
	// divided among teams; 0 stands for the mean of the others.
	Team       string
	TeamWeight float64
}

// Outcome is the final decision for a request that left the queue.
type Outcome struct {
	Request        *QueuedRequest
	Decision       Decision
	Chosen         Candidate // the chosen candidate; valid only if the action is Send
	CandidateCount int       // number of candidates that were considered; 0 if the queue was full
}

// Queue orders waiting requests. Requests of a higher priority go first. Within a
// priority, requests that can still meet their soft deadline go before those
// that cannot. While a service is overloaded, for example by a burst or by the
// loss of servers, first-in-first-out order would make every request late.
// Therefore the newest request of an overloaded service goes first, and requests
// that have waited too long are refused early. Where requests of several teams wait for a
// service, those of one priority are ordered by fair shares, and this order applies to the
// requests of each team. A Queue is not safe for concurrent use.
type Queue struct {
	Penalties Penalties
	// Candidates returns the servers that may serve a request.
	Candidates func(now time.Time, req *QueuedRequest) []Candidate
	// OnSend is called for each request that is sent to a server, before the
	// decision for the next request.
	OnSend func(req *QueuedRequest, server string, now time.Time)
	// Shares records what the teams got; nil if there are no teams.
	Shares *fairshare.Ledger
	// Rand returns random numbers in [0, 1).
	Rand func() float64

	requests        []*QueuedRequest
	overloadedUntil map[string]time.Time        // end of the overload by service
	fullAt          map[string]time.Time        // latest time without a free slot by service; only if Shares is set
	shares          map[string]fairshare.Shares // by service; valid during one DecideAll
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int { return len(q.requests) }

// Add adds a request. The next DecideAll decides on it.
func (q *Queue) Add(req *QueuedRequest) { q.requests = append(q.requests, req) }

// Remove removes a request whose caller no longer waits. A request that is not
// in the queue is ignored.
func (q *Queue) Remove(req *QueuedRequest) {
	q.requests = slices.DeleteFunc(q.requests, func(other *QueuedRequest) bool { return other == req })
}

// DecideAll decides on all requests in queue order. It removes the requests that
// are sent or refused and returns their outcomes.
func (q *Queue) DecideAll(now time.Time) []Outcome {
	if len(q.requests) == 0 {
		return nil
	}
	slices.SortStableFunc(q.requests, func(a, b *QueuedRequest) int { return q.compare(now, a, b) })
	q.orderByShares(now)
	var outcomes []Outcome
	yields := map[string]int{} // highest priority of the requests that leave free slots to other VMs, by service
	q.requests = slices.DeleteFunc(q.requests, func(req *QueuedRequest) bool {
		candidates := q.Candidates(now, req)
		if yielding, ok := yields[req.Service]; (ok && yielding < req.Priority) || q.yields(now, req, candidates) {
			if !ok {
				yields[req.Service] = req.Priority
			}
			return false
		}
		d := Decide(now, req.Request, candidates, q.Penalties, q.Rand())
		if q.refuseForOverload(now, req, d) {
			d = Decision{Action: Refuse, Reason: ReasonOverload}
		}
		if d.Action == Wait {
			return false
		}
		outcome := Outcome{Request: req, Decision: d, CandidateCount: len(candidates)}
		if d.Action == Send {
			outcome.Chosen = candidates[d.Index]
			q.OnSend(req, outcome.Chosen.ID, now)
			if q.Shares != nil && req.Team != "" {
				q.Shares.Started(now, req.Service, req.Team, req.ServiceTime)
			}
		}
		outcomes = append(outcomes, outcome)
		return true
	})
	for len(q.requests) > maxQueued {
		last := len(q.requests) - 1
		outcomes = append(outcomes, Outcome{Request: q.requests[last], Decision: Decision{Action: Refuse, Reason: ReasonAllFull}})
		q.requests = q.requests[:last]
	}
	return outcomes
}

// compare orders requests for DecideAll, as described at Queue.
func (q *Queue) compare(now time.Time, a, b *QueuedRequest) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(missesGoal(now, a), missesGoal(now, b)); c != 0 {
		return c
	}
	if a.Service == b.Service && now.Before(q.overloadedUntil[a.Service]) {
		return b.EnqueuedAt.Compare(a.EnqueuedAt)
	}
	return a.SoftDeadline.Compare(b.SoftDeadline)
}

// missesGoal returns 1 if req can no longer meet its soft deadline, else 0.
func missesGoal(now time.Time, req *QueuedRequest) int {
	if req.SoftDeadline.Sub(now) < req.ServiceTime {
		return 1
	}
	return 0
}

// Overloaded reports whether a service is overloaded.
func (q *Queue) Overloaded(now time.Time, service string) bool {
	return now.Before(q.overloadedUntil[service])
}

// MarkOverloaded records that a service is overloaded until the given time, for instance at other
// VMs.
func (q *Queue) MarkOverloaded(service string, until time.Time) {
	if q.overloadedUntil == nil {
		q.overloadedUntil = map[string]time.Time{}
	}
	if until.After(q.overloadedUntil[service]) {
		q.overloadedUntil[service] = until
	}
}

// refuseForOverload reports whether a request must be refused instead of being
// queued further or sent late. It also marks the service as overloaded if the
// request has waited too long. During an overload a late request is refused
// because at a slow server it would occupy a slot for several times the usual
// service time, which makes several other requests miss their soft deadlines.
func (q *Queue) refuseForOverload(now time.Time, req *QueuedRequest, d Decision) bool {
	overloaded := q.Overloaded(now, req.Service)
	if d.Action == Send {
		return overloaded && d.Reason == ReasonLateButRun
	}
	if d.Action != Wait {
		return false
	}
	if req.SoftDeadline.Sub(req.EnqueuedAt) < req.ServiceTime {
		// It was late when it came, for instance as a repeated attempt, so its wait says nothing
		// about the load.
		return overloaded
	}
	maxWait := time.Duration(float64(req.SoftDeadline.Sub(req.EnqueuedAt)) * overloadWaitShare)
	if now.Sub(req.EnqueuedAt) < maxWait || (d.Reason != ReasonAllFull && !overloaded) {
		return false
	}
	q.MarkOverloaded(req.Service, now.Add(overloadDuration))
	return true
}
