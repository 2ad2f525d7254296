package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQueued bounds the requests that wait at one VM. Further ones of the
	// lowest rank are refused. At today's 7 requests/s of a VM this is several
	// seconds of work, more than any caller waits.
	maxQueued = 128
	// overloadShare is the share of the time to its goal after which a request
	// that found all slots in use shows an overload. Later ones could hardly
	// meet their goals.
	overloadShare = 1.0 / 3
	// overloadHold is how long an overload is assumed after the latest sign.
	overloadHold = 200 * time.Millisecond
)

// QueuedRequest is a waiting request.
type QueuedRequest struct {
	Request
	Service  string
	Priority int // 0 is the highest
	Since    time.Time
}

// Outcome is the decision for an item that waits no longer.
type Outcome struct {
	Item           *QueuedRequest
	Decision       Decision
	Chosen         Candidate // meaningful if the decision is to send
	CandidateCount int       // number of candidates
}

// Queue orders waiting requests. Higher ranks go first. Within a rank, requests
// that can still meet their goal go before those that cannot. It answers bursts
// and lost servers: while more requests come than servers can take, the oldest
// first would make every request late, so the newest goes first, and requests
// that waited in vain are refused early. It is not safe for concurrent use.
type Queue struct {
	Penalties Penalties
	// Candidates returns the servers for an item.
	Candidates func(now time.Time, it *QueuedRequest) []Candidate
	// Sent is called for each item that goes to a server, before the next
	// decision.
	Sent func(it *QueuedRequest, server string, now time.Time)
	// Rand returns numbers in [0, 1).
	Rand func() float64

	items      []*QueuedRequest
	overloaded map[string]time.Time // end of the overload, by service
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Add adds an item, which DecideAll decides on.
func (q *Queue) Add(it *QueuedRequest) { q.items = append(q.items, it) }

// Remove removes an item whose caller no longer waits.
func (q *Queue) Remove(it *QueuedRequest) {
	q.items = slices.DeleteFunc(q.items, func(o *QueuedRequest) bool { return o == it })
}

// DecideAll decides for all items in order and removes those that wait no longer.
func (q *Queue) DecideAll(now time.Time) []Outcome {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b *QueuedRequest) int { return q.compare(now, a, b) })
	var out []Outcome
	q.items = slices.DeleteFunc(q.items, func(it *QueuedRequest) bool {
		candidates := q.Candidates(now, it)
		d := Decide(now, it.Request, candidates, q.Penalties, q.Rand())
		if q.shed(now, it, d) {
			d = Decision{Action: Refuse, Reason: Overload}
		}
		if d.Action == Wait {
			return false
		}
		o := Outcome{Item: it, Decision: d, CandidateCount: len(candidates)}
		if d.Action == Send {
			o.Chosen = candidates[d.Index]
			q.Sent(it, o.Chosen.ID, now)
		}
		out = append(out, o)
		return true
	})
	for len(q.items) > maxQueued {
		last := len(q.items) - 1
		out = append(out, Outcome{Item: q.items[last], Decision: Decision{Action: Refuse, Reason: AllFull}})
		q.items = q.items[:last]
	}
	return out
}

func (q *Queue) compare(now time.Time, a, b *QueuedRequest) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if a.Service == b.Service && now.Before(q.overloaded[a.Service]) {
		return b.Since.Compare(a.Since)
	}
	if c := cmp.Compare(late(now, a), late(now, b)); c != 0 {
		return c
	}
	return a.SoftDeadline.Compare(b.SoftDeadline)
}

// late is 1 for an item that cannot meet its goal any more, else 0.
func late(now time.Time, it *QueuedRequest) int {
	if it.SoftDeadline.Sub(now) < it.ServiceTime {
		return 1
	}
	return 0
}

// shed reports whether an item is refused instead of waiting or running late,
// and notes the overload that a vain wait shows. A request that starts at a slow
// server keeps its slot for several times the usual work, which in an overload
// costs several others their goal.
func (q *Queue) shed(now time.Time, it *QueuedRequest, d Decision) bool {
	overloaded := now.Before(q.overloaded[it.Service])
	if d.Action == Send {
		return overloaded && d.Reason == LateButRun
	}
	limit := time.Duration(float64(it.SoftDeadline.Sub(it.Since)) * overloadShare)
	if d.Action != Wait || now.Sub(it.Since) < limit || (d.Reason != AllFull && !overloaded) {
		return false
	}
	if q.overloaded == nil {
		q.overloaded = map[string]time.Time{}
	}
	q.overloaded[it.Service] = now.Add(overloadHold)
	return true
}
