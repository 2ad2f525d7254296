package claim

import (
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/coder/quartz"
)

var (
	errFull   = errors.New("too many claims wait")
	errClosed = errors.New("claim ledger is closed")
)

// batcher groups writes into transactions: up to size writes, or those of one
// wait, whichever comes first. While all workers are busy, writes wait on and
// groups grow, which adapts the number of transactions to a slow table.
type batcher struct {
	clock   quartz.Clock
	pool    pond.Pool
	workers int
	size    int
	wait    time.Duration
	limit   int // most claims that wait
	run     func([]*write)

	mu     sync.Mutex
	queue  []*write
	due    bool // the oldest write has waited long enough
	timer  *quartz.Timer
	busy   int
	groups sync.WaitGroup // groups handed to workers
	closed bool
}

// add queues a write. Only claims are refused when the queue is full, since
// the other writes free keys or tell how a call ended.
func (b *batcher) add(w *write) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errClosed
	}
	if w.kind == insert && len(b.queue) >= b.limit {
		return errFull
	}
	w.queued = b.clock.Now()
	b.queue = append(b.queue, w)
	b.arm(w.queued)
	b.dispatch()
	return nil
}

// arm starts the timer for the oldest write unless it runs already.
func (b *batcher) arm(now time.Time) {
	if b.due || b.timer != nil || len(b.queue) == 0 {
		return
	}
	left := b.queue[0].queued.Add(b.wait).Sub(now)
	if left <= 0 {
		b.due = true
		return
	}
	b.timer = b.clock.AfterFunc(left, b.expire, "claim", "batch")
}

func (b *batcher) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	b.due = true
	b.dispatch()
}

// dispatch hands groups to free workers. The lock is held.
func (b *batcher) dispatch() {
	for b.busy < b.workers && len(b.queue) > 0 && (b.due || len(b.queue) >= b.size) {
		group := b.take()
		b.busy++
		b.groups.Add(1)
		// The pool has as many workers as groups that can be busy, so this does not block.
		_ = b.pool.Go(func() {
			defer b.groups.Done()
			b.run(group)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.busy--
			b.dispatch()
		})
		b.due = false
		if b.timer != nil {
			b.timer.Stop()
			b.timer = nil
		}
		b.arm(b.clock.Now())
	}
}

// take removes the oldest writes that fit into one transaction. A second write
// of the same row has to wait for the first.
func (b *batcher) take() []*write {
	var group, rest []*write
	seen := make(map[string]bool, b.size)
	for i, w := range b.queue {
		if len(group) == b.size {
			rest = append(rest, b.queue[i:]...)
			break
		}
		if seen[w.key] {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		group = append(group, w)
	}
	b.queue = rest
	return group
}

// close refuses further writes and returns those not yet handed to a worker.
func (b *batcher) close() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	left := b.queue
	b.queue = nil
	return left
}
