package regionclaim

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	claimTimeout    = 4 * time.Second // maximum duration of Claim; longer than a change of the owner by handover takes
	exchangeTimeout = time.Second     // one request to the owner and its response
	claimRetryDelay = 50 * time.Millisecond
	// reportTimeout is the maximum time for which a report is retried. It is
	// longer than the takeover after the loss of an owner, which takes 6 s. A
	// claim without a report remains in the state claimed until it expires;
	// duplicates of its call get an unknown outcome.
	reportTimeout   = time.Minute
	meanReportDelay = 200 * time.Millisecond
	// maxPendingReports limits the reports that have not reached an owner. Each
	// one uses a goroutine.
	maxPendingReports = 4096
)

// Config holds what a Client needs. All fields are required.
type Config struct {
	Self        func() vm.Info
	PartitionOf func(digest [32]byte) (inventory.PoolID, bool)
	HolderOf    func(id inventory.PoolID) (vm.Info, bool)
	Exchange    func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error)
	Owner       *Owner // the Owner of this VM
	Clock       quartz.Clock
	Logger      log.Logger
	Scope       tally.Scope
}

// Client claims the idempotency keys of requests that this VM receives from
// callers. It claims them from their owners in the region of the VM. It
// implements claim.Claimer. Its methods may be called from any goroutine.
type Client struct {
	cfg         Config
	log         log.Logger
	granted     tally.Counter
	refused     tally.Counter
	lostReports tally.Counter

	ctx  context.Context
	stop context.CancelFunc

	mu             sync.Mutex
	closed         bool
	pendingReports int // reports that have not reached an owner
	reporters      sync.WaitGroup
}

// NewClient returns a Client. The caller must call Close to release resources.
func NewClient(cfg Config) *Client {
	scope := cfg.Scope.SubScope("region_claim")
	c := &Client{
		cfg: cfg, log: log.With(cfg.Logger, "part", "claim"),
		granted: scope.Counter("granted"), refused: scope.Counter("refused"), lostReports: scope.Counter("reports_lost"),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Close waits until all reports have reached their owners or ctx ends. It
// refuses further reports. Claims whose outcome was not reported stay as they
// are at their owners.
func (c *Client) Close(ctx context.Context) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		c.reporters.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	c.stop()
	<-idle
}

// Claim implements claim.Claimer. It asks the owner of the key's partition, and
// asks again with the same nonce while the partition changes its owner or
// answers are lost. It waits for claimTimeout at most, plus one exchange.
func (c *Client) Claim(ctx context.Context, key claim.Key) (claim.Permission, error) {
	p, err := c.claim(ctx, key)
	if err != nil {
		c.refused.Inc(1)
		return nil, err
	}
	c.granted.Inc(1)
	return p, nil
}

func (c *Client) claim(ctx context.Context, key claim.Key) (claim.Permission, error) {
	sum := key.Digest()
	id, found := c.cfg.PartitionOf(sum)
	if !found {
		return nil, outcome.NewUnavailable(outcome.ReasonNoClaimStore, 0)
	}
	p := &permission{client: c, attempt: newAttempt(id, c.cfg.Self(), sum)}
	start := c.cfg.Clock.Now()
	for anyDelivered := false; ; {
		sentAt := c.cfg.Clock.Now()
		answer, delivered := c.sendToOwner(ctx, id, p.attempt.request)
		anyDelivered = anyDelivered || delivered
		askAgain, refusal := p.attempt.applyAnswer(sentAt, answer)
		switch now := c.cfg.Clock.Now(); {
		case refusal != nil:
			return nil, refusal
		case !askAgain && ctx.Err() == nil && p.CanStart(now):
			return p, nil
		case ctx.Err() != nil, now.Sub(start) >= claimTimeout, !c.sleep(ctx, claimRetryDelay):
			// The owner may have recorded the claim, or may do so when it
			// receives a delayed message.
			if anyDelivered {
				_, _ = p.startReport(stateReleased, 0) // startReport counts a refused report in the metrics
			}
			return nil, notRunError(ctx)
		}
	}
}

func notRunError(ctx context.Context) error {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.NewNotRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, "while claiming the idempotency key")
	case err != nil:
		return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonCanceled, "while claiming the idempotency key")
	default:
		return outcome.NewUnavailable(outcome.ReasonNoHolder, retryAfter())
	}
}

// sendToOwner sends one message to the owner of a partition and returns its
// answer, or nil if there is none. maybeDelivered reports whether the owner may
// have received the message.
func (c *Client) sendToOwner(ctx context.Context, id inventory.PoolID, req *siblingpb.RegionClaim) (answer *siblingpb.RegionClaimAnswer, maybeDelivered bool) {
	to, found := c.cfg.HolderOf(id)
	if !found {
		return nil, false
	}
	if to.ID == c.cfg.Self().ID {
		return c.cfg.Owner.Handle(req), true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := c.cfg.Exchange(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_RegionClaim{RegionClaim: req}})
	if err != nil {
		return nil, true
	}
	return resp.GetRegionClaim(), true
}

func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	t := c.cfg.Clock.NewTimer(d, "regionclaim")
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// permission implements claim.Permission.
type permission struct {
	client  *Client
	attempt *attempt
	ended   atomic.Bool
}

// CanStart implements claim.Permission.
func (p *permission) CanStart(now time.Time) bool { return p.attempt.canStart(now) }

// MarkDone implements claim.Permission.
func (p *permission) MarkDone(ctx context.Context, status int) error {
	return p.reportEnd(ctx, stateDone, status)
}

// MarkUnknown implements claim.Permission.
func (p *permission) MarkUnknown(ctx context.Context) error { return p.reportEnd(ctx, stateUnknown, 0) }

// MarkNotRun implements claim.Permission.
func (p *permission) MarkNotRun(ctx context.Context) error { return p.reportEnd(ctx, stateReleased, 0) }

// reportEnd reports the outcome of the call to the owner, and waits until the
// owner has received it or ctx ends. The report is retried in the background
// for up to a minute.
func (p *permission) reportEnd(ctx context.Context, op siblingpb.RegionClaimOp, status int) error {
	done, err := p.startReport(op, status)
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "outcome of the call not reported yet")
	}
}

func (p *permission) startReport(op siblingpb.RegionClaimOp, status int) (<-chan error, error) {
	c := p.client
	if !p.ended.CompareAndSwap(false, true) {
		return nil, merry.New("claim has ended already")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pendingReports >= maxPendingReports {
		c.lostReports.Inc(1)
		return nil, merry.New("outcome of the call not reported: the VM is stopping, or too many reports are waiting")
	}
	c.pendingReports++
	done := make(chan error, 1)
	c.reporters.Go(func() {
		err := c.report(p.attempt.id, p.attempt.reportMessage(op, status))
		c.mu.Lock()
		c.pendingReports--
		c.mu.Unlock()
		if err != nil {
			c.lostReports.Inc(1)
			_ = level.Warn(c.log).Log("msg", "outcome of a call not reported to the owner of its key", "err", err)
		}
		done <- err
	})
	return done, nil
}

func (c *Client) report(id inventory.PoolID, req *siblingpb.RegionClaim) error {
	start := c.cfg.Clock.Now()
	for {
		if answer, _ := c.sendToOwner(c.ctx, id, req); answer.GetResult() == resultOK {
			return nil
		}
		delay := meanReportDelay/2 + rand.N(meanReportDelay)
		if c.cfg.Clock.Since(start) >= reportTimeout || !c.sleep(c.ctx, delay) {
			return merry.New("the owner of the key did not acknowledge the report")
		}
	}
}
