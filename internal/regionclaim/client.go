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
	claimTimeout = 4 * time.Second // longest Claim; covers a takeover by handover
	askTimeout   = time.Second     // one exchange with the owner
	askPause     = 50 * time.Millisecond
	// reportTimeout covers the takeover after the loss of an owner, 6 s. After
	// that the claim stays as it is and its key ends as unknown.
	reportTimeout = time.Minute
	reportPause   = 200 * time.Millisecond
	// maxReports bounds the reports that wait for an owner, each a goroutine.
	maxReports = 4096
)

// Config holds what a Client needs. All fields are required.
type Config struct {
	Self        func() vm.Info
	PartitionOf func(digest [32]byte) (inventory.PoolID, bool)
	HolderOf    func(id inventory.PoolID) (vm.Info, bool)
	Exchange    func(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error)
	Owner       *Owner // of this VM
	Clock       quartz.Clock
	Logger      log.Logger
	Scope       tally.Scope
}

// Client claims keys of the own region for one receiver. It implements
// claim.Claimer. Its methods may be called from any goroutine.
type Client struct {
	cfg     Config
	log     log.Logger
	granted tally.Counter
	refused tally.Counter
	lost    tally.Counter

	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	closed  bool
	reports int // that have not reached an owner
	running sync.WaitGroup
}

// NewClient returns a Client. Close must be called to end it.
func NewClient(cfg Config) *Client {
	scope := cfg.Scope.SubScope("region_claim")
	l := &Client{
		cfg: cfg, log: log.With(cfg.Logger, "part", "claim"),
		granted: scope.Counter("granted"), refused: scope.Counter("refused"), lost: scope.Counter("reports_lost"),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// Close waits until all reports have reached their owners or ctx ends. It takes
// no more reports; claims without a report stay as they are.
func (l *Client) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	idle := make(chan struct{})
	go func() {
		l.running.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	l.stop()
	<-idle
}

// Claim implements claim.Claimer. It asks the owner of the key's partition, and
// asks again with the same nonce while the owner changes or answers are lost.
func (l *Client) Claim(ctx context.Context, key claim.Key) (claim.Permission, error) {
	p, err := l.claim(ctx, key)
	if err != nil {
		l.refused.Inc(1)
		return nil, err
	}
	l.granted.Inc(1)
	return p, nil
}

func (l *Client) claim(ctx context.Context, key claim.Key) (claim.Permission, error) {
	sum := key.Digest()
	id, found := l.cfg.PartitionOf(sum)
	if !found {
		return nil, outcome.NewUnavailable(outcome.ReasonNoClaimStore, 0)
	}
	p := &permission{ledger: l, attempt: newAttempt(id, l.cfg.Self(), sum)}
	begun := l.cfg.Clock.Now()
	for sent := false; ; {
		asked := l.cfg.Clock.Now()
		got, reached := l.ask(ctx, id, p.attempt.request)
		sent = sent || reached
		again, refusal := p.attempt.answered(asked, got)
		switch now := l.cfg.Clock.Now(); {
		case refusal != nil:
			return nil, refusal
		case !again && ctx.Err() == nil && p.CanStart(now):
			return p, nil
		case ctx.Err() != nil, now.Sub(begun) >= claimTimeout, !l.sleep(ctx, askPause):
			// An owner may have recorded the claim, or may do so when it gets a
			// delayed message.
			if sent {
				_, _ = p.begin(stateReleased, 0) // a refused report is counted there
			}
			return nil, refuse(ctx)
		}
	}
}

func refuse(ctx context.Context) error {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.NewNotRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, "while the key was claimed")
	case err != nil:
		return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonCanceled, "while the key was claimed")
	default:
		return outcome.NewUnavailable(outcome.ReasonNoHolder, retryAfter())
	}
}

// ask sends one message to the owner of a partition. The answer is nil if there
// is none. reached reports whether the owner may have got the message.
func (l *Client) ask(ctx context.Context, id inventory.PoolID, req *siblingpb.RegionClaim) (a *siblingpb.RegionClaimAnswer, reached bool) {
	to, found := l.cfg.HolderOf(id)
	if !found {
		return nil, false
	}
	if to.ID == l.cfg.Self().ID {
		return l.cfg.Owner.Handle(req), true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := l.cfg.Exchange(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_RegionClaim{RegionClaim: req}})
	if err != nil {
		return nil, true
	}
	return resp.GetRegionClaim(), true
}

func (l *Client) sleep(ctx context.Context, d time.Duration) bool {
	t := l.cfg.Clock.NewTimer(d, "regionclaim")
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
	ledger  *Client
	attempt *attempt
	ended   atomic.Bool
}

// CanStart implements claim.Permission.
func (p *permission) CanStart(now time.Time) bool { return p.attempt.startable(now) }

// MarkDone implements claim.Permission.
func (p *permission) MarkDone(ctx context.Context, status int) error {
	return p.end(ctx, stateDone, status)
}

// MarkUnknown implements claim.Permission.
func (p *permission) MarkUnknown(ctx context.Context) error { return p.end(ctx, stateUnknown, 0) }

// MarkNotRun implements claim.Permission.
func (p *permission) MarkNotRun(ctx context.Context) error { return p.end(ctx, stateReleased, 0) }

// end reports the end of the call and waits until the owner has it or ctx ends.
// After that the report is tried on for a minute.
func (p *permission) end(ctx context.Context, op siblingpb.RegionClaimOp, status int) error {
	done, err := p.begin(op, status)
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "end of call not reported yet")
	}
}

func (p *permission) begin(op siblingpb.RegionClaimOp, status int) (<-chan error, error) {
	l := p.ledger
	if !p.ended.CompareAndSwap(false, true) {
		return nil, merry.New("claim has ended already")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.reports >= maxReports {
		l.lost.Inc(1)
		return nil, merry.New("end of call not reported: the VM stops, or too many reports wait")
	}
	l.reports++
	done := make(chan error, 1)
	l.running.Go(func() {
		err := l.report(p.attempt.id, p.attempt.report(op, status))
		l.mu.Lock()
		l.reports--
		l.mu.Unlock()
		if err != nil {
			l.lost.Inc(1)
			_ = level.Warn(l.log).Log("msg", "end of a call not reported", "err", err)
		}
		done <- err
	})
	return done, nil
}

func (l *Client) report(id inventory.PoolID, req *siblingpb.RegionClaim) error {
	begun := l.cfg.Clock.Now()
	for {
		if got, _ := l.ask(l.ctx, id, req); got.GetResult() == ok {
			return nil
		}
		pause := reportPause/2 + rand.N(reportPause)
		if l.cfg.Clock.Since(begun) >= reportTimeout || !l.sleep(l.ctx, pause) {
			return merry.New("the owner of the key could not be reached")
		}
	}
}
