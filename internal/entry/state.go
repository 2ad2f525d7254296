package entry

import (
	"bytes"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/outage"
	"goldcresthinge.example/goldcresthinge/internal/registration"
	"goldcresthinge.example/goldcresthinge/internal/replica"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/suspendclock"
	"goldcresthinge.example/goldcresthinge/platform"
)

// lapseGracePeriod is how long servers whose rows expired in an outage of the store stay in use after
// it. A live server writes its row again within two seconds.
const lapseGracePeriod = 2200 * time.Millisecond

// lostVMTimeout is how long a VM counts as registered whose row the store has lost. A live VM writes it
// again well before.
const lostVMTimeout = maxSilence

// deploymentState is what this VM knows of the deployment, decoded from its
// copies of the store's tables. Its methods are safe for concurrent use.
type deploymentState struct {
	self fleet.VM
	log  log.Logger
	// siblingsAsked reports whether this VM has what its siblings know of the operators' rows and the
	// store may have lost. Set before the first request.
	siblingsAsked func() bool
	operator      *replica.Table
	registry      *replica.Table
	members       *replica.Table
	status        *replica.Table // read while there is a roll-out
	fleet         *fleet.ServerTable

	routes    atomic.Pointer[routing.Table]
	evacuated atomic.Pointer[map[string]bool]
	vms       atomic.Pointer[[]fleet.VM]
	regions   atomic.Pointer[map[string]string] // region by failure domain

	// heartbeatInterval is the time.Duration after which a live backend server writes its row again; 0:
	// not known.
	heartbeatInterval atomic.Int64

	// configurationAsOf is the suspendclock.Instant as of which routes and evacuated are proven to be
	// up to date; 0: never.
	configurationAsOf atomic.Int64

	rollouts     *canary.Tracker                   // set before the first refresh
	statusNeeded atomic.Bool                       // there is a roll-out without a verdict
	replaced     atomic.Pointer[map[string]uint64] // incarnations of servers that roll-outs have replaced, by ID

	vmsSince atomic.Pointer[time.Time] // time of the first read of the table of VMs; nil before

	mu                    sync.Mutex // held by refresh; guards the fields below
	seenChanges           [4]uint64
	lostEvacuations       map[string]bool // failure domains that are out of service although the store has lost that
	configurationReadable bool            // the latest row of the configuration could be decoded
	outages               outage.Watch
	lapseEnd              time.Time                    // time until which servers whose rows have expired stay in use
	lostUntil             map[*replica.Table]time.Time // end of the time for which lost rows of a table count
	servers               *registration.Book
	decodedRows           map[string]decodedRow // rows of the registry by key
	completed             map[string]uint64     // order of the latest completed roll-out by service
	// reportedVersions holds the versions of the unreadable rows about roll-outs that have been
	// logged, by key.
	reportedVersions map[string]uint64
}

// decodedRow is a row of the registry and what was decoded from it.
type decodedRow struct {
	stored replica.Row
	row    registration.Row
}

// isOf reports whether the decoded row is that of r. The latest value of a row may be
// received from a sibling later than its version.
func (d decodedRow) isOf(r replica.Row) bool {
	return d.stored.Era == r.Era && d.stored.Version == r.Version && d.stored.LatestRemoved == r.LatestRemoved && bytes.Equal(d.stored.Latest, r.Latest)
}

func newDeploymentState(self fleet.VM, logger log.Logger) *deploymentState {
	d := &deploymentState{
		self:          self,
		log:           log.With(logger, "part", "world"),
		operator:      replica.NewOrdered(platform.TableOperator, nil, olderConfiguration),
		registry:      replica.NewOrdered(platform.TableServers, sameServer, olderRegistration),
		members:       replica.New(platform.TableVMs, nil),
		status:        replica.New(platform.TableStatus, nil),
		fleet:         fleet.NewServerTable(),
		lostUntil:     map[*replica.Table]time.Time{},
		siblingsAsked: func() bool { return true },
		completed:     map[string]uint64{}, reportedVersions: map[string]uint64{},
	}
	d.servers = registration.NewBook(func() time.Duration { return time.Duration(d.heartbeatInterval.Load()) })
	d.replaced.Store(&map[string]uint64{})
	d.evacuated.Store(&map[string]bool{})
	d.vms.Store(&[]fleet.VM{self})
	d.regions.Store(&map[string]string{})
	return d
}

