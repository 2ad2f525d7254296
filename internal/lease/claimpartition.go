package lease

import (
	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// claimState returns the state that a claim partition starts with, or nil if
// earlier claim records may be lost. state is the state received in a handover,
// nil without one; pools that are not claim partitions get it back unchanged.
//
// A partition that never had an owner starts with an empty set of records.
// Epoch 1 alone does not prove that it never had one, because the partition may
// have been assigned in another failure domain before. If this VM has already
// started the partition at this epoch, it stopped it in between because the
// configuration did not contain it for a while. The records of that time are
// lost, regardless of the epoch and of state.
func (c *core) claimState(id inventory.PoolID, a *siblingpb.Assignment, state *siblingpb.Handover) *siblingpb.Handover {
	if !inventory.IsClaimPartition(id.Service) {
		return state
	}
	if c.startedClaimEpochs[id] >= a.Epoch {
		return nil
	}
	c.startedClaimEpochs[id] = a.Epoch
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
