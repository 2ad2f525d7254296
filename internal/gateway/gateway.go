// Package gateway is the entry of the request path. It receives the HTTP requests
// of callers, checks them against the routing rules, claims idempotency keys,
// sends the calls to the holders of pools, and returns either the whole answer or
// a refusal.
//
// A request is what a caller sends; a call.Call is made from it once it has been
// accepted, and may take several attempts. The holder of a pool is the VM that
// sends all calls to the targets of the pool; the pools are those of the
// configuration, see inventory.PoolID. A request is bound if it has home regions:
// only these may serve it and keep its claim.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/balancer"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/retry"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Holder runs calls on the pools that this VM holds. It must be safe for
// concurrent use.
type Holder interface {
	Do(ctx context.Context, c *call.Call) (*call.Answer, error)
	FreeSlots(service string) map[inventory.PoolID]int
}

// Forwarder sends a call to a sibling and returns its answer. It must be safe for
// concurrent use.
type Forwarder interface {
	Forward(ctx context.Context, to vm.Info, c *call.Call) (*call.Answer, error)
}

// Remote selects VMs of other regions to which calls may be forwarded, and limits
// the traffic to them. It must be safe for concurrent use.
type Remote interface {
	// NextVM returns a VM of another region in which service has targets, or
	// false if there is none. If regions is not empty, the VM is in one of them.
	NextVM(service string, regions []string) (vm.Info, bool)
	// TakeLinkBudget reports whether the byte budget of the link to region allows
	// a call of about size bytes, and takes them from the budget if so.
	TakeLinkBudget(now time.Time, region string, size int) bool
}

// Config holds the dependencies and limits of a Gateway. All fields except
// RegionClaims are required.
type Config struct {
	Self      vm.Info
	Snapshot  func() *inventory.Snapshot
	Holder    Holder
	Forwarder Forwarder
	// Claims claims idempotency keys in the platform's store.
	Claims claim.Claimer
	// RegionClaims claims the idempotency keys of requests that may not be
	// recorded in the region of the store. If it is nil, such requests are
	// refused.
	RegionClaims claim.Claimer
	// Table picks the holder for a call. It is not the platform's table.
	Table  *balancer.Picker
	Budget *retry.Budget
	Remote Remote
	// Ready reports whether this VM may accept new calls.
	Ready func(now time.Time) bool
	Clock quartz.Clock
	Log   log.Logger
	Scope tally.Scope
	// MaxCalls bounds the calls of one service that this gateway processes at
	// once.
	MaxCalls int
	// MaxBody bounds the body of one request. Unit: bytes.
	MaxBody int64
	// MaxBufferedBytes bounds the request bodies in memory at once, over all
	// services. Unit: bytes.
	MaxBufferedBytes int64
}

// Gateway is an http.Handler for the requests of callers. It is safe for
// concurrent use.
type Gateway struct {
	cfg      Config
	log      log.Logger
	limiter  *limiter
	metrics  *metrics
	refusals refusalLog
}

// New returns a Gateway for cfg.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg:     cfg,
		log:     log.With(cfg.Log, "part", "gateway"),
		limiter: newLimiter(cfg.MaxCalls, cfg.MaxBufferedBytes),
		metrics: newMetrics(cfg.Scope),
	}
}

// InFlight returns the number of requests of callers that the gateway is
// processing. Calls for HandleCrossRegion are not included.
func (g *Gateway) InFlight() int { return g.limiter.inFlight() }

// RecentRefusals returns the last 64 refusals at most, oldest first.
func (g *Gateway) RecentRefusals() []Refusal { return g.refusals.list() }

func (g *Gateway) now() time.Time { return g.cfg.Clock.Now() }

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if an
// answer ends early after its first part has been sent to the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := g.now()
	c, refusal := g.accept(w, r, start)
	if refusal != nil {
		g.refuse(w, "", refusal, start)
		return
	}
	reserved := r.ContentLength
	if reserved < 0 || reserved > g.cfg.MaxBody {
		reserved = g.cfg.MaxBody
	}
	if !g.limiter.acquire(c.Service, reserved) {
		g.refuse(w, c.Service, outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second), start)
		return
	}
	defer g.limiter.release(c.Service, reserved)
	if refusal := g.readBody(w, r, c); refusal != nil {
		g.refuse(w, c.Service, refusal, start)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if c.NonIdempotent {
		g.serveNonIdempotent(ctx, w, r, c, start)
		return
	}
	answer, err := g.Do(ctx, c)
	if err != nil {
		g.refuse(w, c.Service, outcome.FromError(err), start)
		return
	}
	g.reply(w, r, answer, start)
}

// HandleCrossRegion runs a call that a VM of another region forwarded to this VM.
// The error is an *outcome.Error.
func (g *Gateway) HandleCrossRegion(ctx context.Context, c *call.Call) (*call.Answer, error) {
	if !g.cfg.Ready(g.now()) {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return g.Do(ctx, c)
}

// serveNonIdempotent claims the idempotency key of a call, runs the call, records
// its outcome in the claim and replies to the caller. A call whose key is already
// claimed is refused.
func (g *Gateway) serveNonIdempotent(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, start time.Time) {
	claimer, refusal := g.claimerFor(g.cfg.Snapshot(), c.HomeRegions)
	if refusal != nil {
		g.refuse(w, c.Service, refusal, start)
		return
	}
	key := claim.Key{Tenant: c.Tenant, Route: c.Route, Key: c.Header.Get(outcome.HeaderIdempotency)}
	claimed, err := claimer.Claim(ctx, key)
	if err != nil {
		g.refuseClaim(w, c.Service, err, start)
		return
	}
	answer, err := g.doClaimed(ctx, c, claimed)
	// The claim is settled even if the caller has disconnected.
	settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err != nil {
		callErr := outcome.FromError(err)
		g.settleClaim(settleCtx, claimed, callErr.Kind)
		g.refuse(w, c.Service, callErr, start)
		return
	}
	if err := claimed.MarkDone(settleCtx, answer.Status); err != nil {
		g.logClaimError("could not mark claim as done", err)
	}
	g.reply(w, r, answer, start)
}

// doClaimed runs a call unless the permission of its claim has expired, which
// happens if this VM was paused after the claim.
func (g *Gateway) doClaimed(ctx context.Context, c *call.Call, claimed claim.Permission) (*call.Answer, error) {
	if !claimed.CanStart(g.now()) {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return g.Do(ctx, c)
}

// claimerFor returns the claimer for the key of a call with these home regions, or
// a refusal if the key cannot be claimed by this VM. All VMs that receive requests
// with the same key must claim it in the same place; otherwise duplicates are not
// detected.
func (g *Gateway) claimerFor(snap *inventory.Snapshot, homeRegions []string) (claim.Claimer, *outcome.Error) {
	region, inRegion := snap.ClaimRegion(homeRegions)
	switch {
	case !inRegion:
		return g.cfg.Claims, nil
	case g.cfg.RegionClaims == nil || region != g.cfg.Self.Region:
		return nil, outcome.NewUnavailable(outcome.ReasonNoClaimStore, 0)
	}
	return g.cfg.RegionClaims, nil
}

func (g *Gateway) settleClaim(ctx context.Context, claimed claim.Permission, kind outcome.Kind) {
	var err error
	if kind == outcome.NotRun {
		err = claimed.MarkNotRun(ctx)
	} else {
		err = claimed.MarkUnknown(ctx)
	}
	if err != nil {
		g.logClaimError("could not settle claim of a call without an answer", err)
	}
}
