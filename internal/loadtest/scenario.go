// Package loadtest generates open-loop load on entry VMs, measures what callers
// see, and compares it with what the target stand-ins record. It holds the
// experiments and the demo of the program goldcresthinge-load.
package loadtest

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"

	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

//go:embed scenarios/*.yaml
var builtin embed.FS

// Scenario describes a system, its callers and what happens to it. It is kept
// as YAML.
type Scenario struct {
	Name           string          `yaml:"name"`
	Seed           uint64          `yaml:"seed"`
	MaxCalls       int             `yaml:"max_calls"` // bound of the scheduled calls; resends come on top
	Regions        []Region        `yaml:"regions"`
	FailureDomains []FailureDomain `yaml:"failure_domains"`
	Network        Network         `yaml:"network"`
	Services       []Service       `yaml:"services"`
	Routes         []Route         `yaml:"routes"`
	Tenants        []Tenant        `yaml:"tenants"`
	// ResendUnknown lets callers send a non-idempotent request once more,
	// with the same key, when its outcome is unknown.
	ResendUnknown bool    `yaml:"resend_unknown"`
	Phases        []Phase `yaml:"phases"`
	Events        []Event `yaml:"events"`
}

// Region is a region; exactly one holds the store.
type Region struct {
	Name  string `yaml:"name"`
	Store bool   `yaml:"store"`
}

// FailureDomain is a failure domain with its number of entry VMs.
type FailureDomain struct {
	Name     string `yaml:"name"`
	Region   string `yaml:"region"`
	EntryVMs int    `yaml:"entry_vms"`
}

// Network holds one-way delays in ms. Zero delays need no relays.
type Network struct {
	ClientMs     float64 `yaml:"client_ms"`       // caller to entry VM
	RegionMs     float64 `yaml:"region_ms"`       // entry VM to target
	LinkMs       float64 `yaml:"link_ms"`         // between regions
	LinkMbitPerS float64 `yaml:"link_mbit_per_s"` // each way
	ConnectMs    float64 `yaml:"connect_ms"`      // new connection at a target
	ProbeMs      float64 `yaml:"probe_ms"`        // duration of a probe
}

// Service is a service whose targets are spread over all failure domains.
type Service struct {
	Name         string  `yaml:"name"`
	Targets      int     `yaml:"targets"`
	Slots        int     `yaml:"slots"`
	ServiceMs    float64 `yaml:"service_ms"` // mean
	Distribution string  `yaml:"distribution"`
	AnswerBytes  int     `yaml:"answer_bytes"`
	Warm         bool    `yaml:"warm"` // targets without cold start
}

// Route is a kind of request and its share of the calls.
type Route struct {
	Name          string   `yaml:"name"`
	Path          string   `yaml:"path"`
	Method        string   `yaml:"method"`
	Service       string   `yaml:"service"`
	Weight        float64  `yaml:"weight"`
	HomeRegions   []string `yaml:"home_regions"`
	NonIdempotent bool     `yaml:"non_idempotent"`
	DeadlineMs    int      `yaml:"deadline_ms"` // default 2000
	BodyBytes     int      `yaml:"body_bytes"`  // default 200 for POST
}

// Tenant is a tenant and its share of the calls.
type Tenant struct {
	Name        string   `yaml:"name"`
	Weight      float64  `yaml:"weight"`
	HomeRegions []string `yaml:"home_regions"`
}

// Phase is a stretch of time with a mean rate of arrivals. Wake adds callers
// that all call within the first second.
type Phase struct {
	Name       string  `yaml:"name"`
	Seconds    float64 `yaml:"seconds"`
	CallsPerS  float64 `yaml:"calls_per_s"`
	Wake       int     `yaml:"wake"`
	Unmeasured bool    `yaml:"unmeasured"` // left out of the latencies
}

// Actions of events.
const (
	ActionTakeOut = "take_out" // a failure domain, by configuration
	ActionPutBack = "put_back"
	ActionFaults  = "faults"
	ActionCut     = "cut_link"
	ActionHeal    = "heal_link"
	ActionFreeze  = "freeze_link"
	ActionThaw    = "thaw_link"
	ActionStopVM  = "stop_vm" // graceful stop of one entry VM
)

// Event happens at a time after the start of the run. Events of the same time
// have no order.
type Event struct {
	AtS           float64 `yaml:"at_s"`
	Action        string  `yaml:"action"`
	FailureDomain string  `yaml:"failure_domain"` // empty: all
	Service       string  `yaml:"service"`        // empty: all
	Count         int     `yaml:"count"`          // first targets that match; 0: all
	// Faults is a fakebackend.FaultUpdate, in the names of its JSON form. It replaces
	// the faults that are switched on at the targets that match.
	Faults map[string]any `yaml:"faults"`

	change fakebackend.FaultUpdate
}

