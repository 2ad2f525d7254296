// Package inventory defines the routing configuration and parses, validates and
// compares it. The configuration has two parts: the regions, failure domains,
// links, services and targets, which operators export from their asset register,
// and the rules for routes, tenants and failure domains out of service.
//
// The package is named after the first part, but holds the whole configuration. A
// Document is the configuration as operators write it, a Snapshot one version of it
// with indexes for look-ups, and a delta the difference between two documents. A
// Fault is one finding about a document: an error, for which the document is
// rejected, or a warning.
package inventory

// Document is the whole routing configuration. Operators write it as YAML. The
// JSON field names equal the YAML ones.
type Document struct {
	Regions        []Region        `json:"regions" yaml:"regions"`
	FailureDomains []FailureDomain `json:"failure_domains" yaml:"failure_domains"`
	Links          []Link          `json:"links,omitempty" yaml:"links,omitempty"`
	Services       []Service       `json:"services" yaml:"services"`
	Rules          Rules           `json:"rules" yaml:"rules"`
}

// Region is a group of failure domains with low network latency between them.
type Region struct {
	Name string `json:"name" yaml:"name"`
	// Store marks the region in which the platform's store runs. It is true for
	// exactly one region.
	Store bool `json:"store,omitempty" yaml:"store,omitempty"`
	// ProbeBytesPerSecond bounds the bandwidth of load probes within this
	// region. Unit: bytes/s. Default: 20000.
	ProbeBytesPerSecond float64 `json:"measure_bytes_per_s,omitempty" yaml:"measure_bytes_per_s,omitempty"`
}

// FailureDomain is a group of machines that can fail together.
type FailureDomain struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// Link is the network link between two regions, billed by volume.
type Link struct {
	Regions [2]string `json:"regions" yaml:"regions,flow"`
	// BytesPerSecond bounds the traffic that the load balancer sends over the
	// link in each direction. Unit: bytes/s. Default: 750000, a fifth of
	// 30 Mbit/s.
	BytesPerSecond float64 `json:"bytes_per_s" yaml:"bytes_per_s"`
	// ProbeBytesPerSecond bounds the bandwidth of load probes over the link.
	// Unit: bytes/s. Default: 0, because a holder runs in the region of its
	// targets and needs no probes over the link.
	ProbeBytesPerSecond float64 `json:"measure_bytes_per_s,omitempty" yaml:"measure_bytes_per_s,omitempty"`
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// Slots is the number of calls that a target runs at once after its warm-up.
	// Default: 2.
	Slots int `json:"slots" yaml:"slots"`
	// MaxConnections bounds the open connections to one target. Default: 220.
	MaxConnections int `json:"connections" yaml:"connections"`
	// ProbesPerSecond bounds the rate of load probes to one target.
	// Unit: probes/s. Default: 0.2.
	ProbesPerSecond float64 `json:"probes_per_s" yaml:"probes_per_s"`
	// ColdRate bounds the rate of calls to one target at the start of its
	// warm-up. Unit: calls/s. Default: 10.
	ColdRate float64 `json:"cold_rate" yaml:"cold_rate"`
	// CallTimeoutMs bounds the duration of one call to a target. Unit: ms.
	// Default: 2000.
	CallTimeoutMs int      `json:"call_timeout_ms" yaml:"call_timeout_ms"`
	Targets       []Target `json:"targets,omitempty" yaml:"targets,omitempty"`
}

// Target is one backend server process and its address.
type Target struct {
	Name          string `json:"name" yaml:"name"`
	Address       string `json:"address" yaml:"address"` // IP address and port
	FailureDomain string `json:"failure_domain" yaml:"failure_domain"`
}

// Rules holds the part of the configuration that operators decide: how requests
// are routed, and which failure domains are out of service.
type Rules struct {
	Routes  []Route  `json:"routes" yaml:"routes"`
	Tenants []Tenant `json:"tenants,omitempty" yaml:"tenants,omitempty"`
	// OutOfService names the failure domains whose targets get no new calls.
	OutOfService []string `json:"out_of_service,omitempty" yaml:"out_of_service,omitempty"`
}

// Route maps requests to a service. If several routes match a request, the one
// with the longest path prefix is used.
type Route struct {
	Name       string   `json:"name" yaml:"name"`
	PathPrefix string   `json:"path_prefix" yaml:"path_prefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods,omitempty,flow"` // empty: all methods
	Service    string   `json:"service" yaml:"service"`
	// HomeRegions are the only regions in which requests of this route may be
	// served, forwarded or stored. Empty: all regions. A request with home
	// regions, of its route or of its tenant, is restricted to them.
	HomeRegions []string `json:"home_regions,omitempty" yaml:"home_regions,omitempty,flow"`
	// NonIdempotent is true if a request of this route must run at most once.
	// Such a request needs an Idempotency-Key header.
	NonIdempotent bool `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// DeadlineMs is the time limit of a request that has no deadline header.
	// Unit: ms. Default: 2000.
	DeadlineMs int `json:"deadline_ms" yaml:"deadline_ms"`
}

// Tenant restricts the requests of one tenant to its home regions. An empty list
// is no restriction.
type Tenant struct {
	Name        string   `json:"name" yaml:"name"`
	HomeRegions []string `json:"home_regions,omitempty" yaml:"home_regions,omitempty,flow"`
}

// PoolID identifies a pool: the targets of one service in one failure domain.
type PoolID struct {
	Service       string
	FailureDomain string
}

// String returns the form SERVICE@DOMAIN, which is used in store keys, log lines
// and state dumps.
func (p PoolID) String() string { return p.Service + "@" + p.FailureDomain }