// sameServer reports whether two values of a backend server's row describe the
// same state. Servers write their rows with every heartbeat, mostly without a
// change of state.
func sameServer(a, b []byte) bool {
	x, errX := platform.DecodeServer("same", a)
	y, errY := platform.DecodeServer("same", b)
	return errX == nil && errY == nil && x.SameState(y)
}

// olderRegistration reports whether a backend server wrote row value a before b. It is a
// replica.OlderFunc.
func olderRegistration(_ string, a, b []byte) bool {
	x, err := platform.DecodeServer("ordered", a)
	if err != nil {
		return true
	}
	y, err := platform.DecodeServer("ordered", b)
	return err == nil && registration.Older(x, y)
}

// olderConfiguration reports whether operators wrote configuration a before b. Their other rows have no
// order. It is a replica.OlderFunc.
func olderConfiguration(key string, a, b []byte) bool {
	if key != platform.KeyConfiguration {
		return false
	}
	x, err := platform.ConfigurationVersion(a)
	if err != nil {
		return true
	}
	y, err := platform.ConfigurationVersion(b)
	return err == nil && (x < y || x == y && bytes.Equal(a, b))
}

func (d *deploymentState) tables() []*replica.Table {
	return []*replica.Table{d.operator, d.registry, d.members, d.status}
}

// Region returns the region of a failure domain, or "" if it is not known.
func (d *deploymentState) Region(domain string) string { return (*d.regions.Load())[domain] }

// VMs returns the registered VMs, including this one. The caller must not
// change the slice.
func (d *deploymentState) VMs() []fleet.VM { return *d.vms.Load() }

// neededByRegion reports whether requests that arrive in region may have to be
// sent to servers of a service in the region of this VM, because a route of the
// service excludes the region in which they arrive.
func (d *deploymentState) neededByRegion(service, region string) bool {
	routes := d.routes.Load()
	return routes != nil && routes.AnyRouteExcludes(service, region)
}

// hasTeams reports whether the configuration has teams. Only then the age of copies is proven to
// siblings.
func (d *deploymentState) hasTeams() bool {
	routes := d.routes.Load()
	return routes != nil && routes.Teams() != nil
}

// Evacuated reports whether operators have taken a failure domain out of
// service.
func (d *deploymentState) Evacuated(domain string) bool { return (*d.evacuated.Load())[domain] }

// refresh decodes the tables whose copies have changed since the latest call.
func (d *deploymentState) refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLost(now, d.registry, lapseGracePeriod)
	d.removeLost(now, d.members, lostVMTimeout)
	provenAsOf := d.operator.ProvenAsOf() // before the rows are read, so that they are as new
	for i, t := range d.tables() {
		_, _, changed := t.State()
		unchanged := changed == d.seenChanges[i]
		d.seenChanges[i] = changed
		switch t {
		case d.operator:
			if !unchanged {
				d.configurationReadable = d.refreshOperator()
				d.refreshRollouts(now)
			}
			if d.configurationReadable {
				d.configurationAsOf.Store(int64(provenAsOf))
			}
		case d.registry:
			d.updateLapseEnd()
			if !unchanged || d.servers.Pending() {
				d.refreshServers(now)
			}
		case d.members:
			if !unchanged {
				d.refreshVMs()
			}
		case d.status:
			if !unchanged {
				d.refreshRollouts(now)
			}
		}
	}
}

