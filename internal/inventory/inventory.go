// Package inventory holds the routing configuration: the inventory that
// operators draw from their asset register, and the rules on top of it.
package inventory

// Document is the whole routing configuration. Operators write it as YAML; the
// JSON names are the same.
type Document struct {
	Regions        []Region        `json:"regions" yaml:"regions"`
	FailureDomains []FailureDomain `json:"failure_domains" yaml:"failure_domains"`
	Links          []Link          `json:"links,omitempty" yaml:"links,omitempty"`
	Services       []Service       `json:"services" yaml:"services"`
	Rules          Rules           `json:"rules" yaml:"rules"`
}

// Region is a group of failure domains with short network distances.
type Region struct {
	Name string `json:"name" yaml:"name"`
	// Store is true for the region that the platform's store stands in.
	// Exactly one region has it.
	Store bool `json:"store,omitempty" yaml:"store,omitempty"`
	// ProbeBytesPerSecond bounds load probes in this region. Unit: bytes/s.
	// Default: 20000.
	ProbeBytesPerSecond float64 `json:"measure_bytes_per_s,omitempty" yaml:"measure_bytes_per_s,omitempty"`
}

// FailureDomain is a group of machines that fail together.
type FailureDomain struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Link is the network link between two regions, billed by volume.
type Link struct {
	Regions [2]string `json:"regions" yaml:"regions,flow"`
	// BytesPerSecond bounds what this system sends over the link in each
	// direction. Unit: bytes/s. Default: 750000, a fifth of 30 Mbit/s.
	BytesPerSecond float64 `json:"bytes_per_s" yaml:"bytes_per_s"`
	// ProbeBytesPerSecond bounds load probes over the link. Unit: bytes/s.
	// Default: 0, since a holder stands in the region of its targets.
	ProbeBytesPerSecond float64 `json:"measure_bytes_per_s,omitempty" yaml:"measure_bytes_per_s,omitempty"`
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Slots is the number of calls a warm target runs at once. Default: 2.
	Slots int `json:"slots" yaml:"slots"`
	// MaxConnections is the most connections to one target. Default: 220.
	MaxConnections int `json:"connections" yaml:"connections"`
	// ProbesPerSecond bounds load probes of one target. Unit: 1/s.
	// Default: 0.2.
	ProbesPerSecond float64 `json:"probes_per_s" yaml:"probes_per_s"`
	// ColdRate bounds the calls of a target at the start of its ramp.
	// Unit: calls/s. Default: 10.
	ColdRate float64 `json:"cold_rate" yaml:"cold_rate"`
	// CallTimeoutMs bounds one call at a target. Unit: ms. Default: 2000.
	CallTimeoutMs int      `json:"call_timeout_ms" yaml:"call_timeout_ms"`
	Targets       []Target `json:"targets,omitempty" yaml:"targets,omitempty"`
}

// Target is one backend server process.
type Target struct {
	Name          string `json:"name" yaml:"name"`
	Address       string `json:"address" yaml:"address"` // IP address and port
	FailureDomain string `json:"failure_domain" yaml:"failure_domain"`
}

// Rules are the decisions of operators on top of the inventory.
type Rules struct {
	Routes  []Route  `json:"routes" yaml:"routes"`
	Tenants []Tenant `json:"tenants,omitempty" yaml:"tenants,omitempty"`
	// OutOfService names the failure domains that get no new work.
	OutOfService []string `json:"out_of_service,omitempty" yaml:"out_of_service,omitempty"`
}

// Route maps requests to a service. The longest matching path prefix wins.
type Route struct {
	Name       string   `json:"name" yaml:"name"`
	PathPrefix string   `json:"path_prefix" yaml:"path_prefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods,omitempty,flow"` // empty: all
	Service    string   `json:"service" yaml:"service"`
	// HomeRegions are the only regions that may serve, send or keep requests
	// of this route. Empty: all regions.
	HomeRegions []string `json:"home_regions,omitempty" yaml:"home_regions,omitempty,flow"`
	// NonIdempotent requests run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// DeadlineMs is the time for a call that brings no deadline. Unit: ms.
	// Default: 2000.
	DeadlineMs int `json:"deadline_ms" yaml:"deadline_ms"`
}

// Tenant binds the requests of a tenant to regions.
type Tenant struct {
	Name        string   `json:"name" yaml:"name"`
	HomeRegions []string `json:"home_regions,omitempty" yaml:"home_regions,omitempty,flow"`
}

// PoolID names a pool: the targets of one service in one failure domain.
type PoolID struct {
	Service       string
	FailureDomain string
}

// String returns the form used in keys, logs and dumps.
func (p PoolID) String() string { return p.Service + "@" + p.FailureDomain }
