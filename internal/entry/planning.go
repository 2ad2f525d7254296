package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"goldcresthinge.example/goldcresthinge/internal/counts"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/settings"
	"goldcresthinge.example/goldcresthinge/internal/spillover"
)

const (
	// planInterval is the time between two publications of counts, and the shortest time between
	// two plans.
	planInterval = 100 * time.Millisecond
	// planIntervalPerServer bounds the processor time of plans, which grows with the number of
	// servers: the time between two plans is at least this for each server.
	planIntervalPerServer = 500 * time.Microsecond
	// refusedSpan is the time span in which refused requests are counted.
	refusedSpan = 500 * time.Millisecond
	// overloadShare is the share of the requests of a class that are refused for lack of room from
	// which its service counts as overloaded at all VMs that share its servers.
	overloadShare = 0.1
	// minRefused is the number of refused requests below which a service does not count as
	// overloaded.
	minRefused = 3
	// speedTime is the time constant with which the speed of the servers of a service in a
	// failure domain is averaged. Servers change speed several times a second.
	speedTime = time.Second
	// lostVMsWindow is the time for which the largest number of VMs of a failure domain is
	// remembered, in order to notice that it has lost half of them.
	lostVMsWindow = 15 * time.Second
	// classSeparator separates service and regions in the name of a counts.Subject. No name
	// contains it.
	classSeparator = "@"
)

// Indexes of the values that VMs publish for a class of requests of a service.
const (
	countArrivals = iota // requests in the latest second
	countWork            // time that they take at servers of usual speed, in ms
	countBytes           // bytes of the bodies of requests and answers in the latest second
	countRefused         // requests in the latest half second for which there was no room in time
)

// planning records the demand at this VM, shares it with the other VMs and keeps the plans for
// where requests go. It is safe for concurrent use.
type planning struct {
	state  *deploymentState
	board  *counts.Board
	limits spillover.Limits
	scope  tally.Scope
	// onOverload is called while a service is overloaded at the VMs together.
	onOverload func(service string, until time.Time)

	mu       sync.Mutex
	demand   map[string]*classDemand // by name of the subject
	planners map[string]*spillover.Planner
	speeds   map[serviceDomain]*speedAverage
	vms      map[string]*vmCount // by failure domain
	views    []fleet.View        // buffer of makePlans
	// plannedAt is the time of the latest plans, and planPause the least time until the next.
	plannedAt time.Time
	planPause time.Duration

	plans atomic.Pointer[map[string]*spillover.Plan] // by service
}

type serviceDomain struct{ service, domain string }

type classDemand struct{ arrivals, work, bytes, refused *counts.Meter }

type speedAverage struct {
	at    time.Time
	speed float64
}

type vmCount struct {
	most int
	at   time.Time
}

func newPlanning(state *deploymentState, board *counts.Board, options settings.EntrySettings, scope tally.Scope) *planning {
	p := &planning{
		state: state, board: board, scope: scope.SubScope("spillover"),
		limits:     spillover.Limits{MaxShare: options.SpilloverMaxShare, BytesPerSecond: options.SpilloverMaxBytesPerSecond},
		onOverload: func(string, time.Time) {},
		demand:     map[string]*classDemand{}, planners: map[string]*spillover.Planner{},
		speeds: map[serviceDomain]*speedAverage{}, vms: map[string]*vmCount{},
	}
	p.plans.Store(&map[string]*spillover.Plan{})
	return p
}

// plan returns the present plan for a service, or nil.
func (p *planning) plan(service string) *spillover.Plan { return (*p.plans.Load())[service] }

// Arrived implements front.DemandRecorder.
func (p *planning) Arrived(service string, allowsRegion func(string) bool, work time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.class(service, allowsRegion, now)
	d.arrivals.Add(now, 1)
	d.work.Add(now, uint32(min(work.Milliseconds(), 1<<20))) //nolint:gosec // bounded
}

