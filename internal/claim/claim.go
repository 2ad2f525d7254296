// Package claim makes sure that a non-idempotent request runs at most once. A
// request may be sent to a target only after its idempotency key has been
// claimed in the platform's table. A claim is never transferred to another VM:
// if the VM that made it is lost, it is unknown whether the request ran.
//
// Each attempt to claim a key has a nonce, which its row contains. An attempt
// whose request has not run and will not run is released: its row is deleted,
// and the key can be claimed again.
package claim

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/ansel1/merry/v2"
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/outcome"
	"goldcresthinge.example/goldcresthinge/internal/platform"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	defaultBatchSize = 64
	defaultBatchWait = 5 * time.Millisecond
	// Four concurrent transactions allow 10,000 claims/s per VM when the round
	// trip to the table takes 24 ms, as it does from another region.
	batchWorkers = 4
	// A full queue makes 64 transactions. These take 0.2 s at 300
	// transactions/s, and 3 s when 14 VMs share that rate. Claims beyond that
	// would wait until they time out.
	defaultQueueLimit = 4096
	// Updates and removals are retried during an outage of the table. This
	// limit keeps the memory of the unfinished ones below about 10 MB.
	maxUnfinishedWrites = 16384

	claimTimeout      = 5 * time.Second // maximum duration of Claim, also if its context allows more
	requestTimeout    = time.Second     // one request to the table
	groupTimeout      = 3 * time.Second // all attempts to commit one group
	writeRetryTimeout = 10 * time.Minute
)

// Liveness reports whether a VM still holds the lease that it had as the given
// incarnation.
type Liveness interface {
	Alive(id vm.ID, incarnation uint64) bool
}

// TableClaimer claims keys for one VM in the platform's table. All methods may
// be called from any goroutine.
type TableClaimer struct {
	table          platform.Table
	self           func() vm.Info
	liveness       Liveness
	clock          quartz.Clock
	logger         log.Logger
	metrics        metrics
	batcher        *batcher
	releasedNonces *nonceSet

	ctx  context.Context // canceled when Close stops waiting
	stop context.CancelFunc

	mu          sync.Mutex
	unfinished  int           // updates and removals that are queued or in progress
	closed      bool          // Close was called; claims are refused
	idle        chan struct{} // capacity 1, receives a value when unfinished drops to 0
	retryTimers map[*write]*quartz.Timer
}

// Option configures a TableClaimer.
type Option func(*TableClaimer)

// WithBatch sets the maximum number of claims of a transaction, and how long a
// claim waits for others to share its transaction. The defaults are 64 and 5
// ms.
func WithBatch(size int, wait time.Duration) Option {
	return func(tc *TableClaimer) { tc.batcher.size, tc.batcher.wait = size, wait }
}

// WithQueueLimit sets the maximum number of claims that wait for a transaction.
// The default is 4,096. Further claims are refused at once.
func WithQueueLimit(limit int) Option {
	return func(tc *TableClaimer) { tc.batcher.limit = limit }
}

// New returns a TableClaimer. self returns the VM as it is currently
// registered. The caller must call Close to release resources.
func New(table platform.Table, self func() vm.Info, liveness Liveness, clock quartz.Clock,
	logger log.Logger, scope tally.Scope, options ...Option,
) *TableClaimer {
	tc := &TableClaimer{
		table: table, self: self, liveness: liveness, clock: clock,
		logger:         log.With(logger, "part", "claim"),
		metrics:        newMetrics(scope.SubScope("claim")),
		releasedNonces: newNonceSet(),
		idle:           make(chan struct{}, 1),
		retryTimers:    map[*write]*quartz.Timer{},
	}
	tc.ctx, tc.stop = context.WithCancel(context.Background())
	tc.batcher = &batcher{
		clock: clock, pool: pond.NewPool(batchWorkers), workers: batchWorkers,
		size: defaultBatchSize, wait: defaultBatchWait, limit: defaultQueueLimit, commit: tc.commit,
	}
	for _, o := range options {
		o(tc)
	}
	return tc
}

// Close refuses new claims, waits until the outcomes of all calls are stored or
// ctx ends, and stops the claimer. It returns an error if some outcomes were
// not stored. The keys of those calls stay claimed, and duplicates of them get
// an unknown outcome.
func (tc *TableClaimer) Close(ctx context.Context) error {
	tc.mu.Lock()
	tc.closed = true
	tc.mu.Unlock()
	for tc.unfinishedWrites() > 0 && ctx.Err() == nil {
		select {
		case <-tc.idle:
		case <-ctx.Done():
		}
	}
	tc.stop()
	for _, w := range tc.batcher.close() {
		tc.finish(w, result{err: errClosed})
	}
	tc.batcher.groups.Wait() // the pool's workers end when they have no work
	tc.mu.Lock()
	var stopped []*write
	for w, t := range tc.retryTimers {
		if t.Stop() {
			stopped = append(stopped, w)
		}
	}
	tc.mu.Unlock()
	for _, w := range stopped {
		tc.finish(w, result{err: errClosed})
	}
	if left := tc.unfinishedWrites(); left > 0 {
		return merry.Errorf("outcomes of %d calls not stored", left)
	}
	return nil
}

