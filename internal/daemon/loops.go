package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/api/siblingpb"
	"goldcresthinge.example/goldcresthinge/internal/claim"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/membership"
	"goldcresthinge.example/goldcresthinge/internal/vm"
)

const (
	// refreshInterval is the interval at which the candidate lists are rebuilt.
	// It bounds the time for which they name the former holder of a pool.
	refreshInterval = 100 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	vmListInterval  = 2 * time.Second
	// requestTimeout bounds one request to the platform or a sibling.
	requestTimeout = time.Second
)

// applySnapshot applies a new configuration to the parts that do not read it
// themselves. The rollout never calls it concurrently.
func (d *Daemon) applySnapshot(snap *inventory.Snapshot) {
	d.holder.ApplySnapshot(d.previousSnapshot, snap)
	d.previousSnapshot = snap
	d.requestRefresh()
	_ = level.Info(d.log).Log("msg", "configuration in force", "version", snap.Version)
}

// requestRefresh makes refreshCandidates run at once. It does not block.
func (d *Daemon) requestRefresh() {
	select {
	case d.refreshRequests <- struct{}{}:
	default:
	}
}

// refreshCandidates rebuilds the candidate lists every refreshInterval and after
// each requestRefresh, until ctx ends.
func (d *Daemon) refreshCandidates(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.routeResolver.Refresh(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.refreshRequests:
		}
	}
}

// runProber sends the load probes that are due, every probeInterval until ctx ends.
// It sends none while the VM is not ready.
func (d *Daemon) runProber(ctx context.Context) error {
	return runEvery(ctx, probeInterval, func() {
		if d.config.Current() == nil || !d.ready(time.Now()) {
			return
		}
		for _, due := range d.prober.DueProbes() {
			d.workers.Submit(func() { d.prober.Probe(ctx, due) })
		}
	})
}

// isClaimSweeper reports whether this VM deletes old claims from the store. One VM
// of the region of the store does, chosen by rendezvous hashing; it deletes none
// during its planned stop.
func (d *Daemon) isClaimSweeper() bool {
	snap := d.config.Current()
	if snap == nil || snap.StoreRegion() != d.settings.Region || d.draining.Load() {
		return false
	}
	sweeper, ok := vm.RendezvousPick(d.leases.RegionVMs(), claim.RowPrefix)
	return ok && string(sweeper.ID) == d.settings.ID
}

// pollVMList reads from the platform's list of VMs which targets are leaving, every
// vmListInterval until ctx ends.
func (d *Daemon) pollVMList(ctx context.Context) error {
	return runEvery(ctx, vmListInterval, func() {
		if d.config.Current() == nil {
			return
		}
		listCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		entries, err := d.vmList.List(listCtx)
		if err != nil {
			return // the last list that was read stays in effect
		}
		leaving := map[string]bool{}
		for _, e := range entries {
			if e.Leaving {
				leaving[e.Address] = true
			}
		}
		d.holder.SetLeavingAddresses(leaving)
	})
}

// runEvery calls fn at the interval until ctx ends, then returns nil. Calls do not
// overlap.
func runEvery(ctx context.Context, interval time.Duration, fn func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			fn()
		}
	}
}

// reportCallEnded reports to the new holder of a handed over pool that a call which
// this VM had sent to target has ended. It does not block and does not retry: if the
// message is lost, the slot of the call stays occupied until the call timeout has
// passed.
func (d *Daemon) reportCallEnded(id inventory.PoolID, epoch uint64, target string) {
	d.workers.Submit(func() {
		to, ok := d.leases.HolderOf(id)
		if !ok {
			return
		}
		if string(to.ID) == d.settings.ID {
			d.holder.PredecessorCallsDone(id, target, 1)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		_, _ = d.members.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_CallsDone{
			CallsDone: &siblingpb.CallsDone{
				Service: id.Service, FailureDomain: id.FailureDomain, Epoch: epoch, Target: target, Count: 1,
			},
		}})
	})
}

// reachableSiblings returns the siblings that are not leaving and sent a heartbeat
// within heartbeatTimeout before now.
func reachableSiblings(now time.Time, members *membership.Tracker) []vm.Info {
	var reachable []vm.Info
	for _, s := range members.Status() {
		if !s.Leaving && !s.LastHeard.IsZero() && now.Sub(s.LastHeard) < heartbeatTimeout {
			reachable = append(reachable, s.Info)
		}
	}
	return reachable
}
