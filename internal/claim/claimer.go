package claim

import (
	"context"
	"time"
)

// Permission is the permission to run one request. Exactly one of MarkDone,
// MarkNotRun and MarkUnknown must be called when the request has ended, or when
// it will not be run.
type Permission interface {
	// CanStart reports whether the request may still be started at now. A
	// Claimer whose record of the claim may be lost while the request waits
	// limits the time for the start, and CanStart returns false after that
	// time. It must be checked immediately before the request is sent to a
	// target.
	CanStart(now time.Time) bool
	MarkDone(ctx context.Context, status int) error
	MarkUnknown(ctx context.Context) error
	MarkNotRun(ctx context.Context) error
}

// Claimer grants permissions. Its errors are those of TableClaimer.Claim.
type Claimer interface {
	Claim(ctx context.Context, key Key) (Permission, error)
}

// CanStart implements Permission. It is always true, since the claim is a row
// in the table, which is kept for longer than any call lasts.
func (c *Claim) CanStart(time.Time) bool { return true }

// AsClaimer returns the TableClaimer as a Claimer.
func (tc *TableClaimer) AsClaimer() Claimer { return claimerAdapter{tc} }

type claimerAdapter struct{ tableClaimer *TableClaimer }

// Claim implements Claimer.
func (a claimerAdapter) Claim(ctx context.Context, key Key) (Permission, error) {
	c, err := a.tableClaimer.Claim(ctx, key)
	if err != nil {
		return nil, err
	}
	return c, nil
}
