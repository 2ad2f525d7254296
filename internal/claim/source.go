package claim

import (
	"context"
	"time"
)

// Permission is the permission to run one request. Exactly one of Done, NotRun
// and Unknown must be called when the request has ended, or if it is not run.
type Permission interface {
	// Startable reports whether the request may still be started. It must be
	// checked right before the request is passed on.
	Startable(now time.Time) bool
	Done(ctx context.Context, status int) error
	Unknown(ctx context.Context) error
	NotRun(ctx context.Context) error
}

// Source grants permissions. Errors are as those of Ledger.Claim.
type Source interface {
	Claim(ctx context.Context, key Key) (Permission, error)
}

// Startable implements Permission. A row in the table outlives all calls.
func (c *Claim) Startable(time.Time) bool { return true }

// Source returns the ledger as a Source.
func (l *Ledger) Source() Source { return source{l} }

type source struct{ ledger *Ledger }

// Claim implements Source.
func (s source) Claim(ctx context.Context, key Key) (Permission, error) {
	c, err := s.ledger.Claim(ctx, key)
	if err != nil {
		return nil, err
	}
	return c, nil
}