func (tc *TableClaimer) closing() bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.closed
}

func (tc *TableClaimer) unfinishedWrites() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.unfinished
}

// Claim is the permission to run one request. Exactly one of MarkDone,
// MarkNotRun and MarkUnknown must be called when the request has ended. All
// methods may be called from any goroutine.
type Claim struct {
	claimer *TableClaimer
	key     string
	record  Record
	version uint64
	recheck bool // an earlier insert may still take effect after the row is deleted
	ended   atomic.Bool
}

// DuplicateError reports that an earlier request claimed the same key and was
// answered. It wraps the *outcome.Error with which the duplicate is refused.
type DuplicateError struct {
	Err           *outcome.Error
	EarlierStatus int // HTTP status of the earlier answer
}

// Error implements the error interface.
func (e *DuplicateError) Error() string { return e.Err.Error() }

// Unwrap returns the refusal.
func (e *DuplicateError) Unwrap() error { return e.Err }

// Claim claims a key and waits at most 5 s. The request may be sent only if
// Claim returns a Claim. Otherwise the error is an *outcome.Error (use
// errors.As): NotRun if the table could not be reached in time or ctx ended;
// for a duplicate, Answered (as a *DuplicateError) or Unknown.
func (tc *TableClaimer) Claim(ctx context.Context, key Key) (*Claim, error) {
	if err := ctx.Err(); err != nil {
		return nil, tc.refuse(contextRefusal(err))
	}
	if tc.closing() {
		return nil, tc.refuse(outcome.NewUnavailable(outcome.ReasonNotReady, retryAfter()))
	}
	self := tc.self()
	w := newWrite(insert, key.RowKey(), Record{
		VM: self.ID, Incarnation: self.Incarnation, Nonce: newNonce(),
		State: StateClaimed, Time: tc.clock.Now().UTC(),
	}, 0)
	switch err := tc.batcher.add(w); {
	case errors.Is(err, errClosed):
		return nil, tc.refuse(outcome.NewUnavailable(outcome.ReasonNotReady, retryAfter()))
	case err != nil:
		return nil, tc.refuse(outcome.NewUnavailable(outcome.ReasonQueueFull, retryAfter()))
	}
	wait, cancel := withTimeout(ctx, tc.clock, claimTimeout)
	defer cancel()
	var r result
	select {
	case r = <-w.done:
	case <-wait.Done():
		if w.delivery.CompareAndSwap(pending, abandoned) {
			if err := ctx.Err(); err != nil {
				return nil, tc.refuse(contextRefusal(err))
			}
			return nil, tc.refuse(outcome.NewUnavailable(outcome.ReasonStoreDown, retryAfter()))
		}
		r = <-w.done
	}
	switch {
	case r.duplicate:
		return nil, tc.duplicateError(r.earlier, self)
	case r.err != nil:
		return nil, tc.refuse(outcome.NewUnavailable(outcome.ReasonStoreDown, retryAfter()))
	case tc.deadlinePassed(ctx):
		// The VM may have been paused after the commit, so the caller may have
		// timed out long ago.
		tc.release(w, r.version)
		return nil, tc.refuse(contextRefusal(cmp.Or(ctx.Err(), context.DeadlineExceeded)))
	}
	tc.metrics.granted.Inc(1)
	return &Claim{claimer: tc, key: w.key, record: w.record, version: r.version, recheck: w.maybeStored}, nil
}

// deadlinePassed reports whether ctx has ended or its deadline has passed. It
// compares by monotonic and by wall clock, since the timers of a context do not
// run while the VM is suspended.
func (tc *TableClaimer) deadlinePassed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return false
	}
	now := tc.clock.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

func (tc *TableClaimer) refuse(e *outcome.Error) error {
	tc.metrics.refused.Inc(1)
	return e
}

func (tc *TableClaimer) duplicateError(r *Record, self vm.Info) error {
	tc.metrics.duplicates.Inc(1)
	e := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ReasonClaimUncertain, Status: http.StatusConflict}
	switch {
	case r == nil || r.State == StateUnknown:
	case r.State == StateDone:
		e.Kind, e.Reason = outcome.Answered, outcome.ReasonDuplicate
		return &DuplicateError{Err: e, EarlierStatus: r.Status}
	case r.VM == self.ID && r.Incarnation == self.Incarnation, tc.liveness.Alive(r.VM, r.Incarnation):
		e.Reason, e.RetryAfter = outcome.ReasonInProgress, retryAfter()
	}
	return e
}

func contextRefusal(err error) *outcome.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewNotRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, "while claiming the idempotency key")
	}
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonCanceled, "while claiming the idempotency key")
}

// retryAfter returns a random duration from 1 to 3 s, so refused callers do not
// all retry at the same time.
func retryAfter() time.Duration {
	return time.Second + rand.N(2*time.Second)
}

// withTimeout is context.WithTimeout with the given clock.
func withTimeout(ctx context.Context, clock quartz.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := clock.AfterFunc(d, cancel, "claim", "timeout")
	return ctx, func() {
		t.Stop()
		cancel()
	}
}
