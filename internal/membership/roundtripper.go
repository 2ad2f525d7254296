// Package membership tracks the live siblings of an entry VM by heartbeats.
package membership

import (
	"context"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// RoundTripper sends one request to a sibling and returns its response. It does
// not retry.
type RoundTripper interface {
	RoundTrip(ctx context.Context, to vm.Info, req *siblingpb.Request) (*siblingpb.Response, error)
}
