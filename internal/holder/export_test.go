package holder

import (
	"context"

	"goldcresthinge.example/goldcresthinge/internal/pool"
)

// FetchLoad sends a load probe to address.
func FetchLoad(ctx context.Context, address string) pool.ProbeResult {
	return NewProber(nil).fetchLoad(ctx, address)
}
