package holder

import (
	"math"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/pool"
)

func handoverToProto(id inventory.PoolID, h pool.Handover) *siblingpb.Handover {
	return &siblingpb.Handover{
		Service:       id.Service,
		FailureDomain: id.FailureDomain,
		Targets: lo.Map(h.Targets, func(t pool.TargetHandover, _ int) *siblingpb.TargetState {
			return &siblingpb.TargetState{
				Name:       t.Name,
				Limit:      clampUint32(int64(t.Limit)),
				Warm:       t.Warm,
				Rate:       t.Rate,
				BaselineUs: clampUint32(t.Baseline.Microseconds()),
				InFlight:   clampUint32(int64(t.InFlight)),
				Instance:   t.Instance,
				Leaving:    t.Leaving,
			}
		}),
	}
}

// handoverFromProto returns nil for a nil message, which stands for a pool that
// was taken over without a handover.
func handoverFromProto(h *siblingpb.Handover) *pool.Handover {
	if h == nil {
		return nil
	}
	return &pool.Handover{
		Targets: lo.Map(h.GetTargets(), func(t *siblingpb.TargetState, _ int) pool.TargetHandover {
			return pool.TargetHandover{
				Name:     t.GetName(),
				Limit:    int(t.GetLimit()),
				Warm:     t.GetWarm(),
				Rate:     t.GetRate(),
				Baseline: time.Duration(t.GetBaselineUs()) * time.Microsecond,
				InFlight: int(t.GetInFlight()),
				Instance: t.GetInstance(),
				Leaving:  t.GetLeaving(),
			}
		}),
	}
}

func clampUint32(n int64) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}
