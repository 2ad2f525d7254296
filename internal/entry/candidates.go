package entry

import (
	"slices"
	"sync"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/fleet"
	"goldcresthinge.example/goldcresthinge/internal/placement"
	"goldcresthinge.example/goldcresthinge/internal/quota"
	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/waitqueue"
	"goldcresthinge.example/goldcresthinge/platform"
)

const (
	// knownFor is the age of a reading up to which the server is known not to be
	// cold. Older ones are as good as none.
	knownFor = 1500 * time.Millisecond
)

// costs are the time that a server of another failure domain has to win.
// Another region adds two crossings of the link, whose bytes are dear.
// A new connection takes a round trip and may hold a slot for a moment.
var costs = placement.Penalties{
	SameRegion: 8 * time.Millisecond, OtherRegion: 200 * time.Millisecond, Connect: 8 * time.Millisecond,
}

// travelTime is the time of a request to a server, and newsLag the time from a
// change of a server's speed until this VM knows it, by distance: the one way of
// the users' sites (0.2, 1 and 12 ms), a measurement after the change, and the
// gaps between messages.
var (
	travelTime = [...]time.Duration{
		placement.SameDomain: time.Millisecond, placement.SameRegion: 2 * time.Millisecond,
		placement.OtherRegion: 13 * time.Millisecond,
	}
	newsLag = [...]time.Duration{
		placement.SameDomain: 12 * time.Millisecond, placement.SameRegion: 20 * time.Millisecond,
		placement.OtherRegion: 35 * time.Millisecond,
	}
)

// candidates supplies placement with servers. It implements waitqueue.CandidateSource and
// front.ServerTracker.
type candidates struct {
	world  *world
	duties *duties
	bounds func() platform.Bounds
	routes func() *routing.Table
	poke   func() // tells siblings of changes
	// connected tells whether an idle connection to a server is kept.
	connected func(server string) bool

	buf sync.Pool // *[]fleet.View
}

// Candidates implements waitqueue.CandidateSource.
func (c *candidates) Candidates(now time.Time, a *waitqueue.AcquireRequest) []placement.Candidate {
	buf, _ := c.buf.Get().(*[]fleet.View)
	if buf == nil {
		buf = &[]fleet.View{}
	}
	defer c.buf.Put(buf)
	*buf = c.world.fleet.Views((*buf)[:0], a.Service, now)
	out := make([]placement.Candidate, 0, len(*buf))
	for i := range *buf {
		v := &(*buf)[i]
		region := c.world.Region(v.Server.FailureDomain)
		if v.Server.Draining || v.Quarantined || v.Reading.Health == fleet.Unreachable ||
			c.world.Evacuated(v.Server.FailureDomain) || !a.AllowsRegion(region) ||
			slices.Contains(a.Tried, v.Server.ID) {
			continue
		}
		distance := c.distance(v.Server.FailureDomain, region)
		out = append(out, placement.Candidate{
			ID: v.Server.ID, Distance: distance,
			Slots: v.Server.Slots, Busy: v.Busy, Slowdown: v.Reading.Load.Slowdown,
			SpeedKnown: v.Reading.SpeedKnown(now, now.Add(travelTime[distance]), newsLag[distance]),
			Age:        now.Sub(v.Reading.At), Blocked: c.blocked(now, v),
			Unhealthy: v.Reading.Health == fleet.Unhealthy, FailureShare: v.FailureShare,
			ShedShare:    v.ShedShare,
			Connected:    c.connected(v.Server.ID),
			TieBreakRank: c.duties.rank(v.Server.ID),
		})
	}
	return out
}

func (c *candidates) distance(domain, region string) placement.Distance {
	switch {
	case domain == c.world.self.FailureDomain:
		return placement.SameDomain
	case region == c.world.self.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// blocked reports whether a server that is or may be cold has had this VM's share
// of the second.
func (c *candidates) blocked(now time.Time, v *fleet.View) bool {
	known := now.Sub(v.Reading.At) <= knownFor
	cold := v.Reading.Cold(now)
	if known && !cold {
		return false
	}
	b := c.bounds()
	w := quota.Warmup{Factor: b.ColdFactor, Slack: b.ColdSlack}
	if routes := c.routes(); routes != nil {
		svc, _ := routes.Service(v.Server.Service)
		w.Rate = svc.ColdRate
	}
	standing := c.duties.standing(v.Server.ID)
	standing.Known, standing.Cold = known, cold
	return v.SentInSecond >= quota.RequestsPerSecond(now, w, standing)
}

// RequestStarted implements waitqueue.CandidateSource.
func (c *candidates) RequestStarted(server string, now time.Time) {
	c.world.fleet.RequestStarted(server, now)
	c.poke()
}

// Server implements front.ServerTracker.
func (c *candidates) Server(id string) (fleet.Server, bool) { return c.world.fleet.Server(id) }

// RequestEnded implements front.ServerTracker.
func (c *candidates) RequestEnded(id string, now time.Time, r fleet.Result) {
	c.world.fleet.RequestEnded(id, now, r)
	c.poke()
}

// ObserveSlowdown implements front.ServerTracker.
func (c *candidates) ObserveSlowdown(id string, at time.Time, slowdown float64) {
	c.world.fleet.ObserveSlowdown(id, at, slowdown)
}

// ConnectionRefused implements front.ServerTracker.
func (c *candidates) ConnectionRefused(id string, at time.Time) {
	c.world.fleet.Observe(id, fleet.Reading{At: at, Health: fleet.Unreachable, Misses: 1})
}
