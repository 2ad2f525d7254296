package entry

import (
	"slices"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/canary"
	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// maxReadingAge is the age up to which a reading shows whether the server
	// is cold. With an older reading or none, the server may be cold.
	maxReadingAge = 1500 * time.Millisecond
	// maxPeriodAge is the age up to which the period of a service is used before it is
	// determined again. The period itself hardly changes.
	maxPeriodAge = time.Second
)

// penalties are the times by which a server has to be better to be chosen than one of
// this VM's failure domain to which it has an idle connection. A server of another
// region adds two crossings of the link between the regions, whose traffic is
// expensive. A new connection takes a round trip and may occupy a slot for a moment.
var penalties = placement.Penalties{
	SameRegion: 8 * time.Millisecond, OtherRegion: 200 * time.Millisecond, Connect: 8 * time.Millisecond,
	Leaving: leavePenalty, SameRegionPerKB: 2 * time.Millisecond, OtherRegionPerKB: 10 * time.Millisecond,
}

// requestTravelTime is the time that a request takes to reach a server.
// speedChangeLag is the time from a change of a server's speed until this VM
// knows of it. Both depend on the distance. They are made up of the one-way
// network latency in the known deployments (0.2, 1 and 12 ms), the wait for a
// measurement after the change, and the gaps between messages of siblings.
var (
	requestTravelTime = [...]time.Duration{
		placement.SameDomain: time.Millisecond, placement.SameRegion: 2 * time.Millisecond,
		placement.OtherRegion: 13 * time.Millisecond,
	}
	speedChangeLag = [...]time.Duration{
		placement.SameDomain: 12 * time.Millisecond, placement.SameRegion: 20 * time.Millisecond,
		placement.OtherRegion: 35 * time.Millisecond,
	}
)

// candidates supplies placement with the servers that may get a request, and
// records the results of requests. It implements waitqueue.CandidateSource and
// front.ServerTracker and is safe for concurrent use.
type candidates struct {
	state          *deploymentState
	assignments    *probeAssignments
	bounds         func() platform.Bounds
	routes         func() *routing.Table
	notifySiblings func() // sends changes to siblings without delay; does not block
	// hasIdleConn reports whether an idle connection to a server is open.
	hasIdleConn func(server string) bool
	rollouts    *canary.Tracker

	planning *planning
	notices  *notices

	buf sync.Pool // *[]fleet.View

	periodMu sync.Mutex
	periods  map[string]servicePeriod // by service
}

// servicePeriod is the period of the speed changes of a service's servers as of a time.
type servicePeriod struct {
	period time.Duration
	asOf   time.Time
}

// speedPeriod returns the period with which servers of a service change speed, or 0.
func (c *candidates) speedPeriod(service string, now time.Time) time.Duration {
	c.periodMu.Lock()
	defer c.periodMu.Unlock()
	p, ok := c.periods[service]
	if !ok || now.Sub(p.asOf) >= maxPeriodAge {
		p = servicePeriod{c.state.fleet.Period(service), now}
		if c.periods == nil {
			c.periods = map[string]servicePeriod{}
		}
		c.periods[service] = p
	}
	return p.period
}

// Candidates implements waitqueue.CandidateSource.
func (c *candidates) Candidates(now time.Time, a *waitqueue.AcquireRequest) []placement.Candidate {
	buf, _ := c.buf.Get().(*[]fleet.View)
	if buf == nil {
		buf = &[]fleet.View{}
	}
	defer c.buf.Put(buf)
	*buf = c.state.fleet.Views((*buf)[:0], a.Service, now)
	out := make([]placement.Candidate, 0, len(*buf))
	period := c.speedPeriod(a.Service, now)
	spill, ownAllowed := c.planning.plan(a.Service), c.ownRegionAllowed(a)
	rollout := c.rollouts.Plan(a.Service, now)
	var versions []string // of the servers in out; only while there is a roll-out
	// Leaving servers are candidates only if no other server has room.
	var leaving []placement.Candidate
	var leavingVersions []string
	hasRoom := false
	drainTimeout := c.bounds().DrainTimeout
	for i := range *buf {
		v := &(*buf)[i]
		region := c.state.Region(v.Server.FailureDomain)
		if v.Server.Draining || v.Quarantined || v.Reading.Health == fleet.Unreachable ||
			c.state.Evacuated(v.Server.FailureDomain) || c.state.Replaced(v.Server) || !a.AllowsRegion(region) ||
			slices.Contains(a.Tried, v.Server.ID) || now.Before(v.PausedUntil) {
			continue
		}
		if c.unconfirmed(v) {
			continue
		}
		leaves := !v.LeavingSince.IsZero()
		if leaves && !mayServeUntilDrained(v, now, drainTimeout) {
			continue
		}
		distance := c.distance(v.Server.FailureDomain, region)
		candidate := placement.Candidate{
			ID: v.Server.ID, Distance: distance,
			Slots: v.Server.Slots, Busy: v.Busy, Slowdown: v.Reading.Load.Slowdown,
			SpeedKnown: v.Reading.SpeedKnown(now, now.Add(requestTravelTime[distance]), speedChangeLag[distance]),
			Age:        now.Sub(v.Reading.AsOf()), SpeedPeriod: period, Blocked: c.blocked(now, v),
			Unhealthy: v.Reading.Health == fleet.Unhealthy, FailureShare: v.FailureShare,
			ShedShare:    v.ShedShare,
			Connected:    c.hasIdleConn(v.Server.ID),
			TieBreakRank: c.assignments.rank(v.Server.ID),
		}
		if !c.applyPlan(spill, v, region, ownAllowed, &candidate) {
			continue
		}
		if leaves {
			leaving = append(leaving, candidate)
			leavingVersions = append(leavingVersions, v.Server.Version)
			continue
		}
		hasRoom = hasRoom || !candidate.Blocked && candidate.Busy < candidate.Slots
		out = append(out, candidate)
		if rollout.Mode != canary.AnyVersion {
			versions = append(versions, v.Server.Version)
		}
	}
	if !hasRoom {
		out, versions = append(out, leaving...), append(versions, leavingVersions...)
	}
	if rollout.Mode != canary.AnyVersion {
		return selectVersion(rollout, out, versions)
	}
	return out
}

