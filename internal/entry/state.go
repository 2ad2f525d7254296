package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// readGap is the pause between two reads of the registry from which entries
	// may have lapsed for want of a store rather than of a server.
	readGap = 1800 * time.Millisecond
	// lapsedFor is how long servers whose entries lapsed during such a pause
	// stay in use: living servers are back within two seconds.
	lapsedFor = 2200 * time.Millisecond
)

// world is what this VM knows of the deployment, decoded from the copies of the
// store's tables.
type world struct {
	self     fleet.VM
	log      log.Logger
	operator *replica.Table
	registry *replica.Table
	members  *replica.Table
	fleet    *fleet.ServerTable

	routes    atomic.Pointer[routing.Table]
	evacuated atomic.Pointer[map[string]bool]
	vms       atomic.Pointer[[]fleet.VM]
	regions   atomic.Pointer[map[string]string] // by failure domain

	mu          sync.Mutex // held by refresh
	seenChanges [3]uint64
	registryAs  time.Time // of the last refresh
	troubleEnd  time.Time
	lapsed      map[string]lapse
	reported    map[string]bool // unusable entries that were logged
}

type lapse struct {
	server fleet.Server
	until  time.Time
}

func newWorld(self fleet.VM, logger log.Logger) *world {
	w := &world{
		self:     self,
		log:      log.With(logger, "part", "world"),
		operator: replica.New(platform.TableOperator, nil),
		registry: replica.New(platform.TableServers, sameServer),
		members:  replica.New(platform.TableVMs, nil),
		fleet:    fleet.NewServerTable(),
		lapsed:   map[string]lapse{},
		reported: map[string]bool{},
	}
	w.evacuated.Store(&map[string]bool{})
	w.vms.Store(&[]fleet.VM{self})
	w.regions.Store(&map[string]string{})
	return w
}

// sameServer compares two values of a backend server's row. Rows are written
// with every heartbeat, mostly without a change of meaning.
func sameServer(a, b []byte) bool {
	x, errX := platform.DecodeServer("same", a)
	y, errY := platform.DecodeServer("same", b)
	return errX == nil && errY == nil && x.SameState(y)
}

func (w *world) tables() []*replica.Table {
	return []*replica.Table{w.operator, w.registry, w.members}
}

// Region returns the region of a failure domain, or "".
func (w *world) Region(domain string) string { return (*w.regions.Load())[domain] }

// VMs returns the registered VMs, this one included.
func (w *world) VMs() []fleet.VM { return *w.vms.Load() }

// needed reports whether requests that arrive in region may have to go to
// servers of a service in this VM's region, because a route of the service is
// bound to regions other than theirs.
func (w *world) needed(service, region string) bool {
	routes := w.routes.Load()
	return routes != nil && routes.AnyRouteExcludes(service, region)
}

// Evacuated reports whether operators took a failure domain out of service.
func (w *world) Evacuated(domain string) bool { return (*w.evacuated.Load())[domain] }

// refresh decodes the copies that changed.
func (w *world) refresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, t := range w.tables() {
		_, asOf, changed := t.State()
		same := changed == w.seenChanges[i]
		w.seenChanges[i] = changed
		switch t {
		case w.operator:
			if !same {
				w.refreshOperator()
			}
		case w.registry:
			w.noteGap(now, asOf)
			if !same || len(w.lapsed) > 0 {
				w.refreshServers(now)
			}
		case w.members:
			if !same {
				w.refreshVMs()
			}
		}
	}
}

// noteGap remembers that the registry could not be read for some time.
func (w *world) noteGap(now, asOf time.Time) {
	if !w.registryAs.IsZero() && asOf.Sub(w.registryAs) > readGap {
		w.troubleEnd = now.Add(lapsedFor)
		_ = level.Warn(w.log).Log("msg", "registry readable again", "gap_ms", asOf.Sub(w.registryAs).Milliseconds())
	}
	if asOf.After(w.registryAs) {
		w.registryAs = asOf
	}
}

func (w *world) refreshOperator() {
	evacuated := map[string]bool{}
	for _, row := range w.operator.Rows() {
		if domain, ok := platform.EvacuatedDomain(row.Key); ok {
			evacuated[domain] = true
		}
	}
	before := *w.evacuated.Load()
	for domain := range evacuated {
		if !before[domain] {
			_ = level.Info(w.log).Log("msg", "failure domain taken out of service", "failure_domain", domain)
		}
	}
	for domain := range before {
		if !evacuated[domain] {
			_ = level.Info(w.log).Log("msg", "failure domain returned", "failure_domain", domain)
		}
	}
	w.evacuated.Store(&evacuated)
	row, ok := w.operator.Get(platform.KeyConfiguration)
	if !ok {
		return
	}
	c, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		_ = level.Error(w.log).Log("msg", "configuration ignored", "row_version", row.Version, "err", err)
		return
	}
	if current := w.routes.Load(); current != nil && current.Version() >= c.Version {
		return
	}
	w.routes.Store(routing.NewTable(c))
	_ = level.Info(w.log).Log("msg", "configuration in force", "version", c.Version, "row_version", row.Version,
		"routes", len(c.Routes), "services", len(c.Services))
}

func (w *world) refreshServers(now time.Time) {
	before := map[string]fleet.Server{}
	for _, s := range w.fleet.Servers() {
		before[s.ID] = s
	}
	var servers []fleet.Server
	present := map[string]bool{}
	for _, row := range w.registry.Rows() {
		s, err := platform.DecodeServer(row.Key, row.Value)
		if err != nil {
			if !w.reported[row.Key] {
				w.reported[row.Key] = true
				_ = level.Warn(w.log).Log("msg", "registry entry ignored", "err", err)
			}
			continue
		}
		present[s.ID] = true
		delete(w.lapsed, s.ID)
		servers = append(servers, s)
		if old, ok := before[s.ID]; !ok || !old.SameState(s) {
			_ = level.Info(w.log).Log("msg", "backend server registered", "server", s.ID, "service", s.Service,
				"failure_domain", s.FailureDomain, "draining", s.Draining, "cold_ms", s.ColdFor.Milliseconds())
		}
	}
	for id, s := range before {
		if present[id] {
			continue
		}
		if _, ok := w.lapsed[id]; !ok && now.Before(w.troubleEnd) && !s.Draining {
			w.lapsed[id] = lapse{server: s, until: w.troubleEnd}
			_ = level.Info(w.log).Log("msg", "entry lapsed while the store was away", "server", id)
		}
		if l, ok := w.lapsed[id]; ok && now.Before(l.until) {
			servers = append(servers, s)
			continue
		}
		delete(w.lapsed, id)
		_ = level.Info(w.log).Log("msg", "backend server gone", "server", id, "service", s.Service)
	}
	w.fleet.SetServers(servers)
}

func (w *world) refreshVMs() {
	vms := []fleet.VM{w.self}
	for _, row := range w.members.Rows() {
		v, err := platform.DecodeVM(row.Key, row.Value)
		if err != nil {
			_ = level.Warn(w.log).Log("msg", "entry of a VM ignored", "err", err)
			continue
		}
		if v.ID != w.self.ID {
			vms = append(vms, v)
		}
	}
	if len(vms) != len(w.VMs()) {
		_ = level.Info(w.log).Log("msg", "VMs registered", "vms", len(vms))
	}
	w.vms.Store(&vms)
}

// vmsOf returns the VMs of list in a failure domain.
func vmsOf(list []fleet.VM, domain string) []fleet.VM {
	return lo.Filter(list, func(v fleet.VM, _ int) bool { return v.FailureDomain == domain })
}
