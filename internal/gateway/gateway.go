// Package gateway is the receiver side of the request path: it takes the
// requests of callers by HTTP, checks the rules, claims idempotency keys,
// picks a pool, and returns the whole answer or a refusal.
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

// Holder runs calls on the pools of this VM.
type Holder interface {
	Do(ctx context.Context, c *call.Call) (*call.Answer, error)
	FreeSlots(service string) map[inventory.PoolID]int
}

// Forwarder hands a call to a sibling.
type Forwarder interface {
	Forward(ctx context.Context, to vm.Info, c *call.Call) (*call.Answer, error)
}

// Remote names the VMs of other regions that may act as receivers there.
type Remote interface {
	// NextVM returns a VM of another region in which service has targets, or
	// false. regions limits the choice unless it is empty.
	NextVM(service string, regions []string) (vm.Info, bool)
	// Allow reports whether the byte budget of the link lets a call of about
	// size bytes cross to region.
	Allow(now time.Time, region string, size int) bool
}

// Config holds what a Gateway needs. All fields but RegionClaims are required.
type Config struct {
	Self      vm.Info
	Snapshot  func() *inventory.Snapshot
	Holder    Holder
	Forwarder Forwarder
	// Claims claims keys in the platform's store.
	Claims claim.Claimer
	// RegionClaims claims keys of requests whose home regions exclude that of
	// the store. nil: such requests are refused.
	RegionClaims claim.Claimer
	Table        *balancer.Picker
	Budget       *retry.Budget
	Remote       Remote
	// Ready reports whether new calls may be taken.
	Ready func(now time.Time) bool
	Clock quartz.Clock
	Log   log.Logger
	Scope tally.Scope
	// MaxCalls bounds the calls of one service that this VM works on at once.
	MaxCalls int
	// MaxBody bounds the body of one request. Unit: bytes.
	MaxBody int64
	// MaxBufferedBytes bounds the bodies held at once. Unit: bytes.
	MaxBufferedBytes int64
}

// Gateway is an http.Handler for callers. Its methods may be called from any
// goroutine.
type Gateway struct {
	cfg     Config
	log     log.Logger
	limiter *limiter
	metrics *metrics
	recent  recent
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg:     cfg,
		log:     log.With(cfg.Log, "part", "gateway"),
		limiter: newLimiter(cfg.MaxCalls, cfg.MaxBufferedBytes),
		metrics: newMetrics(cfg.Scope),
	}
}

// InFlight returns the number of calls that this VM works on as receiver.
func (g *Gateway) InFlight() int { return g.limiter.inFlight() }

// RecentRefusals returns the last refusals, oldest first.
func (g *Gateway) RecentRefusals() []Refusal { return g.recent.list() }

func (g *Gateway) now() time.Time { return g.cfg.Clock.Now() }

// ServeHTTP implements http.Handler.
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
	if !g.limiter.enter(c.Service, reserved) {
		g.refuse(w, c.Service, outcome.NewUnavailable(outcome.ReasonQueueFull, time.Second), start)
		return
	}
	defer g.limiter.leave(c.Service, reserved)
	if refusal := g.readBody(w, r, c); refusal != nil {
		g.refuse(w, c.Service, refusal, start)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if c.NonIdempotent {
		g.serveOnce(ctx, w, c, start)
		return
	}
	answer, err := g.Do(ctx, c)
	if err != nil {
		g.refuse(w, c.Service, outcome.FromError(err), start)
		return
	}
	g.reply(w, answer, start)
}

// HandleCrossRegion runs a call that a VM of another region handed to this one.
func (g *Gateway) HandleCrossRegion(ctx context.Context, c *call.Call) (*call.Answer, error) {
	if !g.cfg.Ready(g.now()) {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return g.Do(ctx, c)
}

// serveOnce runs a non-idempotent call under a claim of its key.
func (g *Gateway) serveOnce(ctx context.Context, w http.ResponseWriter, c *call.Call, start time.Time) {
	source, refusal := g.claimSource(g.cfg.Snapshot(), c.HomeRegions)
	if refusal != nil {
		g.refuse(w, c.Service, refusal, start)
		return
	}
	key := claim.Key{Tenant: c.Tenant, Route: c.Route, Key: c.Header.Get(outcome.HeaderIdempotency)}
	claimed, err := source.Claim(ctx, key)
	if err != nil {
		g.refuseDuplicate(w, c.Service, err, start)
		return
	}
	answer, err := g.doClaimed(ctx, c, claimed)
	// The claim is settled even if the caller has gone.
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWait)
	defer cancel()
	if err != nil {
		refusal := outcome.FromError(err)
		g.settleClaim(settle, claimed, refusal.Kind)
		g.refuse(w, c.Service, refusal, start)
		return
	}
	if err := claimed.MarkDone(settle, answer.Status); err != nil {
		g.logClaim("claim not marked as done", err)
	}
	g.reply(w, answer, start)
}

// doClaimed runs a call unless its permission has run out, which a pause of
// this VM may cause.
func (g *Gateway) doClaimed(ctx context.Context, c *call.Call, claimed claim.Permission) (*call.Answer, error) {
	if !claimed.CanStart(g.now()) {
		return nil, outcome.NewUnavailable(outcome.ReasonNotReady, time.Second)
	}
	return g.Do(ctx, c)
}

// claimSource returns where the key of a call with these home regions is
// claimed. All receivers of a key must use the same source.
func (g *Gateway) claimSource(snap *inventory.Snapshot, homeRegions []string) (claim.Claimer, *outcome.Error) {
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
		g.logClaim("claim not settled", err)
	}
}
