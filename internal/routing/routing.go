// Package routing holds the routing rules for deployments in which backend servers
// register themselves. For deployments whose inventory document lists the servers,
// package inventory holds the rules instead. The rules are routes by host and path
// prefix, the services that they lead to, and the limits for callers.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/team"
)

// Configuration is one version of the routing rules. It must not be changed after
// it was passed to NewTable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Teams are the teams whose keys callers need. Nil: callers need no keys.
	Teams *team.Directory
}

// Route maps the requests for one host and one path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Idempotent is true if a request of the route may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer. 0: no limit.
	Timeout time.Duration
	// LatencyGoal is the time within which a request should be answered.
	LatencyGoal time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts is the number of backend servers that one request may be
	// sent to, at least 1.
	MaxAttempts int
	// HomeRegions are the only regions whose servers may serve the route. Empty: all
	// regions.
	HomeRegions []string
	// AllowAnonymous is true if requests of the route need no key.
	AllowAnonymous bool
	// Backends are the services, not single backend servers, among which the requests
	// of the route are divided.
	Backends []WeightedService
}

// WeightedService is a service and its weight within a route. The service receives
// a share of the requests equal to its weight divided by the sum of all weights.
// Negative weights count as 0.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the URL path at which a server reports its health and load.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts
	// from all VMs together. 0: no limit.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold backend server can
	// handle. 0: no limit.
	ColdRate float64
}

// Limits bound the requests of a caller: the size of header and body, the time to
// receive the header and the time that a connection may be idle. A zero field
// means no limit.
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
	byHost        map[string][]*Route // routes by normalized host, longest prefix first
	restricted    map[string][]*Route // by service: the routes to it that have home regions
}

// NewTable returns a table for c, which must not be changed afterwards.
func NewTable(c *Configuration) *Table {
	t := &Table{configuration: c, byHost: map[string][]*Route{}, restricted: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		if len(r.HomeRegions) == 0 {
			continue
		}
		for _, b := range r.Backends {
			t.restricted[b.Service] = append(t.restricted[b.Service], r)
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t
}

// Version returns the version of the configuration that t was made from.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Service returns the service with the given name, and whether there is one.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.configuration.Services[name]
	return s, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.configuration.Routes) }

// Teams returns the teams whose keys callers need, or nil if they need none.
func (t *Table) Teams() *team.Directory { return t.configuration.Teams }

// AnyRouteExcludes reports whether a route to service, or a team, has home regions that
// do not include region.
func (t *Table) AnyRouteExcludes(service, region string) bool {
	if teams := t.configuration.Teams; teams != nil && teams.AnyExcludes(region) {
		return true
	}
	for _, r := range t.restricted[service] {
		if !slices.Contains(r.HomeRegions, region) {
			return true
		}
	}
	return false
}

// Match returns the route of host whose prefix is the longest that path starts
// with, and whether there is one. Case and port of host are ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns host in lower case and without the port, since the hosts
// of routes have no port.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService chooses a service of the route by weight. draw is a random number in
// [0, 1). PickService returns false if no service has a positive weight.
func (r *Route) PickService(draw float64) (string, bool) {
	total := 0.0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	remaining := draw * total
	for _, b := range r.Backends {
		if remaining -= max(b.Weight, 0); remaining < 0 {
			return b.Service, true
		}
	}
	// Reached only through rounding errors, since remaining began below the sum of the weights.
	return r.Backends[len(r.Backends)-1].Service, true
}

// AllowsRegion reports whether backend servers of region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}
