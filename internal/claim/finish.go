package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"
)

const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	// A platform may apply a write after the client has given up on it. The row
	// of a released claim is looked for once more after this time.
	recheckAfter = 10 * time.Second
)

// MarkDone stores that the request was answered with an HTTP status. It waits
// until that is stored or ctx ends; after that it is tried on for 10 minutes.
// An error means that it is not known to be stored.
func (c *Claim) MarkDone(ctx context.Context, status int) error {
	return c.update(ctx, StateDone, status)
}

// MarkUnknown stores that the request may or may not have run. It waits as MarkDone
// does.
func (c *Claim) MarkUnknown(ctx context.Context) error {
	return c.update(ctx, StateUnknown, 0)
}

// MarkNotRun deletes the claim, so that the request may be made again. It may be
// called only if the request did not run and will not. It waits as MarkDone does.
// Requests that reach this VM can claim the key at once.
func (c *Claim) MarkNotRun(ctx context.Context) error {
	if !c.ended.CompareAndSwap(false, true) {
		return errEnded()
	}
	c.ledger.released.add(c.ledger.clock.Now(), c.record.Nonce)
	w := newWrite(remove, c.key, c.record, c.version)
	w.recheck = c.recheck
	return c.ledger.start(ctx, w)
}

func (c *Claim) update(ctx context.Context, s State, status int) error {
	if !c.ended.CompareAndSwap(false, true) {
		return errEnded()
	}
	r := c.record
	r.State, r.Status = s, status
	return c.ledger.start(ctx, newWrite(update, c.key, r, c.version))
}

func errEnded() error { return merry.New("claim has ended already") }

// release deletes the row of a claim whose permission was given to nobody.
// Version 0 means that it is not known whether the row exists.
func (l *TableClaimer) release(w *write, version uint64) {
	l.released.add(l.clock.Now(), w.record.Nonce)
	l.metrics.released.Inc(1)
	rm := newWrite(remove, w.key, w.record, version)
	rm.needsRead = version == 0
	rm.recheck = w.maybeStored
	_ = l.begin(rm) // a refused write is counted there
}

// start queues an update or removal and waits for it.
func (l *TableClaimer) start(ctx context.Context, w *write) error {
	if err := l.begin(w); err != nil {
		return err
	}
	select {
	case r := <-w.done:
		return r.err
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "end of call not stored yet")
	}
}

func (l *TableClaimer) begin(w *write) error {
	w.first = l.clock.Now()
	l.mu.Lock()
	if l.finishing >= maxFinishing {
		l.mu.Unlock()
		l.metrics.lost.Inc(1)
		return merry.Prepend(errFull, "end of call not stored")
	}
	l.finishing++
	l.mu.Unlock()
	if err := l.batch.add(w); err != nil {
		l.finish(w, result{err: err})
		return err
	}
	return nil
}

// retry queues an update or removal again after a pause with jitter. Claims
// are not retried here: their callers are told at once.
func (l *TableClaimer) retry(w *write, pause time.Duration) {
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		l.finish(w, result{err: errClosed})
		return
	}
	defer l.mu.Unlock()
	l.timers[w] = l.clock.AfterFunc(pause, func() {
		l.mu.Lock()
		delete(l.timers, w)
		l.mu.Unlock()
		if err := l.batch.add(w); err != nil {
			l.finish(w, result{err: err})
		}
	}, "claim", "retry")
}

// failed handles a write that the table did not take, or may not have taken.
func (l *TableClaimer) failed(w *write, err error) {
	if w.kind == insert || l.clock.Since(w.first) >= finishTimeout {
		l.finish(w, result{err: err})
		return
	}
	pause := min(firstRetry<<min(w.tries, 10), lastRetry)
	w.tries++
	w.needsRead = w.needsRead || w.maybeStored
	l.retry(w, pause/2+rand.N(pause/2+1))
}

// finish ends a write. It is called once for each write.
func (l *TableClaimer) finish(w *write, r result) {
	if w.kind == insert {
		granted := r.err == nil && !r.duplicate
		if !granted && w.maybeStored {
			l.release(w, 0)
		}
		if w.delivery.CompareAndSwap(pending, delivered) {
			w.done <- r
		} else if granted {
			l.release(w, r.version)
		}
		return
	}
	if w.rechecking {
		return
	}
	again := w.recheck && r.err == nil
	if again {
		w.rechecking, w.needsRead = true, true
	}
	if r.err != nil {
		l.metrics.lost.Inc(1)
		_ = level.Warn(l.logger).Log("msg", "end of a call not stored", "err", r.err)
	}
	w.done <- r
	l.uncount(r.err)
	if again {
		l.retry(w, recheckAfter)
	}
}

// uncount takes a finished write off the count that Close waits for. Writes
// that Close cut off stay counted, so that it reports them.
func (l *TableClaimer) uncount(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && l.ctx.Err() != nil {
		return
	}
	l.finishing--
	if l.finishing == 0 {
		select {
		case l.idle <- struct{}{}:
		default:
		}
	}
}
