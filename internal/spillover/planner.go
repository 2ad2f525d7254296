package spillover

import (
	"maps"
	"slices"
	"time"
)

const (
	// usableShare is the part of the room that is planned with. Close to full use, requests
	// wait for a free slot for longer than their goals allow.
	usableShare = 0.85
	// contendedFrom and contendedUntil are the shares of a region's room from which its slots are
	// divided among regions, and below which they no longer are. The gap keeps a demand that
	// varies by chance from switching back and forth.
	contendedFrom  = 0.75
	contendedUntil = 0.6
	// offerGrowth is the part of a failure domain's room by which its offer may grow in a second.
	// It shrinks without delay, since its own requests go first.
	offerGrowth = 0.25
	// minChange is the relative change of a share below which the former one is kept.
	minChange = 0.1
)

// Limits are the operators' limits.
type Limits struct {
	// MaxShare is the largest share of the requests of a failure domain that may leave its
	// region although servers of the region could serve them. 0 switches that off.
	MaxShare float64
	// BytesPerSecond bounds the bytes of these requests and their answers on the link between two
	// regions, for each service and each direction of leaving. 0 stands for no limit.
	BytesPerSecond float64
}

// Planner makes the plans for one service at one VM. It is not safe for concurrent use.
type Planner struct {
	limits    Limits
	at        time.Time
	forecasts map[forecastKey]*Forecast
	offers    map[string]float64   // by failure domain, in slots
	contended map[string]bool      // by region
	leaves    map[leaveKey]float64 // former decisions in slots
}

type forecastKey struct {
	domain string
	class  string
}

type leaveKey struct{ from, to string }

// NewPlanner returns a Planner without history.
func NewPlanner(limits Limits) *Planner {
	return &Planner{
		limits: limits, forecasts: map[forecastKey]*Forecast{}, offers: map[string]float64{},
		contended: map[string]bool{}, leaves: map[leaveKey]float64{},
	}
}

// domainState is a Domain with what the planner derives from it.
type domainState struct {
	Domain
	total  float64            // all demand that arrives in it
	own    float64            // demand that the servers of its region may serve
	mobile map[string]float64 // the part of own that another region may serve too, by that region
	bound  map[string]float64 // demand that has to go to another region, by that region
	// displaced is true if its region has no room at all, so that bound includes demand that the
	// region may serve.
	displaced    bool
	offer        float64
	rest         float64 // demand for which it has no room itself
	bytesPerSlot float64
}

// Plan returns the plan for the present state. It must be called at regular intervals.
func (p *Planner) Plan(now time.Time, domains []Domain) *Plan {
	states := make([]*domainState, 0, len(domains))
	rooms := map[string]float64{}
	for _, d := range sortedDomains(domains) {
		if d.Trouble != "" {
			d.Room = usableInTrouble(d)
		}
		rooms[d.Region] += d.Room
		states = append(states, &domainState{Domain: d})
	}
	for _, s := range states {
		p.spreadDemand(now, s, rooms)
	}
	p.makeOffers(now, states, rooms)
	plan := &Plan{regions: map[string]*regionPlan{}}
	claims := p.claims(states, rooms, plan)
	p.divide(states, rooms, claims, plan)
	p.at = now
	return plan
}

// usableInTrouble returns the room of a failure domain in trouble for requests that must be
// served in its region: servers of an evacuated one get none, those of a domain that lost VMs or
// contact are still there.
func usableInTrouble(d Domain) float64 {
	if d.Trouble == Evacuated || d.Trouble == NoServers {
		return 0
	}
	return d.Room
}

// spreadDemand divides the demand of a failure domain into what its region may serve and what
// has to go to other regions.
func (p *Planner) spreadDemand(now time.Time, s *domainState, rooms map[string]float64) {
	s.bound, s.mobile = map[string]float64{}, map[string]float64{}
	present, bytes := 0.0, 0.0
	defer func() {
		if present > 0 {
			s.bytesPerSlot = bytes / present
		}
	}()
	for _, d := range s.Demand {
		present, bytes = present+d.Slots, bytes+d.Bytes
		slots := p.forecast(now, s.Name, d)
		s.total += slots
		if d.allows(s.Region) && (rooms[s.Region] > 0 || !otherRoom(d, s.Region, rooms)) {
			s.own += slots
			for region := range rooms {
				if region != s.Region && d.allows(region) {
					s.mobile[region] += slots
				}
			}
			continue
		}
		s.displaced = s.displaced || d.allows(s.Region)
		sum := 0.0
		for region, room := range rooms {
			if d.allows(region) {
				sum += room
			}
		}
		for region, room := range rooms {
			if sum > 0 && d.allows(region) {
				s.bound[region] += slots * room / sum
			}
		}
	}
}

