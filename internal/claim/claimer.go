package claim

import (
	"context"
	"time"
)

// Permission is the permission to run one request. Exactly one of MarkDone, MarkNotRun
// and MarkUnknown must be called when the request has ended, or if it is not run.
type Permission interface {
	// CanStart reports whether the request may still be started. It must be
	// checked right before the request is passed on.
	CanStart(now time.Time) bool
	MarkDone(ctx context.Context, status int) error
	MarkUnknown(ctx context.Context) error
	MarkNotRun(ctx context.Context) error
}

// Claimer grants permissions. Errors are as those of TableClaimer.Claim.
type Claimer interface {
	Claim(ctx context.Context, key Key) (Permission, error)
}

// CanStart implements Permission. A row in the table outlives all calls.
func (c *Claim) CanStart(time.Time) bool { return true }

// AsClaimer returns the table claimer as a Claimer.
func (l *TableClaimer) AsClaimer() Claimer { return source{l} }

type source struct{ ledger *TableClaimer }

// Claim implements Claimer.
func (s source) Claim(ctx context.Context, key Key) (Permission, error) {
	c, err := s.ledger.Claim(ctx, key)
	if err != nil {
		return nil, err
	}
	return c, nil
}
