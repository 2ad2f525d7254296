package daemon

import (
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/gateway"
	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
)

// Status implements operatorapi.Process.
func (d *Daemon) Status(now time.Time) operatorapi.ProcessStatus {
	reasons := d.notReady(now)
	if d.draining.Load() {
		reasons = append(reasons, "draining")
	}
	if !d.holderSeen.Load() && !d.detectHolder(now) {
		reasons = append(reasons, "no pool of the region has a holder yet")
	}
	mode := d.leases.Mode(now)
	_, reachable := d.config.ConfirmedAge(now)
	return operatorapi.ProcessStatus{
		ID:             d.settings.ID,
		Incarnation:    d.leases.Incarnation(),
		Region:         d.settings.Region,
		FailureDomain:  d.settings.FailureDomain,
		Ready:          len(reasons) == 0,
		NotReady:       reasons,
		Draining:       d.draining.Load(),
		LeaseMode:      mode.String(),
		StoreReachable: reachable,
		CallsInFlight:  d.gateway.InFlight() + int(d.forwardsInFlight.Load()),
	}
}

// detectHolder reports whether any pool of the region has a holder, or the region
// has no pools. A VM that has not seen a holder since its start is not ready, so
// that callers use another VM. Once it has seen one it stays ready when holders are
// missing, and refuses the calls of these pools.
func (d *Daemon) detectHolder(now time.Time) bool {
	holders := d.Holders(now)
	found := len(holders) == 0 || lo.ContainsBy(holders, func(h operatorapi.Holder) bool { return h.Holder != "" })
	if found && d.config.Current() != nil {
		d.holderSeen.Store(true)
	}
	return found
}

// Targets implements operatorapi.Process.
func (d *Daemon) Targets(now time.Time) []operatorapi.Target {
	return lo.Map(d.holder.Describe(now), func(t operatorapi.Target, _ int) operatorapi.Target {
		t.Holder = d.settings.ID
		return t
	})
}

// Holders implements operatorapi.Process.
func (d *Daemon) Holders(now time.Time) []operatorapi.Holder {
	snap := d.config.Current()
	if snap == nil {
		return nil
	}
	var out []operatorapi.Holder
	for _, svc := range snap.Document.Services {
		for _, id := range snap.Pools(svc.Name) {
			if snap.RegionOf(id.FailureDomain) == d.settings.Region {
				out = append(out, d.describeHolder(id))
			}
		}
	}
	return out
}

// describeHolder returns holder and epoch of a pool as this VM knows them. The
// counts are 0 unless this VM is the holder.
func (d *Daemon) describeHolder(id inventory.PoolID) operatorapi.Holder {
	h := operatorapi.Holder{Service: id.Service, FailureDomain: id.FailureDomain}
	if info, ok := d.leases.HolderOf(id); ok {
		h.Holder = string(info.ID)
		h.Epoch = d.leases.HolderEpoch(id)
	}
	if load := d.holder.Load(id); load != nil {
		h.Free = int(load.GetFree())
		h.Waiting = int(load.GetWaiting())
	}
	return h
}

// dump is the state of the process that Dump returns.
type dump struct {
	At       time.Time                 `json:"at"`
	Process  operatorapi.ProcessStatus `json:"process"`
	Version  uint64                    `json:"version"`
	Holders  []operatorapi.Holder      `json:"holders"`
	Targets  []operatorapi.Target      `json:"targets"`
	Siblings []siblingStatus           `json:"siblings"`
	Refusals []gateway.Refusal         `json:"refusals"` // the most recent ones, oldest first
}

// siblingStatus is a sibling as known from its heartbeats.
type siblingStatus struct {
	ID             string `json:"id"`
	Address        string `json:"address"`
	SilentMs       int64  `json:"silent_ms"` // time since the last heartbeat, -1: none received
	StoreReachable bool   `json:"store_reachable"`
	Leaving        bool   `json:"leaving"`
	Version        uint64 `json:"version"`
}

// Dump implements operatorapi.Process.
func (d *Daemon) Dump(now time.Time) any {
	out := dump{
		At:      now,
		Process: d.Status(now),
		Holders: d.Holders(now),
		Targets: d.Targets(now),

		Refusals: d.gateway.RecentRefusals(),
	}
	if snap := d.config.Current(); snap != nil {
		out.Version = snap.Version
	}
	for _, s := range d.members.Status() {
		silent := int64(-1)
		if !s.LastHeard.IsZero() {
			silent = now.Sub(s.LastHeard).Milliseconds()
		}
		out.Siblings = append(out.Siblings, siblingStatus{
			ID: string(s.Info.ID), Address: s.Info.SiblingAddress, SilentMs: silent,
			StoreReachable: s.StoreReachable, Leaving: s.Leaving, Version: s.ConfigVersion,
		})
	}
	return out
}
