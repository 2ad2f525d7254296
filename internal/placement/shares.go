package placement

import (
	"cmp"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fairshare"
)

const (
	// overShare is the factor by which a team has to exceed what the teams of a service got on
	// average, each in relation to its weight, to leave free slots to others first.
	overShare = 1.25
	// yieldTime is the time for which there must have been a free slot before a team above its
	// share takes it. Within it, another VM at which a team below its share waits learns of the slot.
	yieldTime = 10 * time.Millisecond
)

// orderByShares changes the order of the waiting requests where several teams wait for a service.
// Services have different servers, so each keeps the positions that its requests have together.
func (q *Queue) orderByShares(now time.Time) {
	clear(q.shares)
	if q.Shares == nil || !slices.ContainsFunc(q.requests, func(req *QueuedRequest) bool { return req.Team != "" }) {
		return
	}
	positions := map[string][]int{}
	for i, req := range q.requests {
		positions[req.Service] = append(positions[req.Service], i)
		if req.Team != "" {
			q.Shares.SetWeight(now, req.Service, req.Team, req.TeamWeight)
		}
	}
	for _, list := range positions {
		requests := make([]*QueuedRequest, len(list))
		for i, position := range list {
			requests[i] = q.requests[position]
		}
		if !severalTeams(requests) {
			continue
		}
		q.sortByShares(now, requests)
		for i, position := range list {
			q.requests[position] = requests[i]
		}
	}
}

func severalTeams(requests []*QueuedRequest) bool {
	return slices.ContainsFunc(requests, func(req *QueuedRequest) bool { return req.Team != requests[0].Team })
}

// sharesOf returns the shares of a service as of the start of DecideAll.
func (q *Queue) sharesOf(now time.Time, service string) fairshare.Shares {
	s, ok := q.shares[service]
	if !ok {
		s = q.Shares.Shares(now, service)
		if q.shares == nil {
			q.shares = map[string]fairshare.Shares{}
		}
		q.shares[service] = s
	}
	return s
}

// yields reports whether a request has to leave the free slots to teams that have got less, which
// may wait at other VMs.
func (q *Queue) yields(now time.Time, req *QueuedRequest, candidates []Candidate) bool {
	if q.Shares == nil || req.Team == "" {
		return false
	}
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Blocked && c.Busy < c.Slots }) {
		if q.fullAt == nil {
			q.fullAt = map[string]time.Time{}
		}
		q.fullAt[req.Service] = now
		return false
	}
	if now.Sub(q.fullAt[req.Service]) >= yieldTime {
		return false
	}
	shares := q.sharesOf(now, req.Service)
	return shares.Used(req.Team) > overShare*shares.Level()
}

// sortByShares orders the requests for one service by priority, then by whether they can still
// meet their soft deadlines, then by what their team will have got with them in relation to its
// weight. It is weighted fair queueing: a team that asks for less than its share goes first, and
// what it leaves goes to the others.
func (q *Queue) sortByShares(now time.Time, requests []*QueuedRequest) {
	shares := q.sharesOf(now, requests[0].Service)
	type rank struct {
		late int
		used float64
	}
	ranks := make(map[*QueuedRequest]rank, len(requests))
	for _, late := range []int{0, 1} {
		used := map[string]float64{}
		for _, req := range requests {
			if missesGoal(now, req) != late {
				continue
			}
			if _, known := used[req.Team]; !known {
				used[req.Team] = shares.Used(req.Team)
			}
			used[req.Team] += req.ServiceTime.Seconds() / shares.Weight(req.Team)
			ranks[req] = rank{late, used[req.Team]}
		}
	}
	slices.SortStableFunc(requests, func(a, b *QueuedRequest) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(ranks[a].late, ranks[b].late), cmp.Compare(ranks[a].used, ranks[b].used))
	})
}
