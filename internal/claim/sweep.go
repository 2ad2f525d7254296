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
	// Retention is how long a claim is kept, and so how long duplicates are
	// refused.
	Retention = 24 * time.Hour
	// sweepPartCount is the number of parts into which the rows are divided by
	// the first three hexadecimal digits of their digest. A scan reads one
	// part.
	sweepPartCount = 16 * 16 * 16
	// sweepScanLimit is the maximum number of rows that one scan reads.
	sweepScanLimit        = 500
	deletesPerTransaction = 64 // maximum number of deletions in one transaction
	sweepInterval         = time.Second
)

// Sweeper deletes claims that are older than Retention.
type Sweeper struct {
	table     platform.Table
	perSecond int
	isSweeper func() bool
	clock     quartz.Clock
	log       log.Logger
	part      int
}

// NewSweeper returns a Sweeper that deletes at most perSecond rows per second
// while isSweeper returns true. isSweeper should return true at one VM only, so
// the rows are not scanned twice. Two active sweepers are harmless, since rows
// are deleted by version.
func NewSweeper(table platform.Table, perSecond int, isSweeper func() bool, clock quartz.Clock, logger log.Logger) *Sweeper {
	return &Sweeper{table: table, perSecond: perSecond, isSweeper: isSweeper, clock: clock, log: log.With(logger, "part", "claim")}
}

// Run calls Step once a second while isSweeper returns true, until ctx ends. It
// always returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(sweepInterval, "sweep")
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !s.isSweeper() {
			continue
		}
		if err := s.Step(ctx); err != nil {
			_ = level.Debug(s.log).Log("msg", "expired claims could not be deleted", "err", err)
		}
	}
}

// Step reads one part of the rows and deletes its expired claims, at most
// perSecond of them. The next call reads the next part, unless there are more
// claims to delete in this one.
func (s *Sweeper) Step(ctx context.Context) error {
	rows, err := s.table.Scan(ctx, fmt.Sprintf("%s%03x", RowPrefix, s.part), sweepScanLimit)
	if err != nil {
		return err
	}
	deletions := s.expired(rows)
	more := len(deletions) > s.perSecond || len(rows) == sweepScanLimit && len(deletions) > 0
	deletions = deletions[:min(len(deletions), s.perSecond)]
	if !more {
		s.part = (s.part + 1) % sweepPartCount
	}
	for len(deletions) > 0 {
		n := min(len(deletions), deletesPerTransaction)
		_, err := s.table.Commit(ctx, deletions[:n])
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
		// Rows in conflict have changed since the scan. The next scan of this
		// part reads them again.
		deletions = deletions[n:]
	}
	return nil
}

func (s *Sweeper) expired(rows []platform.Row) []platform.Op {
	cutoff := s.clock.Now().Add(-Retention)
	var ops []platform.Op
	for _, row := range rows {
		record, err := ParseRecord(row.Value)
		if err != nil {
			_ = level.Warn(s.log).Log("msg", "claim row cannot be decoded; it is not deleted", "key", row.Key, "err", err)
			continue
		}
		if record.Time.Before(cutoff) {
			ops = append(ops, platform.Op{Key: row.Key, Delete: true, IfVersion: row.Version})
		}
	}
	return ops
}
