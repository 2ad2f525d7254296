package daemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/call"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/outcome"
)

// siblingHandler passes the requests of siblings to the parts of the daemon. It
// implements sibling.Handler and is safe for concurrent use.
type siblingHandler struct {
	d *Daemon
}

// HandleForward implements sibling.Handler.
func (h *siblingHandler) HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	d := h.d
	d.forwardsInFlight.Add(1)
	if d.refuseForwards.Load() {
		d.forwardsInFlight.Add(-1)
		return nil, nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	answer, err := h.handle(ctx, c)
	load := h.poolLoad(c)
	if err != nil {
		d.forwardsInFlight.Add(-1)
		return nil, load, err
	}
	answer.Body = &countedBody{ReadCloser: answer.Body, onClose: func() { d.forwardsInFlight.Add(-1) }}
	return answer, load, nil
}

// handle runs a forwarded call: as the gateway of this region if it comes from
// another region, and as the holder of its pool otherwise.
func (h *siblingHandler) handle(ctx context.Context, c *call.Call) (*call.Answer, error) {
	if c.CrossRegion {
		return h.d.gateway.HandleCrossRegion(ctx, c)
	}
	return h.d.holder.Do(ctx, c)
}

// poolLoad returns the free slots and waiting calls of the pool of c. It returns nil
// for a call from another region, if this VM does not hold the pool, and if the
// byte budget for load reports is used up.
func (h *siblingHandler) poolLoad(c *call.Call) *siblingpb.PoolLoad {
	if c.CrossRegion {
		return nil
	}
	load := h.d.holder.Load(inventory.PoolID{Service: c.Service, FailureDomain: c.FailureDomain})
	if load == nil || !h.d.loadLimiter.AllowN(time.Now(), proto.Size(load)) {
		return nil
	}
	return load
}

// HandleControl implements sibling.Handler.
func (h *siblingHandler) HandleControl(ctx context.Context, req *siblingpb.Request) *siblingpb.Response {
	d := h.d
	switch kind := req.GetKind().(type) {
	case *siblingpb.Request_Heartbeat:
		answer, err := d.members.HandleHeartbeat(ctx, kind.Heartbeat)
		if err != nil {
			return ack(err)
		}
		return &siblingpb.Response{Kind: &siblingpb.Response_Heartbeat{Heartbeat: answer}}
	case *siblingpb.Request_PullConfig:
		return &siblingpb.Response{Kind: &siblingpb.Response_Config{
			Config: d.config.HandlePull(kind.PullConfig.GetHaveVersion()),
		}}
	case *siblingpb.Request_PushConfig:
		return ack(d.config.HandlePush(ctx, kind.PushConfig))
	case *siblingpb.Request_Handover:
		return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: d.leases.HandleHandover(kind.Handover)}}
	case *siblingpb.Request_CallsDone:
		done := kind.CallsDone
		id := inventory.PoolID{Service: done.GetService(), FailureDomain: done.GetFailureDomain()}
		d.holder.PredecessorCallsDone(id, done.GetTarget(), int(done.GetCount()))
		return ack(nil)
	case *siblingpb.Request_RegionClaim:
		return &siblingpb.Response{Kind: &siblingpb.Response_RegionClaim{RegionClaim: d.regionClaimOwner.Handle(kind.RegionClaim)}}
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: &siblingpb.Ack{Error: "unknown request"}}}
}

// ack returns an acknowledgement, or the text of err as a refusal.
func ack(err error) *siblingpb.Response {
	a := &siblingpb.Ack{Ok: err == nil}
	if err != nil {
		a.Error = err.Error()
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: a}}
}
