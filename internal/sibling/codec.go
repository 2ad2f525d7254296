package sibling

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// appendDelimited appends m to buf, preceded by its encoded length as a varint.
func appendDelimited(buf []byte, m proto.Message) ([]byte, error) {
	buf = protowire.AppendVarint(buf, uint64(proto.Size(m)))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return buf, nil
}

// headerToProto returns a message for each header field of h. The messages are
// allocated together, and their values are shared with h.
func headerToProto(h http.Header) []*siblingpb.HeaderField {
	all := make([]siblingpb.HeaderField, len(h))
	fields := make([]*siblingpb.HeaderField, 0, len(h))
	for name, values := range h {
		field := &all[len(fields)]
		field.Name, field.Values = name, values
		fields = append(fields, field)
	}
	return fields
}

func headerFromProto(fields []*siblingpb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

// EncodeCall returns the message for c. The deadline is encoded as the time left
// after now, since the clocks of two VMs may differ.
func EncodeCall(now time.Time, c *call.Call) *siblingpb.Forward {
	return &siblingpb.Forward{
		Service:       c.Service,
		FailureDomain: c.FailureDomain,
		Method:        c.Method,
		Path:          c.Path,
		Header:        headerToProto(c.Header),
		Body:          c.Body,
		DeadlineMs:    clampUint32(c.Deadline.Sub(now).Milliseconds()),
		Depth:         clampUint32(int64(c.Depth)),
		Attempt:       clampUint32(int64(c.Attempt)),
		Tenant:        c.Tenant,
		NonIdempotent: c.NonIdempotent,
		Route:         c.Route,
		ConfigVersion: c.ConfigVersion,
		HomeRegions:   c.HomeRegions,
		CrossRegion:   c.CrossRegion,
	}
}

// DecodeCall returns the call of a message from a sibling. Its deadline is now plus
// the time left when the message was written.
func DecodeCall(now time.Time, f *siblingpb.Forward) *call.Call {
	return &call.Call{
		Service:       f.GetService(),
		FailureDomain: f.GetFailureDomain(),
		Method:        f.GetMethod(),
		Path:          f.GetPath(),
		Header:        headerFromProto(f.GetHeader()),
		Body:          f.GetBody(),
		Deadline:      now.Add(time.Duration(f.GetDeadlineMs()) * time.Millisecond),
		Depth:         int(f.GetDepth()),
		Attempt:       int(f.GetAttempt()),
		Tenant:        f.GetTenant(),
		NonIdempotent: f.GetNonIdempotent(),
		Route:         f.GetRoute(),
		ConfigVersion: f.GetConfigVersion(),
		HomeRegions:   f.GetHomeRegions(),
		CrossRegion:   f.GetCrossRegion(),
		Forwarded:     true,
	}
}

// encodeError returns the answer head for a call that ended with an error. It
// omits the detail, which is for the log of this VM only.
func encodeError(e *outcome.Error) *siblingpb.ForwardAnswer {
	return &siblingpb.ForwardAnswer{
		Outcome:      uint32(e.Kind),
		Reason:       string(e.Reason),
		Status:       clampUint32(int64(e.Status)),
		RetryAfterMs: clampUint32(e.RetryAfter.Milliseconds()),
	}
}

// decodeError returns the error of an answer head, or nil if the call was answered.
// An outcome number that this version does not define becomes Unknown: the call
// may have run. A status that is that of no answer becomes 502.
func decodeError(a *siblingpb.ForwardAnswer) *outcome.Error {
	kind := outcome.Unknown
	switch a.GetOutcome() {
	case uint32(outcome.Answered):
		return nil
	case uint32(outcome.NotRun):
		kind = outcome.NotRun
	}
	status := int(a.GetStatus())
	if call.CheckStatus(status) != nil {
		status = http.StatusBadGateway
	}
	return &outcome.Error{
		Kind:       kind,
		Reason:     outcome.Reason(a.GetReason()),
		Status:     status,
		RetryAfter: time.Duration(a.GetRetryAfterMs()) * time.Millisecond,
	}
}

// clampUint32 returns n, limited to the range of uint32.
func clampUint32(n int64) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