// unconfirmed reports whether the row of a server is there again after it was removed and no measurement has
// shown since that the server stays. A server that leaves fails its health checks.
func (c *candidates) unconfirmed(v *fleet.View) bool {
	at := v.Server.ReturnedAt
	if at.IsZero() || v.Reading.Health == fleet.Healthy && v.Reading.At.After(at) {
		return false
	}
	routes := c.routes()
	if routes == nil {
		return true
	}
	svc, ok := routes.Service(v.Server.Service)
	return ok && svc.HealthPath != ""
}

func (c *candidates) distance(domain, region string) placement.Distance {
	switch {
	case domain == c.state.self.FailureDomain:
		return placement.SameDomain
	case region == c.state.self.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// blocked reports whether this VM must not send another request to a server now
// because the server is cold, or may be cold since there is no recent reading, and
// this VM has used up its share of the requests within a second; or because the server
// may have turned cold since the reading, and this VM has sent too many requests since.
func (c *candidates) blocked(now time.Time, v *fleet.View) bool {
	recent := now.Sub(v.Reading.AsOf()) <= maxReadingAge
	cold := v.Reading.Cold(now)
	if recent && !cold && v.SentUnconfirmed == 0 {
		return false
	}
	b := c.bounds()
	w := quota.Warmup{Factor: b.ColdFactor, Slack: b.ColdSlack}
	if routes := c.routes(); routes != nil {
		svc, _ := routes.Service(v.Server.Service)
		w.Rate = svc.ColdRate
	}
	if recent && !cold {
		return v.SentUnconfirmed >= quota.MaxUnconfirmed(w, quota.Confirmation{
			Age: now.Sub(v.Reading.AsOf()), Idle: v.Reading.Load.Running+v.Reading.Load.Waiting == 0, VMs: len(c.state.VMs()),
		})
	}
	sender := c.assignments.senderState(v.Server.ID)
	sender.Known, sender.Cold, sender.TurnedColdAt = recent, cold, v.TurnedColdAt
	return v.SentInSecond >= quota.RequestsPerSecond(now, w, sender)
}

// RequestStarted implements waitqueue.CandidateSource.
func (c *candidates) RequestStarted(server string, now time.Time) {
	c.state.fleet.RequestStarted(server, now)
	if c.rollouts.Active() {
		if s, ok := c.state.fleet.Server(server); ok {
			c.rollouts.RecordSend(s.Service, s.Version)
		}
	}
	c.notifySiblings()
}

// Server implements front.ServerTracker.
func (c *candidates) Server(id string) (fleet.Server, bool) { return c.state.fleet.Server(id) }

// RequestEnded implements front.ServerTracker.
func (c *candidates) RequestEnded(id string, incarnation uint64, now time.Time, r fleet.Result) {
	c.state.fleet.RequestEnded(id, incarnation, now, r)
	c.notifySiblings()
}

// ObserveSlowdown implements front.ServerTracker.
func (c *candidates) ObserveSlowdown(server fleet.Server, at time.Time, slowdown float64) {
	c.state.fleet.ObserveSlowdown(server, at, slowdown)
}

// ConnectionRefused implements front.ServerTracker.
func (c *candidates) ConnectionRefused(server fleet.Server, at time.Time) {
	c.state.fleet.Observe(server.ID, fleet.Reading{At: at, Health: fleet.Unreachable, Misses: 1, Incarnation: server.Incarnation})
}
