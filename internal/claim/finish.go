package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"
)

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// The platform may apply a write after the client has timed out. The row of
	// a released claim is therefore removed a second time after this delay.
	recheckDelay = 10 * time.Second
)

// MarkDone stores that the request was answered with the given HTTP status. It
// waits until this is stored or ctx ends. Attempts go on in the background for
// up to 10 minutes. An error means that the status may not have been stored.
func (c *Claim) MarkDone(ctx context.Context, status int) error {
	return c.update(ctx, StateDone, status)
}

// MarkUnknown stores that the request may or may not have run. It waits as
// MarkDone does.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	return c.update(ctx, StateUnknown, 0)
}

// MarkNotRun deletes the claim, so the request may be sent again. It may be
// called only if the request has not run and will not run. It waits as MarkDone
// does. Requests that reach this VM can claim the key at once, before the row
// is deleted.
func (c *Claim) MarkNotRun(ctx context.Context) error {
	if !c.ended.CompareAndSwap(false, true) {
		return errAlreadyEnded()
	}
	c.claimer.releasedNonces.add(c.claimer.clock.Now(), c.record.Nonce)
	w := newWrite(remove, c.key, c.record, c.version)
	w.recheck = c.recheck
	return c.claimer.writeAndWait(ctx, w)
}

func (c *Claim) update(ctx context.Context, s State, status int) error {
	if !c.ended.CompareAndSwap(false, true) {
		return errAlreadyEnded()
	}
	r := c.record
	r.State, r.Status = s, status
	return c.claimer.writeAndWait(ctx, newWrite(update, c.key, r, c.version))
}

func errAlreadyEnded() error { return merry.New("claim has ended already") }

// release deletes the row of a claim that was not granted to any caller.
// Version 0 means that it is unknown whether the row exists.
func (tc *TableClaimer) release(w *write, version uint64) {
	tc.releasedNonces.add(tc.clock.Now(), w.record.Nonce)
	tc.metrics.releasedClaims.Inc(1)
	removal := newWrite(remove, w.key, w.record, version)
	removal.needsRead = version == 0
	removal.recheck = w.maybeStored
	_ = tc.enqueue(removal) // enqueue counts a refused removal in the metrics
}

// writeAndWait queues an update or removal and waits until it is finished or
// ctx ends. The write goes on after ctx has ended.
func (tc *TableClaimer) writeAndWait(ctx context.Context, w *write) error {
	if err := tc.enqueue(w); err != nil {
		return err
	}
	select {
	case r := <-w.done:
		return r.err
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "outcome of the call not stored yet")
	}
}

func (tc *TableClaimer) enqueue(w *write) error {
	w.firstQueued = tc.clock.Now()
	tc.mu.Lock()
	if tc.unfinished >= maxUnfinishedWrites {
		tc.mu.Unlock()
		tc.metrics.lostWrites.Inc(1)
		return merry.Prepend(errQueueFull, "outcome of the call not stored")
	}
	tc.unfinished++
	tc.mu.Unlock()
	if err := tc.batcher.add(w); err != nil {
		tc.finish(w, result{err: err})
		return err
	}
	return nil
}

// retry queues an update or removal again after delay. Claims are not retried
// here, since their callers get the error at once.
func (tc *TableClaimer) retry(w *write, delay time.Duration) {
	tc.mu.Lock()
	if tc.ctx.Err() != nil {
		tc.mu.Unlock()
		tc.finish(w, result{err: errClosed})
		return
	}
	defer tc.mu.Unlock()
	tc.retryTimers[w] = tc.clock.AfterFunc(delay, func() {
		tc.mu.Lock()
		delete(tc.retryTimers, w)
		tc.mu.Unlock()
		if err := tc.batcher.add(w); err != nil {
			tc.finish(w, result{err: err})
		}
	}, "claim", "retry")
}

// retryOrFail handles a write that the table refused, or may not have stored:
// claims and writes older than writeRetryTimeout fail, others are retried with
// exponential backoff and jitter.
func (tc *TableClaimer) retryOrFail(w *write, err error) {
	if w.kind == insert || tc.clock.Since(w.firstQueued) >= writeRetryTimeout {
		tc.finish(w, result{err: err})
		return
	}
	delay := min(minRetryDelay<<min(w.attempts, 10), maxRetryDelay)
	w.attempts++
	w.needsRead = w.needsRead || w.maybeStored
	tc.retry(w, delay/2+rand.N(delay/2+1))
}

// finish reports the result of a write to its caller and updates the counters.
// It is called once for each result of a write; a removal with recheck set is
// queued a second time and then gets a second result.
func (tc *TableClaimer) finish(w *write, r result) {
	if w.kind == insert {
		granted := r.err == nil && !r.duplicate
		if !granted && w.maybeStored {
			tc.release(w, 0)
		}
		if w.delivery.CompareAndSwap(pending, delivered) {
			w.done <- r
		} else if granted {
			tc.release(w, r.version)
		}
		return
	}
	if w.rechecking {
		return
	}
	needsRecheck := w.recheck && r.err == nil
	if needsRecheck {
		w.rechecking, w.needsRead = true, true
	}
	if r.err != nil {
		tc.metrics.lostWrites.Inc(1)
		_ = level.Warn(tc.logger).Log("msg", "outcome of a call not stored in the claim table", "err", r.err)
	}
	w.done <- r
	tc.countFinished(r.err)
	if needsRecheck {
		tc.retry(w, recheckDelay)
	}
}

// countFinished decrements the number of unfinished writes that Close waits
// for. Writes that Close interrupts stay in the number, so Close reports them.
func (tc *TableClaimer) countFinished(err error) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if err != nil && tc.ctx.Err() != nil {
		return
	}
	tc.unfinished--
	if tc.unfinished == 0 {
		select {
		case tc.idle <- struct{}{}:
		default:
		}
	}
}
