package entry

import (
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/platform"
)

// refreshRollouts decodes the orders and the progress of roll-outs. The caller must hold mu.
func (d *deploymentState) refreshRollouts(now time.Time) {
	orders, progress := map[string]canary.Order{}, map[string]canary.Progress{}
	for _, row := range d.operator.Rows() {
		service, ok := platform.RolloutService(row.Key)
		if !ok || row.LatestRemoved {
			continue
		}
		o, err := platform.DecodeRollout(service, row.Value, row.Version)
		if err != nil {
			d.reportRow(row, err)
			continue
		}
		orders[service] = o
	}
	for _, row := range d.status.Rows() {
		service, ok := platform.ProgressService(row.Key)
		if !ok {
			continue
		}
		p, err := platform.DecodeProgress(row.Value)
		if err != nil {
			d.reportRow(row, err)
			continue
		}
		progress[service] = p
	}
	needed := false
	for service, o := range orders {
		p, ok := progress[service]
		ok = ok && p.Order == o.Row
		needed = needed || !ok || p.State == canary.Running
		if ok && p.State == canary.Completed && d.completed[service] != o.Row {
			d.completed[service] = o.Row
			d.replaceServers(o)
		}
	}
	d.statusNeeded.Store(needed)
	d.rollouts.Set(now, orders, progress)
}

// replaceServers records that the servers of a completed roll-out that are not of its target version
// have been replaced. Servers that are registered later may be used, whatever their version.
func (d *deploymentState) replaceServers(o canary.Order) {
	replaced := maps.Clone(*d.replaced.Load())
	for _, s := range d.fleet.Servers() {
		if s.Service == o.Service && s.Version != o.Target {
			replaced[s.ID] = s.Incarnation
		}
	}
	d.replaced.Store(&replaced)
}

// Replaced reports whether a roll-out has replaced a server.
func (d *deploymentState) Replaced(s fleet.Server) bool {
	incarnation, ok := (*d.replaced.Load())[s.ID]
	return ok && incarnation == s.Incarnation
}

func (d *deploymentState) reportRow(row replica.Row, err error) {
	if d.reportedVersions[row.Key] == row.Version {
		return
	}
	d.reportedVersions[row.Key] = row.Version
	_ = level.Error(d.log).Log("msg", "unreadable row about a roll-out ignored", "key", row.Key, "row_version", row.Version, "err", err)
}
