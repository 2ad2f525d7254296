package inventory

import (
	"cmp"
	"slices"
	"strings"
)

// Snapshot is one version of a Document together with indexes for look-ups. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	Version  uint64
	Document *Document

	routes          []*Route // longest path prefix first
	routesByName    map[string]*Route
	services        map[string]*Service
	domains         map[string]*FailureDomain
	tenants         map[string]*Tenant
	outOfService    map[string]bool
	pools           map[PoolID][]Target
	poolsByService  map[string][]PoolID
	storeRegion     string
	claimPartitions map[string][]PoolID // by region; only regions whose VMs keep claims in memory, see addClaimPartitions
}

// NewSnapshot builds the indexes of doc, which must have passed Validate. The
// caller must not change doc afterwards.
func NewSnapshot(version uint64, doc *Document) *Snapshot {
	s := &Snapshot{
		Version:        version,
		Document:       doc,
		routesByName:   map[string]*Route{},
		services:       map[string]*Service{},
		domains:        map[string]*FailureDomain{},
		tenants:        map[string]*Tenant{},
		outOfService:   map[string]bool{},
		pools:          map[PoolID][]Target{},
		poolsByService: map[string][]PoolID{},
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
			s.poolsByService[svc.Name] = append(s.poolsByService[svc.Name], id)
		}
		s.pools[id] = append(s.pools[id], t)
	}
}

// Route returns the route with the longest path prefix that matches method and
// path, or false if none matches.
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

// matchesPrefix reports whether path starts with prefix. Only whole path segments
// match: the prefix /permit does not match the path /permits.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// HomeRegions returns the only regions that may serve a request of route and
// tenant. If both have home regions, these are the regions that both contain.
// restricted is false if every region may serve the request. If restricted is true
// and regions is empty, no region may serve it.
func (s *Snapshot) HomeRegions(route *Route, tenant string) (regions []string, restricted bool) {
	regions = route.HomeRegions
	restricted = len(regions) > 0
	t, ok := s.tenants[tenant]
	if !ok || len(t.HomeRegions) == 0 {
		return regions, restricted
	}
	if !restricted {
		return t.HomeRegions, true
	}
	var common []string
	for _, r := range regions {
		if slices.Contains(t.HomeRegions, r) {
			common = append(common, r)
		}
	}
	return common, true
}

// Service returns the service of that name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Pools returns the pools of a service. The caller must not change the slice.
func (s *Snapshot) Pools(service string) []PoolID { return s.poolsByService[service] }

// Targets returns the targets of a pool. The caller must not change the slice.
func (s *Snapshot) Targets(id PoolID) []Target { return s.pools[id] }

// RegionOf returns the region of a failure domain, or "" if the failure domain is
// not defined.
func (s *Snapshot) RegionOf(domain string) string {
	if d, ok := s.domains[domain]; ok {
		return d.Region
	}
	return ""
}

// OutOfService reports whether operators took a failure domain out of service.
func (s *Snapshot) OutOfService(domain string) bool { return s.outOfService[domain] }

// StoreRegion returns the region in which the platform's store runs.
func (s *Snapshot) StoreRegion() string { return s.storeRegion }

// RouteByName returns the route of that name, or nil if there is none.
func (s *Snapshot) RouteByName(name string) *Route { return s.routesByName[name] }
