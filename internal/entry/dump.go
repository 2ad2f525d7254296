package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/usage"
)

// dump is the state of the process as served at /dump.
type dump struct {
	At            time.Time `json:"at"`
	VM            fleet.VM  `json:"vm"`
	Ready         bool      `json:"ready"`
	NotReady      string    `json:"not_ready,omitempty"`
	Relay         bool      `json:"relay"`
	Configuration uint64    `json:"configuration"`
	// ConfigurationAgeMs is the proven upper bound of the age of the configuration; absent if none
	// is known.
	ConfigurationAgeMs *int64 `json:"configuration_age_ms,omitempty"`
	Active             int64  `json:"active_requests"`
	Waiting            int    `json:"waiting_requests"`
	Connections        int64  `json:"connections_opened"`
	MemoryBytes        uint64 `json:"memory_bytes"`
	// Teams are the teams with a usage limit that have asked this VM lately, and UsageVMs the VMs that
	// share the limits.
	Teams    []usage.TeamUse `json:"teams,omitempty"`
	UsageVMs quota.Group     `json:"usage_vms"`
	Tables   []tableDump     `json:"tables"`
	VMs      []fleet.VM      `json:"vms"`
	Servers  []fleet.View    `json:"servers"`
	// Rollouts holds the roll-outs and what this VM bases its decisions on.
	Rollouts []canary.Status `json:"rollouts,omitempty"`
	// Spillover holds the plans for requests that leave their failure domain.
	Spillover []pairDump `json:"spillover,omitempty"`
}

type tableDump struct {
	Name    string `json:"name"`
	Era     string `json:"era"` // in which the store gave out Version
	Version uint64 `json:"version"`
	AgeMs   int64  `json:"age_ms"`
	Rows    int    `json:"rows"`
	// Lost is the number of rows that count although the store came back from a copy without them.
	Lost int `json:"lost,omitempty"`
}

func (e *Entry) serveDump(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	ready, reason := e.ready()
	d := dump{
		At: now, VM: e.self, Ready: ready, NotReady: reason, Relay: e.syncer.IsRelay(),
		Active: e.activeRequests.Load(), Waiting: e.queue.Len(), Connections: e.pool.Dialed(), MemoryBytes: processMemory(),
		Rollouts: e.state.rollouts.Status(now),
		VMs:      e.state.VMs(), Servers: e.state.fleet.All(now), Spillover: e.planning.dump(),
		Tables: lo.Map(e.state.tables(), func(t *replica.Table, _ int) tableDump {
			_, asOf, _ := t.State()
			p, rows := t.Position(), t.Rows()
			return tableDump{
				Name: t.Name(), Era: p.Era.String(), Version: p.Version, AgeMs: now.Sub(asOf).Milliseconds(), Rows: len(rows),
				Lost: lo.CountBy(rows, func(r replica.Row) bool { return r.Lost }),
			}
		}),
	}
	if routes := e.state.routes.Load(); routes != nil {
		d.Configuration = routes.Version()
	}
	d.Teams, d.UsageVMs = e.usage.Teams(now)
	if age := e.state.configurationAge(); age < math.MaxInt64 {
		ms := age.Milliseconds()
		d.ConfigurationAgeMs = &ms
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		_ = level.Debug(e.log).Log("msg", "write of the state dump failed", "err", err)
	}
}
