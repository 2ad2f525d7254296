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
	// maxHolderPicks bounds the number of holders to which one attempt is sent.
	// Another holder is picked only if the previous one refused the call as not
	// run.
	maxHolderPicks = 3
	// maxRetries bounds the sum of the retries of a call and of the calls that it
	// is nested in, that is, of the calls during which a target made this call.
	// Call.Attempt is that sum, since the header Goldcresthinge-Attempt passes it
	// on to nested calls. Without the common bound, retries at each depth of
	// nesting would multiply those of the next.
	maxRetries = 2
	// crossRegionOverheadBytes is an estimate of the bytes that the headers and
	// the framing of a call add to its body on the link between regions.
	crossRegionOverheadBytes = 2048
	// After a planned handover, it takes a fraction of a second until the other
	// VMs learn which VM is the new holder. A call is not refused in that time
	// but retried every holderPollInterval for up to holderWaitTimeout.
	holderWaitTimeout  = 500 * time.Millisecond
	holderPollInterval = 20 * time.Millisecond
)

// Do runs c and returns its answer, whose body the caller must close. An
// idempotent call with an unknown outcome is retried within the retry budget; a
// non-idempotent call is not. Do increments c.Attempt for each retry. The error is
// an *outcome.Error.
func (g *Gateway) Do(ctx context.Context, c *call.Call) (*call.Answer, error) {
	g.cfg.Budget.RecordRequest(c.Service)
	for {
		answer, callErr := g.attempt(ctx, c)
		if callErr == nil {
			return answer, nil
		}
		if !g.takeRetry(ctx, c, callErr) {
			return nil, callErr
		}
		c.Attempt++
	}
}

// takeRetry reports whether a call may be sent again after an attempt that ended
// with callErr, and if so, takes one retry from the retry budget. This requires that
// the outcome is unknown, for example because the connection to the target or holder
// was lost, that the call is idempotent, has time left and had fewer than maxRetries
// retries, and that the retry budget is not used up.
func (g *Gateway) takeRetry(ctx context.Context, c *call.Call, callErr *outcome.Error) bool {
	if c.NonIdempotent || callErr.Kind != outcome.Unknown {
		return false
	}
	if ctx.Err() != nil || callErr.Reason == outcome.ReasonDeadline || c.Attempt >= maxRetries {
		return false
	}
	return g.cfg.Budget.Allow(c.Service)
}

// attempt sends a call to the holders in the region of this VM. If a pool is
// changing its holder, it waits and tries again. If no holder accepts the call, it
// forwards the call to another region.
func (g *Gateway) attempt(ctx context.Context, c *call.Call) (*call.Answer, *outcome.Error) {
	answer, callErr := g.tryHolders(ctx, c)
	for waited := time.Duration(0); waited < holderWaitTimeout && isHolderChange(callErr); waited += holderPollInterval {
		if !g.sleep(ctx, holderPollInterval) {
			return nil, callErr
		}
		answer, callErr = g.tryHolders(ctx, c)
	}
	if callErr == nil || !mayTryElsewhere(ctx, callErr) {
		return answer, callErr
	}
	return g.forwardToOtherRegion(ctx, c, callErr)
}

// isHolderChange reports whether a call was refused because a pool has no holder
// at the moment, or another holder than expected. A new holder may accept the call
// shortly after.
func isHolderChange(callErr *outcome.Error) bool {
	if callErr == nil || callErr.Kind != outcome.NotRun {
		return false
	}
	return callErr.Reason == outcome.ReasonNotHolder || callErr.Reason == outcome.ReasonNoHolder
}

// sleep waits for d and returns true, or returns false if ctx ends first.
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

