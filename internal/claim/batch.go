package claim

import (
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/coder/quartz"
)

var (
	errQueueFull = errors.New("too many writes are waiting for the table")
	errClosed    = errors.New("table claimer is closed")
)

// batcher groups writes into transactions. A group is handed to a worker when
// it has size writes or when its oldest write has waited for wait, whichever
// comes first. While all workers are busy, writes stay in the queue and the
// groups become larger, so a slower table gets fewer and larger transactions.
// Safe for concurrent use.
type batcher struct {
	clock   quartz.Clock
	pool    pond.Pool
	workers int
	size    int
	wait    time.Duration
	limit   int // maximum length of the queue; more claims are refused
	commit  func([]*write)

	mu          sync.Mutex
	queue       []*write
	oldestDue   bool // the oldest queued write has waited for wait
	timer       *quartz.Timer
	busyWorkers int
	groups      sync.WaitGroup // groups that workers have not finished
	closed      bool
}

// add queues a write. A claim is refused with errQueueFull when the queue is
// full. Updates and removals are always queued, since they free keys or store
// how a call ended. After close, add returns errClosed.
func (b *batcher) add(w *write) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errClosed
	}
	if w.kind == insert && len(b.queue) >= b.limit {
		return errQueueFull
	}
	w.queued = b.clock.Now()
	b.queue = append(b.queue, w)
	b.startTimer(w.queued)
	b.dispatch()
	return nil
}

// startTimer starts the timer for the oldest queued write unless it is running.
// The caller holds mu.
func (b *batcher) startTimer(now time.Time) {
	if b.oldestDue || b.timer != nil || len(b.queue) == 0 {
		return
	}
	left := b.queue[0].queued.Add(b.wait).Sub(now)
	if left <= 0 {
		b.oldestDue = true
		return
	}
	b.timer = b.clock.AfterFunc(left, b.timerFired, "claim", "batch")
}

func (b *batcher) timerFired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	b.oldestDue = true
	b.dispatch()
}

// dispatch hands groups to free workers. The caller holds mu.
func (b *batcher) dispatch() {
	for b.busyWorkers < b.workers && len(b.queue) > 0 && (b.oldestDue || len(b.queue) >= b.size) {
		group := b.takeGroup()
		b.busyWorkers++
		b.groups.Add(1)
		// The pool has one worker for each group that can be in progress, so Go
		// does not block.
		_ = b.pool.Go(func() {
			defer b.groups.Done()
			b.commit(group)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.busyWorkers--
			b.dispatch()
		})
		b.oldestDue = false
		if b.timer != nil {
			b.timer.Stop()
			b.timer = nil
		}
		b.startTimer(b.clock.Now())
	}
}

// takeGroup removes the oldest writes that fit into one transaction from the
// queue. A transaction holds at most one write of a row; a second write of the
// same row stays in the queue. The caller holds mu.
func (b *batcher) takeGroup() []*write {
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

// close makes add refuse all further writes, and returns the writes that have
// not been handed to a worker.
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
