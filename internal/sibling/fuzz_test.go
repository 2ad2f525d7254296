package sibling_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/sibling"
)

// Guards against messages of a sibling that crash the process, and against calls
// that change when they are encoded and decoded.
func FuzzDecodeCall(f *testing.F) {
	now := time.Unix(1000, 0)
	seed, err := proto.Marshal(&siblingpb.Request{Kind: &siblingpb.Request_Forward{Forward: sibling.EncodeCall(now, &call.Call{
		Service: "s", FailureDomain: "a", Method: "POST", Path: "/x", Body: []byte("b"),
		Header: map[string][]string{"A": {"1", "2"}}, Deadline: now.Add(time.Second), Depth: 3, HomeRegions: []string{"r"},
	})}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &siblingpb.Request{}
		if proto.Unmarshal(data, req) != nil || req.GetForward() == nil {
			return
		}
		first := sibling.DecodeCall(now, req.GetForward())
		again := sibling.DecodeCall(now, sibling.EncodeCall(now, first))
		if first.Path != again.Path || string(first.Body) != string(again.Body) || !first.Deadline.Equal(again.Deadline) ||
			first.NonIdempotent != again.NonIdempotent || len(first.HomeRegions) != len(again.HomeRegions) || !again.Forwarded {
			t.Errorf("call changed: %+v, %+v", first, again)
		}
	})
}
