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
	// refreshInterval bounds the age of the candidate lists after a pool
	// changed its holder.
	refreshInterval = 100 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	vmListInterval  = 2 * time.Second
	exchangeTimeout = time.Second
)

// applySnapshot brings all parts to a new configuration. Calls never overlap.
func (d *Daemon) applySnapshot(snap *inventory.Snapshot) {
	d.holder.ApplySnapshot(d.previous, snap)
	d.previous = snap
	d.requestRefresh()
	_ = level.Info(d.log).Log("msg", "configuration in force", "version", snap.Version)
}

func (d *Daemon) requestRefresh() {
	select {
	case d.refresh <- struct{}{}:
	default:
	}
}

// refreshRoutes keeps the candidate lists up to date.
func (d *Daemon) refreshRoutes(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.router.Refresh(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.refresh:
		}
	}
}

// probe sends the load probes that are due.
func (d *Daemon) probe(ctx context.Context) error {
	return every(ctx, probeInterval, func() {
		if d.config.Current() == nil || !d.ready(time.Now()) {
			return
		}
		for _, due := range d.prober.DueProbes() {
			d.workers.Submit(func() { d.prober.Probe(ctx, due) })
		}
	})
}

// sweepsClaims reports whether this VM deletes old claims: one VM of the
// region that the store stands in.
func (d *Daemon) sweepsClaims() bool {
	snap := d.config.Current()
	if snap == nil || snap.StoreRegion() != d.settings.Region || d.draining.Load() {
		return false
	}
	chosen, ok := vm.RendezvousPick(d.keeper.RegionVMs(), claim.RowPrefix)
	return ok && string(chosen.ID) == d.settings.ID
}

// watchVMs reads which targets are leaving from the platform's list of VMs.
func (d *Daemon) watchVMs(ctx context.Context) error {
	return every(ctx, vmListInterval, func() {
		if d.config.Current() == nil {
			return
		}
		listCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		entries, err := d.vms.List(listCtx)
		if err != nil {
			return // the last known list stays in force
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

func every(ctx context.Context, interval time.Duration, fn func()) error {
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

// callEnded tells the new holder of a pool that a call of this VM has ended.
// A lost message costs the slot until the call timeout has passed.
func (d *Daemon) callEnded(id inventory.PoolID, epoch uint64, target string) {
	d.workers.Submit(func() {
		to, ok := d.keeper.HolderOf(id)
		if !ok {
			return
		}
		if string(to.ID) == d.settings.ID {
			d.holder.PredecessorCallsDone(id, target, 1)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		_, _ = d.members.RoundTrip(ctx, to, &siblingpb.Request{Kind: &siblingpb.Request_CallsDone{
			CallsDone: &siblingpb.CallsDone{
				Service: id.Service, FailureDomain: id.FailureDomain, Epoch: epoch, Target: target, Count: 1,
			},
		}})
	})
}

func liveSiblings(now time.Time, members *membership.Tracker) []vm.Info {
	var live []vm.Info
	for _, s := range members.Status() {
		if !s.Leaving && !s.LastHeard.IsZero() && now.Sub(s.LastHeard) < silentAfter {
			live = append(live, s.Info)
		}
	}
	return live
}
