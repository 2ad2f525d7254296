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
	// maxParallelReads limits the concurrent reads after a commit without an
	// answer. Reading 64 rows with a round trip of 24 ms takes 0.2 s.
	maxParallelReads = 8
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
)

// commit writes a group of writes with distinct rows. When it returns, each
// write is finished or scheduled for a retry.
//
// A transaction without an answer may have taken effect, or may still take
// effect later. Its rows are read back. Rows that have not changed are written
// again with the same nonce, so the result is the same whichever of the two
// attempts takes effect.
func (tc *TableClaimer) commit(group []*write) {
	deadline := tc.clock.Now().Add(groupTimeout)
	backoff := time.Duration(0) // the rows are read back at once the first time
	tc.metrics.groupSize.RecordValue(float64(len(group)))
	for {
		group = tc.dropAbandoned(group)
		group = tc.readBack(group)
		unread, ready := lo.FilterReject(group, func(w *write, _ int) bool { return w.needsRead })
		group = slices.Concat(unread, tc.transact(ready))
		if len(group) == 0 {
			return
		}
		// After a conflict, the remaining writes are committed again without a
		// delay.
		noAnswer := lo.SomeBy(group, func(w *write) bool { return w.needsRead })
		if !tc.clock.Now().Before(deadline) || noAnswer && !tc.sleep(backoff) {
			for _, w := range group {
				tc.retryOrFail(w, platform.ErrUncertain)
			}
			return
		}
		if noAnswer {
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
		}
	}
}

// dropAbandoned finishes the claims whose callers no longer wait, and returns
// the other writes.
func (tc *TableClaimer) dropAbandoned(group []*write) []*write {
	return lo.Filter(group, func(w *write, _ int) bool {
		if w.kind != insert || w.delivery.Load() != abandoned {
			return true
		}
		tc.finish(w, result{err: context.Canceled})
		return false
	})
}

// readBack reads the rows of all writes that have needsRead set, and finishes
// the writes whose result is known from their row. It returns the others.
func (tc *TableClaimer) readBack(group []*write) []*write {
	rows := make([]*platform.Row, len(group))
	ctx, cancel := withTimeout(tc.ctx, tc.clock, requestTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxParallelReads)
	for i, w := range group {
		if !w.needsRead {
			continue
		}
		g.Go(func() error {
			row, err := tc.table.Get(ctx, w.key)
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
		_ = level.Warn(tc.logger).Log("msg", "claim rows could not be read back", "err", err)
	}
	return lo.Filter(group, func(w *write, i int) bool { return rows[i] == nil || !tc.resolve(w, *rows[i]) })
}

// resolve finishes a write and returns true if the current state of its row
// shows the result. Otherwise it prepares the write for another attempt with
// the row's version and returns false.
func (tc *TableClaimer) resolve(w *write, row platform.Row) bool {
	status, earlier := statusFromRow(w, row, tc.releasedNonces.contains)
	switch status {
	case stored:
		tc.finish(w, result{version: row.Version})
	case duplicate:
		tc.finish(w, result{duplicate: true, earlier: earlier})
	case rowMissing:
		tc.finish(w, result{err: errRowMissing})
	default:
		w.needsRead, w.version = false, row.Version
		return false
	}
	return true
}

var errRowMissing = errors.New("claim row no longer exists")

// transact tries once to commit all writes of group in one transaction. It
// returns the writes that need another attempt.
func (tc *TableClaimer) transact(group []*write) []*write {
	if len(group) == 0 {
		return nil
	}
	ctx, cancel := withTimeout(tc.ctx, tc.clock, requestTimeout)
	defer cancel()
	tc.metrics.transactions.Inc(1)
	rows, err := tc.table.Commit(ctx, lo.Map(group, func(w *write, _ int) platform.Op { return w.op() }))
	var conflict *platform.ConflictError
	switch {
	case err == nil && len(rows) == len(group):
		for i, w := range group {
			tc.finish(w, result{version: rows[i].Version})
		}
		return nil
	case errors.As(err, &conflict):
		tc.metrics.conflicts.Inc(1)
		return tc.resolveConflict(group, conflict.Rows)
	case errors.Is(err, platform.ErrUnavailable):
		return lo.Filter(group, func(w *write, _ int) bool {
			if w.maybeStored {
				w.needsRead = true
				return true
			}
			tc.retryOrFail(w, err)
			return false
		})
	default:
		tc.metrics.uncertain.Inc(1)
		for _, w := range group {
			w.maybeStored, w.needsRead = true, true
		}
		return group
	}
}

// resolveConflict resolves the writes whose rows the conflict reports. It
// returns the writes that must be committed again: those without a conflict,
// and those that can be retried with the current version of their row.
func (tc *TableClaimer) resolveConflict(group []*write, rows []platform.Row) []*write {
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
		if tc.resolve(w, row) {
			progress = true
			continue
		}
		progress = progress || w.version != before
		left = append(left, w)
	}
	if !progress {
		// None of the reported rows explains the conflict. All rows are read
		// with the backoff that follows a lost answer, to avoid a tight loop.
		for _, w := range left {
			w.needsRead = true
		}
	}
	return left
}

// sleep waits for d. It returns false if the claimer was stopped before that.
func (tc *TableClaimer) sleep(d time.Duration) bool {
	t := tc.clock.NewTimer(d, "claim", "backoff")
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-tc.ctx.Done():
		return false
	}
}
