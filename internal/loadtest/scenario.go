// Package loadtest generates open-loop load on entry VMs, measures the outcomes
// and latencies that callers see, and compares them with the records of the fake
// targets. It implements the experiments and the demo of the program
// goldcresthinge-load.
//
// Open-loop means that the times of the calls are drawn before the run and do not
// depend on how fast the system answers. A target is a process of a service, to
// which an entry VM of the load balancer forwards calls. A request may be bound to
// home regions: only targets of these regions may run it.
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
var builtinScenarios embed.FS

// Scenario describes a system, its callers, and the events during a run. It is
// read from YAML.
type Scenario struct {
	Name           string          `yaml:"name"`
	Seed           uint64          `yaml:"seed"`
	MaxCalls       int             `yaml:"max_calls"` // maximum number of scheduled calls, without resends
	Regions        []Region        `yaml:"regions"`
	FailureDomains []FailureDomain `yaml:"failure_domains"`
	Network        Network         `yaml:"network"`
	Services       []Service       `yaml:"services"`
	Routes         []Route         `yaml:"routes"`
	Tenants        []Tenant        `yaml:"tenants"`
	// ResendUnknown makes callers resend a non-idempotent request once, with
	// the same idempotency key, when its outcome is unknown.
	ResendUnknown bool    `yaml:"resend_unknown"`
	Phases        []Phase `yaml:"phases"`
	Events        []Event `yaml:"events"`
}

// Region is a region of the scenario. Exactly one region hosts the store.
type Region struct {
	Name  string `yaml:"name"`
	Store bool   `yaml:"store"`
}

// FailureDomain is a failure domain with the number of entry VMs in it.
type FailureDomain struct {
	Name     string `yaml:"name"`
	Region   string `yaml:"region"`
	EntryVMs int    `yaml:"entry_vms"`
}

// Network holds the delays of the emulated network in ms, one-way for the links,
// and the bandwidth of the link between regions. No proxy is started for a link
// with zero delay.
type Network struct {
	ClientMs     float64 `yaml:"client_ms"`       // caller to entry VM
	RegionMs     float64 `yaml:"region_ms"`       // entry VM to target
	LinkMs       float64 `yaml:"link_ms"`         // between regions
	LinkMbitPerS float64 `yaml:"link_mbit_per_s"` // each way
	ConnectMs    float64 `yaml:"connect_ms"`      // new connection at a target
	ProbeMs      float64 `yaml:"probe_ms"`        // time that a target takes to answer a probe
}

// Service is a service whose targets are distributed over all failure domains
// in turn.
type Service struct {
	Name         string  `yaml:"name"`
	Targets      int     `yaml:"targets"`
	Slots        int     `yaml:"slots"`
	ServiceMs    float64 `yaml:"service_ms"` // mean
	Distribution string  `yaml:"distribution"`
	AnswerBytes  int     `yaml:"answer_bytes"`
	Warm         bool    `yaml:"warm"` // targets without cold start
}

// Route is a kind of request. Its share of the calls is Weight divided by the sum
// of the weights of all routes.
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

// Tenant is a tenant. Its share of the calls is Weight divided by the sum of the
// weights of all tenants.
type Tenant struct {
	Name        string   `yaml:"name"`
	Weight      float64  `yaml:"weight"`
	HomeRegions []string `yaml:"home_regions"`
}

// Phase is a period with a constant mean arrival rate. Wake is the number of calls
// that arrive in addition within the first second of the phase, as from callers
// that all wake up at the same time.
type Phase struct {
	Name       string  `yaml:"name"`
	Seconds    float64 `yaml:"seconds"`
	CallsPerS  float64 `yaml:"calls_per_s"`
	Wake       int     `yaml:"wake"`
	Unmeasured bool    `yaml:"unmeasured"` // excluded from the latencies of the report
}

// Actions of an Event.
const (
	ActionTakeOut = "take_out" // takes a failure domain out of service through the configuration
	ActionPutBack = "put_back" // puts a failure domain back into service
	ActionFaults  = "faults"
	ActionCut     = "cut_link"
	ActionHeal    = "heal_link"
	ActionFreeze  = "freeze_link"
	ActionThaw    = "thaw_link"
	ActionStopVM  = "stop_vm" // stops one entry VM of a failure domain gracefully
)

// Event is an action at a given time after the start of the run. Events run
// concurrently, so the order of events with equal times is undefined.
type Event struct {
	AtS           float64 `yaml:"at_s"`
	Action        string  `yaml:"action"`
	FailureDomain string  `yaml:"failure_domain"` // empty matches all failure domains
	Service       string  `yaml:"service"`        // empty matches all services
	Count         int     `yaml:"count"`          // applies faults to the first Count matching targets; 0: to all
	// Faults is a fakebackend.FaultUpdate with the field names of its JSON form.
	// It is applied to the matching targets and replaces the faults that are
	// switched on there.
	Faults map[string]any `yaml:"faults"`

	faultUpdate fakebackend.FaultUpdate
}

