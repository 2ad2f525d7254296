package loadtest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// BoundMark is part of the id of every request with one home region. Ids are in
// paths, headers and answers, so that a search of recorded bytes finds
// requests that left their home region.
const BoundMark = "-bound-"

// Arrival is one call that is due at a time, whether or not the system keeps
// up.
type Arrival struct {
	At       time.Duration // after the start of the run
	ID       string
	Key      string // idempotency key; empty for idempotent requests
	Route    *Route
	Tenant   string
	Region   string   // region of the caller's entry VMs
	Home     []string // regions that may see the request; empty: all
	Draw     uint64   // random bits to pick an entry VM
	Measured bool
}

// Body returns the request body, which holds the request id.
func (a *Arrival) Body() []byte {
	if a.Route.BodyBytes == 0 {
		return nil
	}
	head := fmt.Sprintf("id=%s ", a.ID)
	return []byte(head + strings.Repeat("x", max(0, a.Route.BodyBytes-len(head))))
}

// Schedule draws all arrivals of the scenario. It depends on the scenario and
// its seed alone. Arrivals within a phase form a Poisson process; callers that
// wake are spread evenly at random over one second.
func (s *Scenario) Schedule() []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	snapshot := inventory.NewSnapshot(0, s.Document(nil))
	var arrivals []Arrival
	start := 0.0
	add := func(at float64, p *Phase) {
		if len(arrivals) < s.MaxCalls {
			arrivals = append(arrivals, s.draw(rng, snapshot, at, p))
		}
	}
	for i := range s.Phases {
		p := &s.Phases[i]
		for range p.Wake {
			add(start+rng.Float64()*min(1, p.Seconds), p)
		}
		if p.CallsPerS > 0 {
			for at := rng.ExpFloat64() / p.CallsPerS; at < p.Seconds; at += rng.ExpFloat64() / p.CallsPerS {
				add(start+at, p)
			}
		}
		start += p.Seconds
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range arrivals {
		arrivals[i].ID = fmt.Sprintf("%s-%d-%06d", s.Name, s.Seed, i)
		if len(arrivals[i].Home) == 1 && len(s.Regions) > 1 {
			arrivals[i].ID += BoundMark + arrivals[i].Home[0]
		}
		if arrivals[i].Route.NonIdempotent {
			arrivals[i].Key = "key-" + arrivals[i].ID
		}
	}
	return arrivals
}

func (s *Scenario) draw(rng *rand.Rand, snapshot *inventory.Snapshot, at float64, p *Phase) Arrival {
	route := pickWeighted(rng, s.Routes, func(r *Route) float64 { return r.Weight })
	tenant := pickWeighted(rng, s.Tenants, func(t *Tenant) float64 { return t.Weight })
	known, _ := snapshot.Route(route.Method, route.Path)
	home, bound := snapshot.HomeRegions(known, tenant.Name)
	if bound && len(home) == 0 { // no region may serve it, so nobody asks
		tenant = &Tenant{Name: "other"}
		home, _ = snapshot.HomeRegions(known, tenant.Name)
	}
	regions := home
	if len(regions) == 0 {
		for _, r := range s.Regions {
			regions = append(regions, r.Name)
		}
	}
	return Arrival{
		At:    time.Duration(at * float64(time.Second)),
		Route: route, Tenant: tenant.Name, Home: home,
		Region: regions[rng.IntN(len(regions))],
		Draw:   rng.Uint64(), Measured: !p.Unmeasured,
	}
}

func pickWeighted[T any](rng *rand.Rand, items []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range items {
		total += weight(&items[i])
	}
	x := rng.Float64() * total
	last := &items[0]
	for i := range items {
		w := weight(&items[i])
		if w <= 0 {
			continue
		}
		last = &items[i]
		if x -= w; x < 0 {
			break
		}
	}
	return last
}

// TargetAddress is a target of the scenario at its address.
type TargetAddress struct {
	Service string
	inventory.Target
}

// Document returns the routing configuration of the scenario with targets.
func (s *Scenario) Document(targets []TargetAddress) *inventory.Document {
	doc := &inventory.Document{}
	for i, r := range s.Regions {
		doc.Regions = append(doc.Regions, inventory.Region{Name: r.Name, Store: r.Store})
		for _, other := range s.Regions[:i] {
			doc.Links = append(doc.Links, inventory.Link{Regions: [2]string{other.Name, r.Name}})
		}
	}
	for _, d := range s.FailureDomains {
		doc.FailureDomains = append(doc.FailureDomains, inventory.FailureDomain{Name: d.Name, Region: d.Region})
	}
	for _, v := range s.Services {
		svc := inventory.Service{Name: v.Name, Slots: v.Slots}
		for _, t := range targets {
			if t.Service == v.Name {
				svc.Targets = append(svc.Targets, t.Target)
			}
		}
		doc.Services = append(doc.Services, svc)
	}
	for _, r := range s.Routes {
		doc.Rules.Routes = append(doc.Rules.Routes, inventory.Route{
			Name: r.Name, PathPrefix: r.Path, Methods: []string{r.Method}, Service: r.Service,
			HomeRegions: r.HomeRegions, NonIdempotent: r.NonIdempotent, DeadlineMs: r.DeadlineMs,
		})
	}
	for _, t := range s.Tenants {
		if len(t.HomeRegions) > 0 {
			doc.Rules.Tenants = append(doc.Rules.Tenants, inventory.Tenant{Name: t.Name, HomeRegions: t.HomeRegions})
		}
	}
	doc.SetDefaults()
	return doc
}