// Load reads a scenario from a file, or by the name of a built-in one
// (authority, authority-faults, taktwerk, demo).
func Load(name string) (*Scenario, error) {
	data, err := builtin.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, merry.Prepend(err, "scenario")
		}
	}
	return Parse(data)
}

// Parse reads a scenario and checks it. All faults are reported at once.
func Parse(data []byte) (*Scenario, error) {
	var s Scenario
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return nil, merry.Prepend(err, "scenario")
	}
	s.setDefaults()
	if err := s.validate(); err != nil {
		return nil, merry.Prepend(err, "scenario")
	}
	return &s, nil
}

func (s *Scenario) setDefaults() {
	for i := range s.Services {
		if s.Services[i].Slots == 0 {
			s.Services[i].Slots = 2
		}
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method == "" {
			r.Method = "GET"
		}
		if r.DeadlineMs == 0 {
			r.DeadlineMs = 2000
		}
		if r.BodyBytes == 0 && r.Method != "GET" {
			r.BodyBytes = 200
		}
	}
}

// Bounds of a scenario, so that a run stays within the limits of one machine.
const (
	maxCalls   = 500_000
	maxTargets = 2000
	maxSeconds = 3600
	maxBody    = 1 << 20
)

func (s *Scenario) validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	var regions, domains, services []string
	stores := 0
	for _, r := range s.Regions {
		regions = append(regions, r.Name)
		if r.Store {
			stores++
		}
	}
	check(stores == 1, "exactly one region must hold the store")
	known := func(what string, names []string) {
		for _, n := range names {
			check(slices.Contains(regions, n), "%s: region %q is not known", what, n)
		}
	}
	vms := 0
	for _, d := range s.FailureDomains {
		domains = append(domains, d.Name)
		known("failure domain "+d.Name, []string{d.Region})
		check(d.EntryVMs >= 0 && d.EntryVMs <= 50, "failure domain %s: entry_vms must be 0 to 50", d.Name)
		vms += d.EntryVMs
	}
	check(len(domains) > 0 && vms > 0, "a failure domain with an entry VM is needed")
	targets := 0
	for _, v := range s.Services {
		services = append(services, v.Name)
		check(v.Targets > 0 && v.Targets <= maxTargets && v.Slots > 0 && v.Slots <= 1000, "service %s: targets and slots must be positive and small", v.Name)
		check(v.ServiceMs >= 0 && v.AnswerBytes >= 0 && v.AnswerBytes <= maxBody, "service %s: service_ms or answer_bytes out of range", v.Name)
		check(slices.Contains([]string{"", "fixed", "exponential", "lognormal"}, v.Distribution), "service %s: distribution %q is not known", v.Name, v.Distribution)
		targets += min(v.Targets, maxTargets+1)
	}
	check(targets <= maxTargets, "more than %d targets", maxTargets)
	weight := 0.0
	for _, r := range s.Routes {
		known("route "+r.Name, r.HomeRegions)
		check(slices.Contains(services, r.Service), "route %s: service %q is not known", r.Name, r.Service)
		check(r.Weight >= 0 && r.DeadlineMs > 0 && r.BodyBytes >= 0 && r.BodyBytes <= maxBody, "route %s: weight, deadline_ms or body_bytes out of range", r.Name)
		check(len(r.Path) > 1 && r.Path[0] == '/', "route %s: path must start with /", r.Name)
		weight += r.Weight
	}
	check(weight > 0, "a route with a weight is needed")
	weight = 0
	for _, t := range s.Tenants {
		known("tenant "+t.Name, t.HomeRegions)
		check(t.Weight >= 0, "tenant %s: weight must not be negative", t.Name)
		weight += t.Weight
	}
	check(weight > 0, "a tenant with a weight is needed")
	check(s.MaxCalls > 0 && s.MaxCalls <= maxCalls, "max_calls must be 1 to %d", maxCalls)
	errs = append(errs, s.validatePhases()...)
	for i := range s.Events {
		errs = append(errs, s.Events[i].compile(domains, services)...)
	}
	return errors.Join(errs...)
}

// validatePhases checks the phases against the bound of calls.
func (s *Scenario) validatePhases() []error {
	var errs []error
	calls, seconds := 0.0, 0.0
	for _, p := range s.Phases {
		if !(p.Seconds > 0 && p.CallsPerS >= 0 && p.Wake >= 0) {
			errs = append(errs, fmt.Errorf("phase %s: seconds must be positive, calls_per_s and wake not negative", p.Name))
		}
		calls += p.Seconds*p.CallsPerS + float64(p.Wake)
		seconds += p.Seconds
	}
	if !(calls > 0 && calls <= float64(s.MaxCalls)) || !(seconds <= maxSeconds) {
		errs = append(errs, fmt.Errorf("phases make %.0f calls in %.0f s; max_calls is %d", calls, seconds, s.MaxCalls))
	}
	return errs
}