// otherRoom reports whether another region than the given one may serve a class and has room.
func otherRoom(d Demand, region string, rooms map[string]float64) bool {
	for other, room := range rooms {
		if other != region && room > 0 && d.allows(other) {
			return true
		}
	}
	return false
}

// forecast returns the larger of the present demand and the one expected.
func (p *Planner) forecast(now time.Time, domain string, d Demand) float64 {
	key := forecastKey{domain, classKey(d.Regions)}
	f, ok := p.forecasts[key]
	if !ok {
		f = &Forecast{}
		p.forecasts[key] = f
	}
	f.Observe(now, d.Slots)
	return max(d.Slots, f.Expect(now))
}

// makeOffers sets what each failure domain can serve for others, and what it cannot serve of
// its own.
func (p *Planner) makeOffers(now time.Time, states []*domainState, rooms map[string]float64) {
	incoming := map[string]float64{} // demand bound to a region from outside
	for _, s := range states {
		for region, slots := range s.bound {
			incoming[region] += slots
		}
	}
	elapsed := min(max(now.Sub(p.at).Seconds(), 0), 1)
	for _, s := range states {
		need := s.own
		if rooms[s.Region] > 0 {
			need += incoming[s.Region] * s.Room / rooms[s.Region]
		}
		s.rest = max(need-usableShare*s.Room, 0)
		free := max(usableShare*s.Room-need, 0)
		if s.Trouble != "" || !s.Known {
			free = 0
		}
		s.offer = min(free, p.offers[s.Name]+offerGrowth*s.Room*elapsed)
		p.offers[s.Name] = s.offer
	}
}

// claims decides how much leaves each failure domain, and returns the demand for the servers of
// each region by the region from which it comes.
func (p *Planner) claims(states []*domainState, rooms map[string]float64, plan *Plan) map[leaveKey]claim {
	out := map[leaveKey]claim{}
	rest := map[string]float64{}
	granted := map[leaveKey]float64{}
	for _, s := range states {
		rest[s.Name] = s.rest
	}
	p.match(states, rest, granted, func(a, b *domainState) bool { return a.Region == b.Region })
	p.match(states, rest, granted, func(a, b *domainState) bool { return a.Region != b.Region && a.Known && b.Known })
	for _, from := range states {
		for _, to := range states {
			if from != to {
				plan.Pairs = append(plan.Pairs, p.pair(from, to, granted[leaveKey{from.Name, to.Name}], rooms))
			}
		}
		left := 0.0
		for _, to := range states {
			if g := granted[leaveKey{from.Name, to.Name}]; to.Region != from.Region && g > 0 {
				left += g
				out[leaveKey{from.Region, to.Region}] = out[leaveKey{from.Region, to.Region}].plus(claim{all: g, leave: g})
			}
		}
		out[leaveKey{from.Region, from.Region}] = out[leaveKey{from.Region, from.Region}].plus(claim{all: max(from.own-left, 0)})
		for region, slots := range from.bound {
			c := claim{all: slots}
			if from.displaced {
				c.leave = slots
			}
			out[leaveKey{from.Region, region}] = out[leaveKey{from.Region, region}].plus(c)
		}
	}
	return out
}

// claim is demand of one region for the servers of a region.
type claim struct{ all, leave float64 }

func (c claim) plus(o claim) claim { return claim{c.all + o.all, c.leave + o.leave} }

// ask is what one failure domain asks of the offer of another one.
type ask struct {
	from, to *domainState
	slots    float64
}