// removeLost removes rows of a table that the store has lost, once their writers have had time to write
// them again.
func (d *deploymentState) removeLost(now time.Time, t *replica.Table, timeout time.Duration) {
	until, found := d.lostUntil[t]
	switch {
	case !found && t.LostCount() > 0:
		d.lostUntil[t] = now.Add(timeout)
		_ = level.Warn(d.log).Log("msg", "store came back from a copy without some rows; they count for now", "table", t.Name(), "for_ms", timeout.Milliseconds())
	case found && !now.Before(until):
		delete(d.lostUntil, t)
		for _, r := range t.RemoveLost() {
			_ = level.Info(d.log).Log("msg", "lost row was not written again", "table", t.Name(), "key", r.Key)
		}
	}
}

// updateLapseEnd determines for how long servers whose rows have expired stay in use.
func (d *deploymentState) updateLapseEnd() {
	h := d.registry.History()
	end, change := d.outages.Update(h, lapseGracePeriod)
	d.lapseEnd = end
	switch change {
	case outage.Began:
		_ = level.Warn(d.log).Log("msg", "store was unavailable; servers whose rows expired meanwhile stay in use for now",
			"available_since", h.Since.Format(time.RFC3339Nano))
	case outage.Withdrawn:
		_ = level.Info(d.log).Log("msg", "a sibling has read the store throughout; servers without a row are not used any longer",
			"read_since", h.Since.Format(time.RFC3339Nano))
	}
}

// recordOutage records that a read of the store, sent at sentAt, failed in a way that shows that the
// store is unavailable.
func (d *deploymentState) recordOutage(sentAt time.Time) {
	for _, t := range d.tables() {
		t.RecordOutage(sentAt)
	}
}

// configurationAge returns an upper bound of the age of the configuration that routes holds
// afterwards.
func (d *deploymentState) configurationAge() time.Duration {
	asOf := suspendclock.Instant(d.configurationAsOf.Load())
	if asOf == 0 || !d.siblingsAsked() {
		return math.MaxInt64
	}
	return suspendclock.Now().Sub(asOf)
}

// refreshOperator decodes the rows that operators wrote. It returns false if the configuration
// cannot be read, in which case the former one stays in force.
func (d *deploymentState) refreshOperator() bool {
	evacuated, lost := map[string]bool{}, map[string]bool{}
	for _, row := range d.operator.Rows() {
		if domain, ok := platform.EvacuatedDomain(row.Key); ok && !row.LatestRemoved {
			evacuated[domain] = true
			if row.Lost {
				lost[domain] = true
			}
		}
	}
	previous := *d.evacuated.Load()
	for domain := range evacuated {
		if !previous[domain] {
			_ = level.Info(d.log).Log("msg", "failure domain taken out of service", "failure_domain", domain)
		}
	}
	for domain := range lost {
		if !d.lostEvacuations[domain] {
			_ = level.Warn(d.log).Log("msg", "store came back from a copy without this evacuation; it stays in force until operators write or remove it", "failure_domain", domain)
		}
	}
	d.lostEvacuations = lost
	for domain := range previous {
		if !evacuated[domain] {
			_ = level.Info(d.log).Log("msg", "failure domain returned to service", "failure_domain", domain)
		}
	}
	d.evacuated.Store(&evacuated)
	row, ok := d.operator.Get(platform.KeyConfiguration)
	if !ok {
		return true
	}
	c, err := platform.DecodeConfiguration(row.Value)
	if err != nil {
		_ = level.Error(d.log).Log("msg", "unreadable configuration ignored", "row_version", row.Version, "era", row.Era, "err", err)
	} else {
		d.useConfiguration(c, row)
	}
	if row.Latest != nil {
		// The store came back from a copy with an older configuration, or has an unreadable one.
		if latest, err := platform.DecodeConfiguration(row.Latest); err == nil {
			d.useConfiguration(latest, row)
		}
	}
	return err == nil
}

// useConfiguration puts a configuration into force unless it is older than the present one.
func (d *deploymentState) useConfiguration(c *routing.Configuration, row replica.Row) {
	if current := d.routes.Load(); current != nil && current.Version() >= c.Version {
		return
	}
	d.routes.Store(routing.NewTable(c))
	teams, keys := 0, 0
	if c.Teams != nil {
		teams, keys = c.Teams.Len(), c.Teams.KeyCount()
	}
	_ = level.Info(d.log).Log("msg", "configuration in force", "version", c.Version, "row_version", row.Version,
		"era", row.Era, "lost", row.Lost, "routes", len(c.Routes), "services", len(c.Services), "teams", teams, "keys", keys)
}

