package inventory

import (
	"cmp"
	"slices"
	"strings"
)

// Snapshot is a compiled Document of one version. It is immutable and may be
// read from any goroutine.
type Snapshot struct {
	Version  uint64
	Document *Document

	routes       []*Route // longest prefix first
	routesByName map[string]*Route
	services     map[string]*Service
	domains      map[string]*FailureDomain
	tenants      map[string]*Tenant
	outOfService map[string]bool
	pools        map[PoolID][]Target
	poolsOf      map[string][]PoolID
	storeRegion  string
	claimPools   map[string][]PoolID // by region
}

// NewSnapshot compiles doc, which must have passed Validate. The caller must
// not change doc afterwards.
func NewSnapshot(version uint64, doc *Document) *Snapshot {
	s := &Snapshot{
		Version:      version,
		Document:     doc,
		routesByName: map[string]*Route{},
		services:     map[string]*Service{},
		domains:      map[string]*FailureDomain{},
		tenants:      map[string]*Tenant{},
		outOfService: map[string]bool{},
		pools:        map[PoolID][]Target{},
		poolsOf:      map[string][]PoolID{},
	}
	for i := range doc.Regions {
		if doc.Regions[i].Store {
			s.storeRegion = doc.Regions[i].Name
		}
	}
	for i := range doc.FailureDomains {
		s.domains[doc.FailureDomains[i].Name] = &doc.FailureDomains[i]
	}
	for i := range doc.Services {
		s.addService(&doc.Services[i])
	}
	for i := range doc.Rules.Routes {
		s.routes = append(s.routes, &doc.Rules.Routes[i])
		s.routesByName[doc.Rules.Routes[i].Name] = &doc.Rules.Routes[i]
	}
	slices.SortStableFunc(s.routes, func(a, b *Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	for i := range doc.Rules.Tenants {
		s.tenants[doc.Rules.Tenants[i].Name] = &doc.Rules.Tenants[i]
	}
	for _, name := range doc.Rules.OutOfService {
		s.outOfService[name] = true
	}
	s.addClaimPartitions()
	return s
}

func (s *Snapshot) addService(svc *Service) {
	s.services[svc.Name] = svc
	for _, t := range svc.Targets {
		id := PoolID{Service: svc.Name, FailureDomain: t.FailureDomain}
		if _, ok := s.pools[id]; !ok {
			s.poolsOf[svc.Name] = append(s.poolsOf[svc.Name], id)
		}
		s.pools[id] = append(s.pools[id], t)
	}
}

// Route returns the route of a request, or false.
func (s *Snapshot) Route(method, path string) (*Route, bool) {
	for _, r := range s.routes {
		if !matchesPrefix(path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return nil, false
}

// matchesPrefix matches whole path segments: /permit does not match /permits.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// HomeRegions returns the regions that a request of route and tenant is bound
// to. bound is false when any region may serve it. A bound request with an
// empty list may be served nowhere.
func (s *Snapshot) HomeRegions(route *Route, tenant string) (regions []string, bound bool) {
	regions = route.HomeRegions
	bound = len(regions) > 0
	t, ok := s.tenants[tenant]
	if !ok || len(t.HomeRegions) == 0 {
		return regions, bound
	}
	if !bound {
		return t.HomeRegions, true
	}
	var both []string
	for _, r := range regions {
		if slices.Contains(t.HomeRegions, r) {
			both = append(both, r)
		}
	}
	return both, true
}

// Service returns a service by name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Pools returns the pools of a service. The caller must not change the slice.
func (s *Snapshot) Pools(service string) []PoolID { return s.poolsOf[service] }

// Targets returns the targets of a pool. The caller must not change the slice.
func (s *Snapshot) Targets(id PoolID) []Target { return s.pools[id] }

// RegionOf returns the region of a failure domain, or "".
func (s *Snapshot) RegionOf(domain string) string {
	if d, ok := s.domains[domain]; ok {
		return d.Region
	}
	return ""
}

// OutOfService reports whether operators took a failure domain out.
func (s *Snapshot) OutOfService(domain string) bool { return s.outOfService[domain] }

// StoreRegion returns the region of the platform's store.
func (s *Snapshot) StoreRegion() string { return s.storeRegion }

// RouteByName returns a route by name, or nil.
func (s *Snapshot) RouteByName(name string) *Route { return s.routesByName[name] }
