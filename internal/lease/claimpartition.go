package lease

import (
	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// claimState returns the state with which a claim partition begins; state is
// that of a handover. It returns nil if records may be lost. A partition that
// nobody ever held begins without records. Epoch 1 alone does not prove that:
// the partition may have been in another failure domain before. A partition
// that began before at this epoch was dropped in between, while the
// configuration did not have it, so that neither case applies.
func (c *core) claimState(id inventory.PoolID, a *siblingpb.Assignment, state *siblingpb.Handover) *siblingpb.Handover {
	if !inventory.IsClaimPartition(id.Service) {
		return state
	}
	if c.begun[id] >= a.Epoch {
		return nil
	}
	c.begun[id] = a.Epoch
	if a.Epoch != 1 {
		return state
	}
	for domain, row := range c.domains {
		if domain != id.FailureDomain && row.pools[id.Service] != nil {
			return nil
		}
	}
	return &siblingpb.Handover{
		Service: id.Service, FailureDomain: id.FailureDomain, Epoch: a.Epoch, Claims: &siblingpb.ClaimState{},
	}
}
