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

// siblingHandler answers the exchanges of siblings.
type siblingHandler struct {
	d *Daemon
}

// HandleForward implements sibling.Handler.
func (h *siblingHandler) HandleForward(ctx context.Context, c *call.Call) (*call.Answer, *siblingpb.PoolLoad, error) {
	d := h.d
	d.forwards.Add(1)
	if d.closing.Load() {
		d.forwards.Add(-1)
		return nil, nil, outcome.NewUnavailable(outcome.ReasonNotHolder, 0)
	}
	answer, err := h.run(ctx, c)
	load := h.loadNews(c)
	if err != nil {
		d.forwards.Add(-1)
		return nil, load, err
	}
	answer.Body = &countedBody{ReadCloser: answer.Body, end: func() { d.forwards.Add(-1) }}
	return answer, load, nil
}

func (h *siblingHandler) run(ctx context.Context, c *call.Call) (*call.Answer, error) {
	if c.CrossRegion {
		return h.d.gateway.HandleCrossRegion(ctx, c)
	}
	return h.d.holder.Do(ctx, c)
}

// loadNews returns the counts of the pool of c if the byte budget allows it.
func (h *siblingHandler) loadNews(c *call.Call) *siblingpb.PoolLoad {
	if c.CrossRegion {
		return nil
	}
	load := h.d.holder.Load(inventory.PoolID{Service: c.Service, FailureDomain: c.FailureDomain})
	if load == nil || !h.d.news.AllowN(time.Now(), proto.Size(load)) {
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
		return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: d.keeper.HandleHandover(kind.Handover)}}
	case *siblingpb.Request_CallsDone:
		done := kind.CallsDone
		id := inventory.PoolID{Service: done.GetService(), FailureDomain: done.GetFailureDomain()}
		d.holder.PredecessorCallsDone(id, done.GetTarget(), int(done.GetCount()))
		return ack(nil)
	case *siblingpb.Request_RegionClaim:
		return &siblingpb.Response{Kind: &siblingpb.Response_RegionClaim{RegionClaim: d.claims.Handle(kind.RegionClaim)}}
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: &siblingpb.Ack{Error: "unknown request"}}}
}

func ack(err error) *siblingpb.Response {
	a := &siblingpb.Ack{Ok: err == nil}
	if err != nil {
		a.Error = err.Error()
	}
	return &siblingpb.Response{Kind: &siblingpb.Response_Ack{Ack: a}}
}
