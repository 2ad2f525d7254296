// Package routing holds the routing rules of a deployment whose backend servers
// register themselves: routes by host and path prefix, the services behind them,
// and the limits for callers.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the routing rules. It is immutable once it
// was given to NewTable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route maps the requests of one host under one path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting. 0: no limit.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is worth most.
	LatencyGoal time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the number of backend servers that one request may be
	// sent to, at least 1.
	MaxAttempts int
	// HomeRegions are the only regions that may serve the route. Empty: all.
	HomeRegions []string
	// Backends are the services that share the requests of the route.
	Backends []WeightedService
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path that tells health and load.
	HealthPath string
	// MaxConnections is the number of connections that one backend server
	// accepts from all VMs together. 0: not limited.
	MaxConnections int
	// ColdRate is what a cold backend server bears. Unit: requests/s. 0: not
	// limited.
	ColdRate float64
}

// Limits bound what a caller may send. A zero field means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table finds the route of a request. It is immutable and safe for concurrent
// use.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route // longest prefix first
	boundTo       map[string][]*Route // routes with home regions, by service
}

// NewTable compiles c.
func NewTable(c *Configuration) *Table {
	t := &Table{configuration: c, byHost: map[string][]*Route{}, boundTo: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if len(r.HomeRegions) == 0 {
			continue
		}
		for _, b := range r.Backends {
			t.boundTo[b.Service] = append(t.boundTo[b.Service], r)
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.configuration.Services[name]
	return s, ok
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.configuration.Routes) }

// AnyRouteExcludes reports whether a route of a service is bound to regions of which
// region is none.
func (t *Table) AnyRouteExcludes(service, region string) bool {
	for _, r := range t.boundTo[service] {
		if !slices.Contains(r.HomeRegions, region) {
			return true
		}
	}
	return false
}

// Match returns the route of host with the longest prefix of path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost removes the port, since routes name hosts only, and the case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService chooses a service of the route by weight. draw is in [0, 1).
func (r *Route) PickService(draw float64) (string, bool) {
	total := 0.0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	at := draw * total
	for _, b := range r.Backends {
		if at -= max(b.Weight, 0); at < 0 {
			return b.Service, true
		}
	}
	return r.Backends[len(r.Backends)-1].Service, true
}

// AllowsRegion reports whether backend servers of region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}