// Refused implements front.DemandRecorder.
func (p *planning) Refused(service string, allowsRegion func(string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.class(service, allowsRegion, now).refused.Add(now, 1)
}

// Answered implements front.DemandRecorder.
func (p *planning) Answered(service string, allowsRegion func(string) bool, bytes int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limits.BytesPerSecond == 0 {
		return // the bytes limit nothing, so they need not be sent to other VMs
	}
	p.class(service, allowsRegion, now).bytes.Add(now, uint32(min(max(bytes, 0), 1<<24))) //nolint:gosec // bounded
}

// class returns the demand of a class of requests. The caller must hold mu.
func (p *planning) class(service string, allowsRegion func(string) bool, now time.Time) *classDemand {
	name := p.subjectName(service, allowsRegion)
	d, ok := p.demand[name]
	if !ok {
		d = &classDemand{counts.NewMeter(time.Second, now), counts.NewMeter(time.Second, now), counts.NewMeter(time.Second, now), counts.NewMeter(refusedSpan, now)}
		p.demand[name] = d
	}
	return d
}

// subjectName returns the name of a class. It has the regions that may serve it, unless all may.
func (p *planning) subjectName(service string, allowsRegion func(string) bool) string {
	regions := lo.Uniq(lo.Values(*p.state.regions.Load()))
	allowed := lo.Filter(regions, func(region string, _ int) bool { return allowsRegion(region) })
	if len(allowed) == len(regions) {
		return service
	}
	slices.Sort(allowed)
	return service + classSeparator + strings.Join(allowed, ",")
}

func parseSubject(name string) (service string, homes []string) {
	service, list, found := strings.Cut(name, classSeparator)
	if !found {
		return service, nil
	}
	return service, strings.Split(list, ",")
}

// update publishes the counts of this VM and makes new plans. It does nothing in a deployment
// with a single region.
func (p *planning) update(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(lo.Uniq(lo.Values(*p.state.regions.Load()))) < 2 {
		return
	}
	for name, d := range p.demand {
		v := counts.Values{countArrivals: d.arrivals.Count(now), countWork: d.work.Count(now), countBytes: d.bytes.Count(now), countRefused: d.refused.Count(now)}
		p.board.Publish(counts.Subject{Kind: counts.Service, Name: name}, v)
		if v.At(countArrivals)+v.At(countBytes)+v.At(countRefused) == 0 {
			delete(p.demand, name)
		}
	}
	classes := map[string][]string{} // names of the subjects by service
	for _, s := range p.board.Subjects(counts.Service) {
		service, _ := parseSubject(s.Name)
		classes[service] = append(classes[service], s.Name)
	}
	for service, names := range classes {
		if p.overloaded(now, names) {
			p.onOverload(service, now.Add(2*planInterval))
		}
	}
	if now.Sub(p.plannedAt) >= p.planPause {
		p.makePlans(now, classes)
	}
}

// makePlans makes the plans of the services with the given classes. The caller must hold mu.
func (p *planning) makePlans(now time.Time, classes map[string][]string) {
	plans := map[string]*spillover.Plan{}
	servers := 0
	for service, names := range classes {
		p.views = p.state.fleet.Views(p.views[:0], service, now)
		servers += len(p.views)
		domains := p.domains(now, service, names, p.views)
		if !severalRegions(domains) {
			continue
		}
		planner, ok := p.planners[service]
		if !ok {
			planner = spillover.NewPlanner(p.limits)
			p.planners[service] = planner
		}
		plans[service] = planner.Plan(now, domains)
	}
	maps.DeleteFunc(p.planners, func(service string, _ *spillover.Planner) bool { return plans[service] == nil })
	p.plans.Store(&plans)
	p.plannedAt, p.planPause = now, time.Duration(servers)*planIntervalPerServer
	p.report(plans)
}

// overloaded reports whether requests of a class are refused for lack of room at the VMs that share
// the servers with those of this region. Requests that other regions alone may serve share them
// with all VMs.
func (p *planning) overloaded(now time.Time, names []string) bool {
	for _, name := range names {
		_, homes := parseSubject(name)
		refused, arrivals := 0.0, 0.0
		for domain, region := range *p.state.regions.Load() {
			if len(homes) == 0 && region != p.state.self.Region {
				continue
			}
			if c, known := p.countsOf(now, counts.Subject{Kind: counts.Service, Name: name}, domain); known {
				refused += float64(c.Values.At(countRefused))
				arrivals += float64(c.Values.At(countArrivals)) * refusedSpan.Seconds()
			}
		}
		if refused >= minRefused && refused >= overloadShare*arrivals {
			return true
		}
	}
	return false
}

// report sets the metrics for the failure domain of this VM.
func (p *planning) report(plans map[string]*spillover.Plan) {
	for service, plan := range plans {
		for _, pair := range plan.Pairs {
			if pair.From == p.state.self.FailureDomain {
				p.scope.Tagged(map[string]string{"service": service, "to": pair.To}).Gauge("share").Update(pair.Share)
			}
		}
	}
}

// pairDump is the decision for a service and a pair of failure domains in the state dump.
type pairDump struct {
	Service string           `json:"service"`
	From    string           `json:"from"`
	To      string           `json:"to"`
	Share   float64          `json:"share"`
	Slots   float64          `json:"slots"`
	Reason  spillover.Reason `json:"reason"`
	AgeMs   int64            `json:"age_ms"`
}

func (p *planning) dump() []pairDump {
	var out []pairDump
	plans := *p.plans.Load()
	for _, service := range slices.Sorted(maps.Keys(plans)) {
		for _, pair := range plans[service].Pairs {
			out = append(out, pairDump{service, pair.From, pair.To, pair.Share, pair.Slots, pair.Reason, pair.Age.Milliseconds()})
		}
	}
	return out
}

func severalRegions(domains []spillover.Domain) bool {
	return slices.ContainsFunc(domains, func(d spillover.Domain) bool { return d.Region != domains[0].Region })
}

// domains returns the state of the failure domains with regard to a service.
func (p *planning) domains(now time.Time, service string, names []string, views []fleet.View) []spillover.Domain {
	regions := *p.state.regions.Load()
	out := make([]spillover.Domain, 0, len(regions))
	for name, region := range regions {
		d := spillover.Domain{Name: name, Region: region, Known: true}
		for _, subject := range names {
			_, homes := parseSubject(subject)
			c, known := p.countsOf(now, counts.Subject{Kind: counts.Service, Name: subject}, name)
			d.Known = d.Known && known
			d.Age = max(d.Age, c.Age)
			d.Demand = append(d.Demand, spillover.Demand{Regions: homes, Slots: float64(c.Values.At(countWork)) / 1000, Bytes: float64(c.Values.At(countBytes))})
		}
		p.addRoom(now, service, &d, views)
		if d.Trouble == "" && p.lostVMs(now, name) {
			d.Trouble = spillover.VMsLost
		}
		out = append(out, d)
	}
	return out
}

// countsOf returns the counts of a subject in a failure domain, in this VM's own with its own.
// Without contact to the other VMs of its own domain, a VM knows too little.
func (p *planning) countsOf(now time.Time, s counts.Subject, domain string) (counts.Counts, bool) {
	c, known := p.board.InDomain(s, domain, now)
	if domain != p.state.self.FailureDomain {
		return c, known
	}
	own := p.board.Own(s)
	sum := make(counts.Values, max(len(own), len(c.Values)))
	for i := range sum {
		sum[i] = own.At(i) + c.Values.At(i)
	}
	c.Values = sum
	return c, known || len(vmsInDomain(p.state.VMs(), domain)) <= 1
}

// addRoom sets the room of a failure domain, and its trouble if its servers have any.
func (p *planning) addRoom(now time.Time, service string, d *spillover.Domain, views []fleet.View) {
	slots, coldSlots, speed := 0, 0, 0.0
	for i := range views {
		v := &views[i]
		s := v.Server
		if s.FailureDomain != d.Name || s.Draining || v.Quarantined || v.Reading.Health == fleet.Unreachable || v.Reading.Health == fleet.Unmeasured {
			continue
		}
		if v.Reading.Cold(now) {
			coldSlots += s.Slots
			continue
		}
		slots += s.Slots
		speed += float64(s.Slots) / max(v.Reading.Load.Slowdown, 1)
	}
	if slots > 0 {
		d.Room = float64(slots) * p.averageSpeed(now, serviceDomain{service, d.Name}, speed/float64(slots))
	}
	switch {
	case p.state.Evacuated(d.Name):
		d.Trouble = spillover.Evacuated
	case slots+coldSlots == 0:
		d.Trouble = spillover.NoServers
	case coldSlots > slots:
		d.Trouble = spillover.Cold
	}
}

func (p *planning) averageSpeed(now time.Time, key serviceDomain, speed float64) float64 {
	a, ok := p.speeds[key]
	if !ok {
		a = &speedAverage{now, speed}
		p.speeds[key] = a
	}
	weight := min(now.Sub(a.at).Seconds()/speedTime.Seconds(), 1)
	a.speed, a.at = a.speed+weight*(speed-a.speed), now
	return a.speed
}

// lostVMs reports whether a failure domain has lost half of its VMs recently.
func (p *planning) lostVMs(now time.Time, domain string) bool {
	n := len(vmsInDomain(p.state.VMs(), domain))
	c, ok := p.vms[domain]
	if !ok || n >= c.most || now.Sub(c.at) > lostVMsWindow {
		p.vms[domain] = &vmCount{n, now}
		return false
	}
	return 2*n <= c.most
}