// Load returns the built-in scenario of that name (authority, authority-faults,
// taktwerk or demo). Any other name is taken as the path of a file.
func Load(name string) (*Scenario, error) {
	data, err := builtinScenarios.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, merry.Prepend(err, "scenario")
		}
	}
	return Parse(data)
}

// Parse decodes and validates a scenario and sets default values. The error
// reports all validation failures.
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

// Upper limits of a scenario. They keep a run within the resources of one
// machine. The error texts of validate and validatePhases repeat the values of
// maxTargets, maxSeconds and maxBodyBytes.
const (
	maxCalls     = 500_000
	maxTargets   = 2000
	maxSeconds   = 3600
	maxBodyBytes = 1 << 20
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
	check(stores == 1, "exactly one region must host the store")
	checkRegions := func(owner string, names []string) {
		for _, n := range names {
			check(slices.Contains(regions, n), "%s: region %q is not defined in regions", owner, n)
		}
	}
	vms := 0
	for _, d := range s.FailureDomains {
		domains = append(domains, d.Name)
		checkRegions("failure domain "+d.Name, []string{d.Region})
		check(d.EntryVMs >= 0 && d.EntryVMs <= 50, "failure domain %s: entry_vms must be 0 to 50", d.Name)
		vms += d.EntryVMs
	}
	check(len(domains) > 0 && vms > 0, "failure_domains must have at least one entry VM in total")
	targets := 0
	for _, v := range s.Services {
		services = append(services, v.Name)
		check(v.Targets > 0 && v.Targets <= maxTargets && v.Slots > 0 && v.Slots <= 1000, "service %s: targets must be 1 to 2000 and slots 1 to 1000", v.Name)
		check(v.ServiceMs >= 0 && v.AnswerBytes >= 0 && v.AnswerBytes <= maxBodyBytes, "service %s: service_ms must not be negative and answer_bytes must be 0 to 1048576", v.Name)
		check(slices.Contains([]string{"", "fixed", "exponential", "lognormal"}, v.Distribution), "service %s: distribution %q is not supported; use fixed, exponential or lognormal", v.Name, v.Distribution)
		targets += min(v.Targets, maxTargets+1)
	}
	check(targets <= maxTargets, "the targets of all services together must be at most %d", maxTargets)
	weight := 0.0
	for _, r := range s.Routes {
		checkRegions("route "+r.Name, r.HomeRegions)
		check(slices.Contains(services, r.Service), "route %s: service %q is not defined in services", r.Name, r.Service)
		check(r.Weight >= 0 && r.DeadlineMs > 0 && r.BodyBytes >= 0 && r.BodyBytes <= maxBodyBytes, "route %s: weight must not be negative, deadline_ms must be positive and body_bytes must be 0 to 1048576", r.Name)
		check(len(r.Path) > 1 && r.Path[0] == '/', "route %s: path must start with / and have at least 2 characters", r.Name)
		weight += r.Weight
	}
	check(weight > 0, "at least one route must have a positive weight")
	weight = 0
	for _, t := range s.Tenants {
		checkRegions("tenant "+t.Name, t.HomeRegions)
		check(t.Weight >= 0, "tenant %s: weight must not be negative", t.Name)
		weight += t.Weight
	}
	check(weight > 0, "at least one tenant must have a positive weight")
	check(s.MaxCalls > 0 && s.MaxCalls <= maxCalls, "max_calls must be 1 to %d", maxCalls)
	errs = append(errs, s.validatePhases()...)
	for i := range s.Events {
		errs = append(errs, s.Events[i].compile(domains, services)...)
	}
	return errors.Join(errs...)
}

// validatePhases checks each phase, and the sum of all phases against MaxCalls
// and maxSeconds.
func (s *Scenario) validatePhases() []error {
	var errs []error
	calls, seconds := 0.0, 0.0
	for _, p := range s.Phases {
		if !(p.Seconds > 0 && p.CallsPerS >= 0 && p.Wake >= 0) {
			errs = append(errs, fmt.Errorf("phase %s: seconds must be positive, and calls_per_s and wake must not be negative", p.Name))
		}
		calls += p.Seconds*p.CallsPerS + float64(p.Wake)
		seconds += p.Seconds
	}
	if !(calls > 0 && calls <= float64(s.MaxCalls)) || !(seconds <= maxSeconds) {
		errs = append(errs, fmt.Errorf("phases have %.0f calls in %.0f s; there must be at least one call, at most max_calls (%d), within at most 3600 s", calls, seconds, s.MaxCalls))
	}
	return errs
}