func (d *deploymentState) refreshServers(now time.Time) {
	asOf := d.registry.History().AsOf // before the rows are read, so that they are as new
	rows := d.registry.Rows()
	decoded := make(map[string]decodedRow, len(rows))
	registered := make([]registration.Row, 0, len(rows))
	for _, row := range rows {
		entry, ok := d.decodedRows[row.Key]
		if !ok || !entry.isOf(row) {
			entry = decodedRow{row, decodeRegistration(row)}
		}
		decoded[row.Key] = entry
		registered = append(registered, entry.row)
	}
	d.decodedRows = decoded
	servers, events := d.servers.Update(now, asOf, registered, d.lapseEnd)
	for _, e := range events {
		d.logRegistration(e)
	}
	d.fleet.SetServers(servers)
}

// decodeRegistration decodes a row of the registry.
func decodeRegistration(row replica.Row) registration.Row {
	r := registration.Row{ID: row.Key}
	if r.Server, r.Err = platform.DecodeServer(row.Key, row.Value); r.Err != nil || row.Latest == nil {
		return r
	}
	latest, err := platform.DecodeServer(row.Key, row.Latest)
	if err != nil {
		return r // only a sibling that reads rows in another way has sent it
	}
	r.Superseded, r.Latest, r.LatestRemoved = true, latest, row.LatestRemoved
	return r
}

func (d *deploymentState) logRegistration(e registration.Event) {
	s := e.Server
	switch e.Kind {
	case registration.Registered:
		_ = level.Info(d.log).Log("msg", "backend server registered", "server", s.ID, "service", s.Service, "failure_domain", s.FailureDomain,
			"version", s.Version, "draining", s.Draining, "cold_ms", s.ColdFor.Milliseconds(), "incarnation", s.Incarnation, "sequence", s.Sequence)
	case registration.Removed:
		_ = level.Info(d.log).Log("msg", "backend server gone", "server", e.ID, "service", s.Service, "incarnation", s.Incarnation, "sequence", s.Sequence)
	case registration.Lapsed:
		_ = level.Info(d.log).Log("msg", "row of the registry expired while the store was unavailable; server stays in use for now", "server", e.ID)
	case registration.Unreadable:
		_ = level.Warn(d.log).Log("msg", "unreadable row of the registry ignored", "err", e.Err)
	case registration.HeldBack:
		_ = level.Warn(d.log).Log("msg", "row of the registry is older than what the server has written since, and has no effect", "server", e.ID,
			"draining", s.Draining, "incarnation", s.Incarnation, "sequence", s.Sequence)
	}
}

func (d *deploymentState) refreshVMs() {
	vms := []fleet.VM{d.self}
	for _, row := range d.members.Rows() {
		v, err := platform.DecodeVM(row.Key, row.Value)
		if err != nil {
			_ = level.Warn(d.log).Log("msg", "unreadable row in the table of VMs ignored", "err", err)
			continue
		}
		if v.ID != d.self.ID {
			vms = append(vms, v)
		}
	}
	if len(vms) != len(d.VMs()) {
		_ = level.Info(d.log).Log("msg", "number of registered VMs changed", "vms", len(vms))
	}
	d.vms.Store(&vms)
	if d.vmsSince.Load() == nil {
		now := time.Now()
		d.vmsSince.Store(&now)
	}
}

// vmsKnownFor reports whether the table of VMs was first read at least age ago.
func (d *deploymentState) vmsKnownFor(age time.Duration) bool {
	since := d.vmsSince.Load()
	return since != nil && time.Since(*since) >= age
}

// vmsInDomain returns the VMs of list in a failure domain.
func vmsInDomain(list []fleet.VM, domain string) []fleet.VM {
	return lo.Filter(list, func(v fleet.VM, _ int) bool { return v.FailureDomain == domain })
}
