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

// RegionBoundMarker is part of the id of every region-bound request, that is, a
// request with exactly one home region in a scenario with several regions. Paths,
// headers and answers contain the id. A search for the marker in the bytes
// recorded on the link between regions therefore finds requests that left their
// home region.
const RegionBoundMarker = "-bound-"

// Arrival is one scheduled call. Its time does not depend on how fast the system
// answers earlier calls.
type Arrival struct {
	At          time.Duration // after the start of the run
	ID          string
	Key         string // idempotency key; empty for idempotent requests
	Route       *Route
	Tenant      string
	Region      string   // region of the caller's entry VMs
	HomeRegions []string // regions that may process the request; empty: all
	RandomBits  uint64   // selects the entry VM
	Measured    bool     // included in the latencies of the report; false in a phase with Unmeasured
}

// Body returns the request body, which starts with the request id. It is nil if
// the route has no body.
func (a *Arrival) Body() []byte {
	if a.Route.BodyBytes == 0 {
		return nil
	}
	prefix := fmt.Sprintf("id=%s ", a.ID)
	return []byte(prefix + strings.Repeat("x", max(0, a.Route.BodyBytes-len(prefix))))
}

// Schedule generates all arrivals of the scenario, ordered by time. The result
// depends only on the scenario and its seed. Arrivals within a phase form a Poisson
// process. The Wake calls, which a phase has in addition, are uniformly
// distributed over its first second. There are at most MaxCalls arrivals.
func (s *Scenario) Schedule() []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	snapshot := inventory.NewSnapshot(0, s.Document(nil))
	var arrivals []Arrival
	start := 0.0
	add := func(at float64, p *Phase) {
		if len(arrivals) < s.MaxCalls {
			arrivals = append(arrivals, s.drawArrival(rng, snapshot, at, p))
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
		if len(arrivals[i].HomeRegions) == 1 && len(s.Regions) > 1 {
			arrivals[i].ID += RegionBoundMarker + arrivals[i].HomeRegions[0]
		}
		if arrivals[i].Route.NonIdempotent {
			arrivals[i].Key = "key-" + arrivals[i].ID
		}
	}
	return arrivals
}

// drawArrival returns an arrival at the given time, in seconds after the start of
// the run, with random route, tenant and region. The caller sets its ID and Key.
func (s *Scenario) drawArrival(rng *rand.Rand, snapshot *inventory.Snapshot, at float64, p *Phase) Arrival {
	route := pickWeighted(rng, s.Routes, func(r *Route) float64 { return r.Weight })
	tenant := pickWeighted(rng, s.Tenants, func(t *Tenant) float64 { return t.Weight })
	configured, _ := snapshot.Route(route.Method, route.Path)
	home, bound := snapshot.HomeRegions(configured, tenant.Name)
	// If the home regions of the route and of the tenant have none in common, no
	// region may process the call. It is then made for a tenant that the
	// configuration does not contain, which has no home regions of its own. No
	// scenario should define a tenant with this name.
	if bound && len(home) == 0 {
		tenant = &Tenant{Name: "other"}
		home, _ = snapshot.HomeRegions(configured, tenant.Name)
	}
	regions := home
	if len(regions) == 0 {
		for _, r := range s.Regions {
			regions = append(regions, r.Name)
		}
	}
	return Arrival{
		At:    time.Duration(at * float64(time.Second)),
		Route: route, Tenant: tenant.Name, HomeRegions: home,
		Region:     regions[rng.IntN(len(regions))],
		RandomBits: rng.Uint64(), Measured: !p.Unmeasured,
	}
}

// pickWeighted returns a random item with a probability proportional to its weight.
// The slice items must not be empty.
func pickWeighted[T any](rng *rand.Rand, items []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range items {
		total += weight(&items[i])
	}
	x := rng.Float64() * total
	// Rounding can leave x at 0 or above after all weights are subtracted. The
	// result is then the last item with a positive weight.
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

// TargetAddress is a running target of the scenario, with its address and the
// name of its service.
type TargetAddress struct {
	Service string
	inventory.Target
}

// Document returns the configuration of the scenario for the load balancer, with
// the given targets and default values set.
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
