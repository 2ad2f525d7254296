// Package membership tracks the live siblings of an entry VM by heartbeats.
//
// A heartbeat is a request of one entry VM and the answer of another; both state
// the configuration version in force at their sender and the time since that
// version was confirmed. A version is confirmed at a time t if no higher version
// was accepted before t, that is, named by the head row in the platform's store
// (see package rollout). In a short heartbeat the region, failure domain and
// address of the sender are missing; the other VM knows them from an earlier
// heartbeat of the sender.
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
