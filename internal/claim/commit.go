package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

const (
	// readBackParallel bounds the reads that settle one lost answer: 64 rows at
	// a round trip of 24 ms take 0.2 s.
	readBackParallel = 8
	firstBackoff     = 20 * time.Millisecond
	lastBackoff      = 500 * time.Millisecond
)

// commit brings a group of writes with distinct rows to an end: it finishes
// each, or queues it for a later retry.
//
// A transaction without an answer may have taken effect, or may still do so.
// Its rows are read back. Rows that are as before are written again with the
// same nonce, so that it does not matter which of the two attempts counts.
func (l *TableClaimer) commit(group []*write) {
	deadline := l.clock.Now().Add(settleTimeout)
	backoff := time.Duration(0) // the first read back follows at once
	l.metrics.size.RecordValue(float64(len(group)))
	for {
		group = l.dropAbandoned(group)
		group = l.readBack(group)
		unread, ready := lo.FilterReject(group, func(w *write, _ int) bool { return w.needsRead })
		group = slices.Concat(unread, l.transact(ready))
		if len(group) == 0 {
			return
		}
		// After a conflict the rest is committed again at once.
		noAnswer := lo.SomeBy(group, func(w *write) bool { return w.needsRead })
		if !l.clock.Now().Before(deadline) || noAnswer && !l.sleep(backoff) {
			for _, w := range group {
				l.failed(w, platform.ErrUncertain)
			}
			return
		}
		if noAnswer {
			backoff = min(max(2*backoff, firstBackoff), lastBackoff)
		}
	}
}

// dropAbandoned finishes claims whose callers gave up.
func (l *TableClaimer) dropAbandoned(group []*write) []*write {
	return lo.Filter(group, func(w *write, _ int) bool {
		if w.kind != insert || w.delivery.Load() != abandoned {
			return true
		}
		l.finish(w, result{err: context.Canceled})
		return false
	})
}

// readBack reads the rows of writes that need it, and returns the writes that
// are not finished by what was found.
func (l *TableClaimer) readBack(group []*write) []*write {
	rows := make([]*platform.Row, len(group))
	ctx, cancel := withTimeout(l.ctx, l.clock, commitTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(readBackParallel)
	for i, w := range group {
		if !w.needsRead {
			continue
		}
		g.Go(func() error {
			row, err := l.table.Get(ctx, w.key)
			if errors.Is(err, platform.ErrNotFound) {
				row, err = platform.Row{Key: w.key}, nil
			}
			if err == nil {
				rows[i] = &row
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		_ = level.Warn(l.logger).Log("msg", "rows not read back", "err", err)
	}
	return lo.Filter(group, func(w *write, i int) bool { return rows[i] == nil || !l.settle(w, *rows[i]) })
}

// settle ends a write if the current state of its row says how it went.
// Otherwise the write is ready for another attempt under the row's version.
func (l *TableClaimer) settle(w *write, row platform.Row) bool {
	v, earlier := judge(w, row, l.released.has)
	switch v {
	case stored:
		l.finish(w, result{version: row.Version})
	case duplicate:
		l.finish(w, result{duplicate: true, earlier: earlier})
	case gone:
		l.finish(w, result{err: errGone})
	default:
		w.needsRead, w.version = false, row.Version
		return false
	}
	return true
}

var errGone = errors.New("claim row no longer exists")

// transact makes one attempt to write all of group in one transaction. It
// returns the writes that need another attempt.
func (l *TableClaimer) transact(group []*write) []*write {
	if len(group) == 0 {
		return nil
	}
	ctx, cancel := withTimeout(l.ctx, l.clock, commitTimeout)
	defer cancel()
	l.metrics.transactions.Inc(1)
	rows, err := l.table.Commit(ctx, lo.Map(group, func(w *write, _ int) platform.Op { return w.op() }))
	var conflict *platform.ConflictError
	switch {
	case err == nil && len(rows) == len(group):
		for i, w := range group {
			l.finish(w, result{version: rows[i].Version})
		}
		return nil
	case errors.As(err, &conflict):
		l.metrics.conflicts.Inc(1)
		return l.settleConflict(group, conflict.Rows)
	case errors.Is(err, platform.ErrUnavailable):
		return lo.Filter(group, func(w *write, _ int) bool {
			if w.maybeStored {
				w.needsRead = true
				return true
			}
			l.failed(w, err)
			return false
		})
	default:
		l.metrics.uncertain.Inc(1)
		for _, w := range group {
			w.maybeStored, w.needsRead = true, true
		}
		return group
	}
}

// settleConflict settles the writes in conflict one by one by the rows of the
// conflict. The others are to be committed again.
func (l *TableClaimer) settleConflict(group []*write, rows []platform.Row) []*write {
	current := lo.KeyBy(rows, func(r platform.Row) string { return r.Key })
	var left []*write
	progress := false
	for _, w := range group {
		row, ok := current[w.key]
		if !ok {
			left = append(left, w)
			continue
		}
		before := w.version
		if l.settle(w, row) {
			progress = true
			continue
		}
		progress = progress || w.version != before
		left = append(left, w)
	}
	if !progress {
		// The conflict names no row that explains it. Reading all of them with
		// the backoff of a lost answer avoids a tight loop.
		for _, w := range left {
			w.needsRead = true
		}
	}
	return left
}

// sleep waits and returns false if the claimer is stopped.
func (l *TableClaimer) sleep(d time.Duration) bool {
	t := l.clock.NewTimer(d, "claim", "backoff")
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}
