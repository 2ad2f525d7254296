// Package claim makes sure that a non-idempotent request runs at most once. A
// request may be sent to a target only after its idempotency key has been
// claimed in the platform's table. A claim is never taken over: if the VM that
// made it is lost, nobody knows whether the request ran.
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
	batchSize = 64
	batchWait = 5 * time.Millisecond
	// Four transactions at a time keep a table with a round trip of 24 ms (the
	// other region) at 10,000 claims/s per VM.
	batchWorkers = 4
	// A full queue is 64 transactions, 0.2 s of work at 300 transactions/s and
	// 3 s when 14 VMs share them. More would only wait for the time-out.
	maxQueued = 4096
	// Writes that say how calls ended are retried through an outage. The bound
	// keeps them below about 10 MB.
	maxFinishing = 16384

	claimTimeout  = 5 * time.Second // longest Claim, whatever its context allows
	commitTimeout = time.Second     // one request to the table
	settleTimeout = 3 * time.Second // all attempts to settle one transaction
	finishTimeout = 10 * time.Minute
)

// Liveness tells whether a VM still has the lease it had under incarnation.
type Liveness interface {
	Alive(id vm.ID, incarnation uint64) bool
}

// TableClaimer claims keys for one VM. All methods may be called from any goroutine.
type TableClaimer struct {
	table    platform.Table
	self     func() vm.Info
	liveness Liveness
	clock    quartz.Clock
	logger   log.Logger
	metrics  metrics
	batch    *batcher
	released *nonces

	ctx  context.Context // ends when Close gives up waiting
	stop context.CancelFunc

	mu        sync.Mutex
	finishing int           // updates and removals not finished
	closed    bool          // no new claims
	idle      chan struct{} // capacity 1, gets a value when finishing drops to 0
	timers    map[*write]*quartz.Timer
}

// Option changes a TableClaimer.
type Option func(*TableClaimer)

// WithBatch sets the most claims of a transaction and the longest wait for
// more of them. The defaults are 64 and 5 ms.
func WithBatch(size int, wait time.Duration) Option {
	return func(l *TableClaimer) { l.batch.size, l.batch.wait = size, wait }
}

// WithQueue sets the most claims that wait for a transaction. The default is
// 4,096; more are refused at once.
func WithQueue(limit int) Option {
	return func(l *TableClaimer) { l.batch.limit = limit }
}

// New returns a ledger. self returns the VM as it is registered now. Close
// must be called to end it.
func New(table platform.Table, self func() vm.Info, liveness Liveness, clock quartz.Clock,
	logger log.Logger, scope tally.Scope, options ...Option,
) *TableClaimer {
	l := &TableClaimer{
		table: table, self: self, liveness: liveness, clock: clock,
		logger:   log.With(logger, "part", "claim"),
		metrics:  newMetrics(scope.SubScope("claim")),
		released: newNonces(),
		idle:     make(chan struct{}, 1),
		timers:   map[*write]*quartz.Timer{},
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.batch = &batcher{
		clock: clock, pool: pond.NewPool(batchWorkers), workers: batchWorkers,
		size: batchSize, wait: batchWait, limit: maxQueued, run: l.commit,
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Close refuses new claims, waits until the ends of all calls are stored or
// ctx ends, and stops the claimer. It returns an error if some were not stored;
// the keys of these stay claimed and duplicates get an unknown outcome.
func (l *TableClaimer) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for l.unfinished() > 0 && ctx.Err() == nil {
		select {
		case <-l.idle:
		case <-ctx.Done():
		}
	}
	l.stop()
	for _, w := range l.batch.close() {
		l.finish(w, result{err: errClosed})
	}
	l.batch.groups.Wait() // the pool's workers end when they have no work
	l.mu.Lock()
	var stopped []*write
	for w, t := range l.timers {
		if t.Stop() {
			stopped = append(stopped, w)
		}
	}
	l.mu.Unlock()
	for _, w := range stopped {
		l.finish(w, result{err: errClosed})
	}
	if left := l.unfinished(); left > 0 {
		return merry.Errorf("%d ends of calls not stored", left)
	}
	return nil
}

func (l *TableClaimer) closing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *TableClaimer) unfinished() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finishing
}

// Claim is the permission to run one request. Exactly one of MarkDone, MarkNotRun and
// MarkUnknown must be called when the request has ended.
type Claim struct {
	ledger  *TableClaimer
	key     string
	record  Record
	version uint64
	recheck bool // an insert may still take effect after the row is deleted
	ended   atomic.Bool
}