// match assigns offers to the demand in rest among the pairs of failure domains that fit. All
// that ask for the same offer get the same share of what they ask.
func (p *Planner) match(states []*domainState, rest map[string]float64, granted map[leaveKey]float64, fits func(a, b *domainState) bool) {
	var asks []ask
	for _, from := range states {
		total := 0.0
		for _, to := range states {
			if from != to && fits(from, to) {
				total += to.offer
			}
		}
		if total == 0 {
			continue
		}
		for _, to := range states {
			if from == to || !fits(from, to) {
				continue
			}
			limit := rest[from.Name]
			if from.Region != to.Region {
				limit = min(limit, p.limits.MaxShare*from.own, from.mobile[to.Region])
			}
			asks = append(asks, ask{from, to, limit * to.offer / total})
		}
	}
	limitSum(asks, func(a ask) (string, float64, float64) { return a.to.Name, a.slots, a.to.offer })
	if limit := p.limits.BytesPerSecond; limit > 0 {
		limitSum(asks, func(a ask) (string, float64, float64) {
			if a.from.Region == a.to.Region {
				return "", 0, limit
			}
			return a.from.Region + " " + a.to.Region, a.slots * a.from.bytesPerSlot, limit
		})
	}
	for _, a := range asks {
		slots := p.steady(leaveKey{a.from.Name, a.to.Name}, a.slots)
		granted[leaveKey{a.from.Name, a.to.Name}] = slots
		rest[a.from.Name] = max(rest[a.from.Name]-slots, 0)
	}
}

// limitSum scales the asks down that belong to the same key, so that the sum of their amounts
// does not exceed the limit of the key.
func limitSum(asks []ask, of func(ask) (key string, amount, limit float64)) {
	sums := map[string]float64{}
	for _, a := range asks {
		key, amount, _ := of(a)
		sums[key] += amount
	}
	for i, a := range asks {
		if key, _, limit := of(a); sums[key] > limit {
			asks[i].slots *= limit / sums[key]
		}
	}
}

// steady returns the former decision if the new one is a little larger. A smaller one counts at
// once, because it may be due to an offer that was withdrawn or to a limit.
func (p *Planner) steady(key leaveKey, slots float64) float64 {
	if former := p.leaves[key]; slots >= former && slots < (1+minChange)*former {
		return former
	}
	p.leaves[key] = slots
	return slots
}

func (p *Planner) pair(from, to *domainState, slots float64, rooms map[string]float64) Pair {
	out := Pair{From: from.Name, To: to.Name, Slots: slots, Age: max(from.Age, to.Age)}
	switch {
	case slots > 0:
		out.Reason = Overflow
	case to.Trouble != "":
		out.Reason = to.Trouble
	case !to.Known || !from.Known:
		out.Reason = Unknown
	case from.Region != to.Region && p.limits.MaxShare == 0:
		out.Reason = SwitchedOff
	case from.rest == 0:
		out.Reason = OwnSuffices
	case from.Region != to.Region && to.offer > 0:
		out.Reason = LinkFull
	default:
		out.Reason = NoOffer
	}
	if bound := from.bound[to.Region]; bound > 0 && rooms[to.Region] > 0 {
		out.Slots += bound * to.Room / rooms[to.Region]
		switch {
		case from.displaced:
			out.Reason = Overflow
		case slots == 0:
			out.Reason = HomeRegions
		}
	}
	if from.total > 0 {
		out.Share = min(out.Slots/from.total, 1)
	}
	return out
}

// divide sets the parts of the servers of each region for the regions with claims to them.
func (p *Planner) divide(states []*domainState, rooms map[string]float64, claims map[leaveKey]claim, plan *Plan) {
	known := map[string]bool{}
	for _, s := range states {
		if _, ok := known[s.Region]; !ok {
			known[s.Region] = true
		}
		known[s.Region] = known[s.Region] && (s.Known || s.Trouble == Evacuated || s.Trouble == NoServers)
	}
	regions := slices.Sorted(maps.Keys(rooms))
	for _, to := range regions {
		total, allKnown := 0.0, true
		for _, from := range regions {
			total += claims[leaveKey{from, to}].all
			allKnown = allKnown && known[from]
		}
		if rooms[to] <= 0 || !allKnown {
			delete(p.contended, to)
			continue
		}
		limit := contendedFrom
		if p.contended[to] {
			limit = contendedUntil
		}
		p.contended[to] = total >= limit*rooms[to]
		r := &regionPlan{contended: p.contended[to]}
		whole := rooms[to]
		if r.contended {
			whole = total
		}
		taken := 0.0
		for i, from := range regions {
			c := claims[leaveKey{from, to}]
			next := taken + c.all/whole
			if r.contended && i == len(regions)-1 {
				next = 1
			}
			r.parts = append(r.parts, part{region: from, from: taken, until: next, mayLeave: c.leave > 0})
			taken = next
		}
		plan.regions[to] = r
	}
}
