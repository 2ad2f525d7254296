package gateway

import (
	"context"
	"net/http"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

const (
	// maxPicks bounds the holders that are asked for one attempt. Only a
	// refusal that says not run leads to another pick.
	maxPicks = 3
	// maxRetries bounds the retries of a call together with those of the calls
	// that it is nested in, so that retries at one depth do not multiply those
	// of the next.
	maxRetries = 2
	// crossOverhead is what head and framing of a call add to its body on the
	// regional link. Unit: bytes.
	crossOverhead = 2048
	// A planned handover leaves receivers without the new holder's name for a
	// fraction of a second. Calls wait for it instead of being refused.
	holderWait     = 500 * time.Millisecond
	holderWaitStep = 20 * time.Millisecond
)

// Do runs c, with retries under the retry budget. Only idempotent calls are
// tried again after an unknown outcome. The error is an *outcome.Error.
func (g *Gateway) Do(ctx context.Context, c *call.Call) (*call.Answer, error) {
	g.cfg.Budget.RecordRequest(c.Service)
	for {
		answer, refusal := g.attempt(ctx, c)
		if refusal == nil {
			return answer, nil
		}
		if !g.mayRetry(ctx, c, refusal) {
			return nil, refusal
		}
		c.Attempt++
	}
}

// mayRetry reports whether a call may be sent again after its target or holder
// was lost.
func (g *Gateway) mayRetry(ctx context.Context, c *call.Call, refusal *outcome.Error) bool {
	if c.NonIdempotent || refusal.Kind != outcome.Unknown {
		return false
	}
	if ctx.Err() != nil || refusal.Reason == outcome.ReasonDeadline || c.Attempt >= maxRetries {
		return false
	}
	return g.cfg.Budget.Allow(c.Service)
}

// attempt asks the holders of the own region, waits for a pool that changes its
// holder, and crosses the regional link as the last resort.
func (g *Gateway) attempt(ctx context.Context, c *call.Call) (*call.Answer, *outcome.Error) {
	answer, refusal := g.askHolders(ctx, c)
	for waited := time.Duration(0); waited < holderWait && isChangingHolder(refusal); waited += holderWaitStep {
		if !g.sleep(ctx, holderWaitStep) {
			return nil, refusal
		}
		answer, refusal = g.askHolders(ctx, c)
	}
	if refusal == nil || !mayPickAgain(ctx, refusal) {
		return answer, refusal
	}
	return g.cross(ctx, c, refusal)
}

// isChangingHolder reports whether another holder may serve the call shortly.
func isChangingHolder(refusal *outcome.Error) bool {
	if refusal == nil || refusal.Kind != outcome.NotRun {
		return false
	}
	return refusal.Reason == outcome.ReasonNotHolder || refusal.Reason == outcome.ReasonNoHolder
}

func (g *Gateway) sleep(ctx context.Context, d time.Duration) bool {
	timer := g.cfg.Clock.NewTimer(d, "holder")
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askHolders asks holders until one takes the call. Refusals that say not run
// reached no target, so another pick repeats nothing.
func (g *Gateway) askHolders(ctx context.Context, c *call.Call) (*call.Answer, *outcome.Error) {
	var exclude []inventory.PoolID
	refusal := g.noCandidate(c.Service)
	for range maxPicks {
		now := g.now()
		cand, ok := g.cfg.Table.Pick(now, c.Service, g.ownFree(now, c.Service), exclude)
		if !ok {
			break
		}
		answer, err := g.ask(ctx, c, cand)
		if err == nil {
			return answer, nil
		}
		refusal = outcome.FromError(err)
		if !mayPickAgain(ctx, refusal) {
			return nil, refusal
		}
		if refusal.Reason == outcome.ReasonQueueFull {
			g.cfg.Table.RecordLoad(now, cand.Pool, 0, cand.Slots)
		}
		exclude = append(exclude, cand.Pool)
	}
	return nil, refusal
}

// noCandidate says why a service has no pool in the own region to pick.
func (g *Gateway) noCandidate(service string) *outcome.Error {
	snap := g.cfg.Snapshot()
	reason := outcome.ReasonNoTarget
	for _, id := range snap.Pools(service) {
		if snap.RegionOf(id.FailureDomain) != g.cfg.Self.Region {
			continue
		}
		if !snap.OutOfService(id.FailureDomain) {
			return outcome.NewUnavailable(outcome.ReasonNoHolder, time.Second)
		}
		reason = outcome.ReasonOutOfService
	}
	return outcome.NewUnavailable(reason, time.Second)
}

// ownFree returns the free slots of the own pools and records their queues, so
// that Pick can compare them with those of siblings.
func (g *Gateway) ownFree(now time.Time, service string) map[inventory.PoolID]int {
	own := g.cfg.Holder.FreeSlots(service)
	for id, free := range own {
		if free <= 0 {
			g.cfg.Table.RecordLoad(now, id, 0, -free)
		}
	}
	return own
}

func (g *Gateway) ask(ctx context.Context, c *call.Call, cand balancer.Candidate) (*call.Answer, error) {
	try := *c
	try.FailureDomain = cand.Pool.FailureDomain
	if cand.Local {
		return g.cfg.Holder.Do(ctx, &try)
	}
	g.cfg.Table.RecordSent(cand.Pool)
	g.metrics.forwards.Inc(1)
	return g.cfg.Forwarder.Forward(ctx, cand.VM, &try)
}

func mayPickAgain(ctx context.Context, refusal *outcome.Error) bool {
	if refusal.Kind != outcome.NotRun || ctx.Err() != nil {
		return false
	}
	return refusal.Reason != outcome.ReasonDeadline && refusal.Reason != outcome.ReasonCanceled
}

// cross hands a call that the own region cannot serve to another region, if
// the route allows it and the budget of the link has bytes left.
func (g *Gateway) cross(ctx context.Context, c *call.Call, refusal *outcome.Error) (*call.Answer, *outcome.Error) {
	if len(c.HomeRegions) == 1 || c.Forwarded || c.CrossRegion || ctx.Err() != nil {
		return nil, refusal
	}
	to, ok := g.cfg.Remote.NextVM(c.Service, c.HomeRegions)
	if !ok {
		return nil, refusal
	}
	if !g.cfg.Remote.Allow(g.now(), to.Region, len(c.Body)+crossOverhead) {
		return nil, &outcome.Error{
			Kind: outcome.NotRun, Reason: outcome.ReasonBandwidthLimit,
			Status: http.StatusServiceUnavailable, RetryAfter: max(refusal.RetryAfter, time.Second),
		}
	}
	try := *c
	try.CrossRegion = true
	g.metrics.crossings.Inc(1)
	answer, err := g.cfg.Forwarder.Forward(ctx, to, &try)
	if err != nil {
		return nil, outcome.FromError(err)
	}
	return answer, nil
}