// DuplicateError says that the key of a request was claimed before by a
// request that was answered. It wraps the *outcome.Error of the refusal.
type DuplicateError struct {
	Err           *outcome.Error
	EarlierStatus int // HTTP status of the earlier answer
}

// Error implements the error interface.
func (e *DuplicateError) Error() string { return e.Err.Error() }

// Unwrap returns the refusal.
func (e *DuplicateError) Unwrap() error { return e.Err }

// Claim claims a key. Only if it returns a Claim may the request be sent. Else
// the error is an *outcome.Error for errors.As: NotRun if the table could not
// be reached in time or ctx ended, and for a duplicate Answered (a
// *DuplicateError) or Unknown. It waits no longer than 5 s.
func (l *TableClaimer) Claim(ctx context.Context, key Key) (*Claim, error) {
	if err := ctx.Err(); err != nil {
		return nil, l.refuse(ctxRefusal(err))
	}
	if l.closing() {
		return nil, l.refuse(outcome.NewUnavailable(outcome.ReasonNotReady, retryAfter()))
	}
	self := l.self()
	w := newWrite(insert, key.RowKey(), Record{
		VM: self.ID, Incarnation: self.Incarnation, Nonce: newNonce(),
		State: StateClaimed, Time: l.clock.Now().UTC(),
	}, 0)
	switch err := l.batch.add(w); {
	case errors.Is(err, errClosed):
		return nil, l.refuse(outcome.NewUnavailable(outcome.ReasonNotReady, retryAfter()))
	case err != nil:
		return nil, l.refuse(outcome.NewUnavailable(outcome.ReasonQueueFull, retryAfter()))
	}
	wait, cancel := withTimeout(ctx, l.clock, claimTimeout)
	defer cancel()
	var r result
	select {
	case r = <-w.done:
	case <-wait.Done():
		if w.delivery.CompareAndSwap(pending, abandoned) {
			if err := ctx.Err(); err != nil {
				return nil, l.refuse(ctxRefusal(err))
			}
			return nil, l.refuse(outcome.NewUnavailable(outcome.ReasonStoreDown, retryAfter()))
		}
		r = <-w.done
	}
	switch {
	case r.duplicate:
		return nil, l.duplicate(r.earlier, self)
	case r.err != nil:
		return nil, l.refuse(outcome.NewUnavailable(outcome.ReasonStoreDown, retryAfter()))
	case l.tooLate(ctx):
		// The VM may have been paused after the commit, with the caller long gone.
		l.release(w, r.version)
		return nil, l.refuse(ctxRefusal(cmp.Or(ctx.Err(), context.DeadlineExceeded)))
	}
	l.metrics.granted.Inc(1)
	return &Claim{ledger: l, key: w.key, record: w.record, version: r.version, recheck: w.maybeStored}, nil
}

// tooLate compares the deadline by monotonic and by wall clock, since the
// timers of a context stand still while a VM is suspended.
func (l *TableClaimer) tooLate(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return false
	}
	now := l.clock.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

func (l *TableClaimer) refuse(e *outcome.Error) error {
	l.metrics.refused.Inc(1)
	return e
}

func (l *TableClaimer) duplicate(r *Record, self vm.Info) error {
	l.metrics.duplicates.Inc(1)
	e := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ReasonClaimUncertain, Status: http.StatusConflict}
	switch {
	case r == nil || r.State == StateUnknown:
	case r.State == StateDone:
		e.Kind, e.Reason = outcome.Answered, outcome.ReasonDuplicate
		return &DuplicateError{Err: e, EarlierStatus: r.Status}
	case r.VM == self.ID && r.Incarnation == self.Incarnation, l.liveness.Alive(r.VM, r.Incarnation):
		e.Reason, e.RetryAfter = outcome.ReasonInProgress, retryAfter()
	}
	return e
}

func ctxRefusal(err error) *outcome.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.NewNotRun(http.StatusGatewayTimeout, outcome.ReasonDeadline, "while the key was claimed")
	}
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonCanceled, "while the key was claimed")
}

// retryAfter is 1 to 3 s, so that refused callers do not come back at once.
func retryAfter() time.Duration {
	return time.Second + rand.N(2*time.Second)
}

// withTimeout is context.WithTimeout by the given clock.
func withTimeout(ctx context.Context, clock quartz.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := clock.AfterFunc(d, cancel, "claim", "timeout")
	return ctx, func() {
		t.Stop()
		cancel()
	}
}
