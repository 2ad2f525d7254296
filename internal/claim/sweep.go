package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/platform"
)

const (
	// Retention is how long a claim refuses repeated requests.
	Retention = 24 * time.Hour
	// sweepParts is the number of parts that the rows are divided into by the
	// first three digits of their digest. A scan reads one part.
	sweepParts = 16 * 16 * 16
	// sweepScan bounds the rows of one scan.
	sweepScan     = 500
	sweepBatch    = 64 // deletions of a transaction
	sweepInterval = time.Second
)

// Sweeper deletes claims that are older than Retention.
type Sweeper struct {
	table     platform.Table
	perSecond int
	mine      func() bool
	clock     quartz.Clock
	log       log.Logger
	part      int
}

// NewSweeper returns a sweeper that deletes at most perSecond rows a second
// while mine returns true. mine names one VM, so that the work is done once;
// two sweepers at a time do no harm, since rows are deleted by version.
func NewSweeper(table platform.Table, perSecond int, mine func() bool, clock quartz.Clock, logger log.Logger) *Sweeper {
	return &Sweeper{table: table, perSecond: perSecond, mine: mine, clock: clock, log: log.With(logger, "part", "claim")}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(sweepInterval, "sweep")
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !s.mine() {
			continue
		}
		if err := s.Step(ctx); err != nil {
			_ = level.Debug(s.log).Log("msg", "old claims not deleted", "err", err)
		}
	}
}

// Step reads one part and deletes its old claims, up to the limit of a second.
// The next step reads the next part unless there is more to delete in this one.
func (s *Sweeper) Step(ctx context.Context) error {
	rows, err := s.table.Scan(ctx, fmt.Sprintf("%s%03x", RowPrefix, s.part), sweepScan)
	if err != nil {
		return err
	}
	old := s.expired(rows)
	more := len(old) > s.perSecond || len(rows) == sweepScan && len(old) > 0
	old = old[:min(len(old), s.perSecond)]
	if !more {
		s.part = (s.part + 1) % sweepParts
	}
	for len(old) > 0 {
		n := min(len(old), sweepBatch)
		_, err := s.table.Commit(ctx, old[:n])
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
		// Rows in conflict were changed meanwhile; the next turn reads them again.
		old = old[n:]
	}
	return nil
}

func (s *Sweeper) expired(rows []platform.Row) []platform.Op {
	limit := s.clock.Now().Add(-Retention)
	var ops []platform.Op
	for _, row := range rows {
		record, err := ParseRecord(row.Value)
		if err != nil {
			_ = level.Warn(s.log).Log("msg", "claim row not readable", "key", row.Key, "err", err)
			continue
		}
		if record.Time.Before(limit) {
			ops = append(ops, platform.Op{Key: row.Key, Delete: true, IfVersion: row.Version})
		}
	}
	return ops
}