// tryHolders sends a call to one holder after the other, up to maxHolderPicks,
// until one accepts it. A call that was refused as not run has reached no target,
// so sending it to another holder does not run it twice.
func (g *Gateway) tryHolders(ctx context.Context, c *call.Call) (*call.Answer, *outcome.Error) {
	var exclude []inventory.PoolID
	callErr := g.noCandidateError(c.Service)
	for range maxHolderPicks {
		now := g.now()
		cand, ok := g.cfg.Table.Pick(now, c.Service, g.localFreeSlots(now, c.Service), exclude)
		if !ok {
			break
		}
		answer, err := g.sendToHolder(ctx, c, cand)
		if err == nil {
			return answer, nil
		}
		callErr = outcome.FromError(err)
		if !mayTryElsewhere(ctx, callErr) {
			return nil, callErr
		}
		if callErr.Reason == outcome.ReasonQueueFull {
			// The holder did not report the length of its full queue. The number
			// of slots is recorded in its place, so that the pool counts as busy.
			g.cfg.Table.RecordLoad(now, cand.Pool, 0, cand.Slots)
		}
		exclude = append(exclude, cand.Pool)
	}
	return nil, callErr
}

// noCandidateError returns the refusal for a service that has no pool to pick in
// the region of this VM. Its reason is that the pools have no holder, are out of
// service, or do not exist. The caller is advised to retry after 1 s.
func (g *Gateway) noCandidateError(service string) *outcome.Error {
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

// localFreeSlots returns the number of free slots of each pool that this VM holds.
// For a pool without free slots, the number is 0 or the negative length of its
// queue, which localFreeSlots records in the picker: Pick compares the queues of
// local pools with those of siblings.
func (g *Gateway) localFreeSlots(now time.Time, service string) map[inventory.PoolID]int {
	freeSlots := g.cfg.Holder.FreeSlots(service)
	for id, free := range freeSlots {
		if free <= 0 {
			g.cfg.Table.RecordLoad(now, id, 0, -free)
		}
	}
	return freeSlots
}

func (g *Gateway) sendToHolder(ctx context.Context, c *call.Call, cand balancer.Candidate) (*call.Answer, error) {
	attempt := *c
	attempt.FailureDomain = cand.Pool.FailureDomain
	if cand.Local {
		return g.cfg.Holder.Do(ctx, &attempt)
	}
	g.cfg.Table.RecordSent(cand.Pool)
	g.metrics.forwards.Inc(1)
	return g.cfg.Forwarder.Forward(ctx, cand.VM, &attempt)
}

// mayTryElsewhere reports whether a call that ended with callErr may be sent to
// another holder or region: the call was not run, its deadline has not passed, and
// its caller has not disconnected.
func mayTryElsewhere(ctx context.Context, callErr *outcome.Error) bool {
	if callErr.Kind != outcome.NotRun || ctx.Err() != nil {
		return false
	}
	return callErr.Reason != outcome.ReasonDeadline && callErr.Reason != outcome.ReasonCanceled
}

// forwardToOtherRegion forwards a call that this region cannot serve to another
// region. It returns a refusal if the call has one home region, which is this one,
// the call has been forwarded already, no VM of another region can serve it, or the
// byte budget of the link is used up. Call.Forwarded marks a call that this VM
// received from a sibling; Call.CrossRegion marks one that is sent to a VM of
// another region, which may pick holders there.
func (g *Gateway) forwardToOtherRegion(ctx context.Context, c *call.Call, refusal *outcome.Error) (*call.Answer, *outcome.Error) {
	if len(c.HomeRegions) == 1 || c.Forwarded || c.CrossRegion || ctx.Err() != nil {
		return nil, refusal
	}
	to, ok := g.cfg.Remote.NextVM(c.Service, c.HomeRegions)
	if !ok {
		return nil, refusal
	}
	if !g.cfg.Remote.TakeLinkBudget(g.now(), to.Region, len(c.Body)+crossRegionOverheadBytes) {
		return nil, &outcome.Error{
			Kind: outcome.NotRun, Reason: outcome.ReasonBandwidthLimit,
			Status: http.StatusServiceUnavailable, RetryAfter: max(refusal.RetryAfter, time.Second),
		}
	}
	attempt := *c
	attempt.CrossRegion = true
	g.metrics.crossRegionForwards.Inc(1)
	answer, err := g.cfg.Forwarder.Forward(ctx, to, &attempt)
	if err != nil {
		return nil, outcome.FromError(err)
	}
	return answer, nil
}
