package daemon

import (
	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/samber/do/v2"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/lease"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/metrics"
	"goldcresthinge.example/goldcresthinge/internal/regionclaim"
	"goldcresthinge.example/goldcresthinge/internal/rollout"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// withIncarnation returns a function that returns self with the incarnation of its
// lease at the time of the call, 0 if this VM is not registered.
func withIncarnation(self vm.Info, leases *lease.Manager) func() vm.Info {
	return func() vm.Info {
		info := self
		info.Incarnation = leases.Incarnation()
		return info
	}
}

func provideClaimOwner(i do.Injector) (*regionclaim.Owner, error) {
	return regionclaim.NewOwner(do.MustInvoke[*lease.Manager](i), do.MustInvoke[quartz.Clock](i)), nil
}

func provideRegionClaims(i do.Injector) (*regionclaim.Client, error) {
	self := do.MustInvoke[vm.Info](i)
	leases := do.MustInvoke[*lease.Manager](i)
	config := do.MustInvoke[*rollout.Syncer](i)
	return regionclaim.NewClient(regionclaim.Config{
		Self: withIncarnation(self, leases),
		PartitionOf: func(digest [32]byte) (inventory.PoolID, bool) {
			return config.Current().ClaimPartition(self.Region, digest)
		},
		HolderOf: leases.HolderOf,
		Exchange: do.MustInvoke[*membership.Tracker](i).RoundTrip,
		Owner:    do.MustInvoke[*regionclaim.Owner](i),
		Clock:    do.MustInvoke[quartz.Clock](i),
		Logger:   do.MustInvoke[log.Logger](i),
		Scope:    do.MustInvoke[*metrics.Registry](i).Scope,
	}), nil
}
