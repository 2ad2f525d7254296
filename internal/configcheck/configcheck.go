// Package configcheck examines a configuration of entry VMs before operators write it to the
// store: what VMs cannot use, what can never take effect, and limits that contradict each other.
package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/team"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Error         Kind = "error"         // cannot be used as it is
	NoEffect      Kind = "no-effect"     // can never match or be used
	Contradiction Kind = "contradiction" // two values that do not go together
)

// Finding is something that operators should look at.
type Finding struct {
	Kind   Kind   `json:"kind"`
	Record string `json:"record"` // for example "route a"
	Field  string `json:"field"`
	Value  string `json:"value"`
	Reason string `json:"reason"` // what is wrong, or what is allowed
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s %q: %s", f.Kind, f.Record, f.Field, f.Value, f.Reason)
}

// MaxHeaderBytes is the largest request head that entry VMs read, whatever the configuration says.
const MaxHeaderBytes = 1 << 20

// Check returns the findings for a configuration. regions are the regions of the deployment; empty
// if they are not known.
func Check(c *routing.Configuration, regions []string) []Finding {
	k := &checker{configuration: c, regions: regions}
	k.checkRoutes()
	k.checkServices()
	k.checkTeams()
	if n := c.Limits.HeaderBytes; n > MaxHeaderBytes {
		k.add(Contradiction, "limits", "header bytes", strconv.Itoa(n), fmt.Sprintf("VMs read at most %d bytes", MaxHeaderBytes))
	}
	return k.findings
}

type checker struct {
	configuration *routing.Configuration
	regions       []string
	findings      []Finding
}

func (k *checker) add(kind Kind, record, field, value, reason string) {
	k.findings = append(k.findings, Finding{kind, record, field, value, reason})
}

func (k *checker) checkRoutes() {
	places := map[string]string{} // name of the first route by host and prefix
	names := map[string]bool{}
	for i := range k.configuration.Routes {
		r := &k.configuration.Routes[i]
		record := recordOf(r, i)
		if names[r.Name] {
			k.add(Error, record, "name", r.Name, "another route has this name")
		}
		names[r.Name] = true
		if r.Host == "" {
			k.add(Error, record, "host", "", "a route needs a host")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			k.add(NoEffect, record, "prefix", r.Prefix, "a prefix begins and ends with a slash")
		}
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if first, taken := places[place]; taken {
			k.add(Error, record, "prefix", r.Prefix, "the same host and prefix as "+first)
		} else {
			places[place] = record
		}
		if r.Timeout < 0 || r.LatencyGoal < 0 {
			k.add(Error, record, "timeout or latency goal", fmt.Sprintf("%v, %v", r.Timeout, r.LatencyGoal), "a time is 0 or more")
		}
		if r.Timeout > 0 && r.LatencyGoal > r.Timeout {
			k.add(Contradiction, record, "latency goal", r.LatencyGoal.String(), "longer than the timeout of "+r.Timeout.String())
		}
		k.checkHomes(record, r.HomeRegions)
		k.checkBackends(record, r)
	}
}

func recordOf(r *routing.Route, index int) string {
	return "route " + cmp.Or(r.Name, strconv.Itoa(index))
}

func (k *checker) checkBackends(record string, r *routing.Route) {
	total := 0.0
	for _, b := range r.Backends {
		if _, known := k.configuration.Services[b.Service]; !known {
			k.add(Error, record, "service", b.Service, "there is no such service")
		}
		weight := strconv.FormatFloat(b.Weight, 'g', -1, 64)
		switch {
		case b.Weight < 0 || math.IsNaN(b.Weight) || math.IsInf(b.Weight, 0):
			k.add(Error, record, "weight of "+b.Service, weight, "a weight is a finite number of 0 or more")
		case b.Weight == 0:
			k.add(NoEffect, record, "weight of "+b.Service, weight, "the service gets no request of the route")
		}
		total += max(b.Weight, 0)
	}
	if total == 0 {
		k.add(Error, record, "services", "", "no service gets requests of the route")
	}
}

func (k *checker) checkHomes(record string, homes []string) {
	for _, region := range homes {
		if len(k.regions) > 0 && !slices.Contains(k.regions, region) {
			k.add(NoEffect, record, "home region", region, "no failure domain is in this region")
		}
	}
}

func (k *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range k.configuration.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.configuration.Services)) {
		s := k.configuration.Services[name]
		record := "service " + name
		if !used[name] {
			k.add(NoEffect, record, "name", name, "no route leads to the service")
		}
		if !strings.HasPrefix(s.HealthPath, "/") {
			k.add(Error, record, "health path", s.HealthPath, "a path begins with a slash")
		}
		if s.MaxConnections < 0 {
			k.add(Error, record, "connections", strconv.Itoa(s.MaxConnections), "0 or more")
		}
		if s.ColdRate < 0 {
			k.add(Error, record, "cold rate", strconv.FormatFloat(s.ColdRate, 'g', -1, 64), "0 or more requests per second")
		}
	}
}

func (k *checker) checkTeams() {
	if k.configuration.Teams == nil {
		return
	}
	names, holders := map[string]bool{}, map[team.KeyHash]string{}
	for _, t := range k.configuration.Teams.All() {
		record := "team " + t.Name
		if names[t.Name] {
			k.add(Error, record, "name", t.Name, "another team has this name")
		}
		names[t.Name] = true
		if len(t.Keys) == 0 {
			k.add(NoEffect, record, "keys", "", "no caller can belong to a team without a key")
		}
		for _, key := range t.Keys {
			if other, taken := holders[key]; taken && other != t.Name {
				k.add(Error, record, "key", key.Short(), "team "+other+" has the same key")
			}
			holders[key] = t.Name
		}
		if t.Limited() && t.Burst < 1 {
			k.add(Contradiction, record, "burst", strconv.FormatFloat(t.Burst, 'g', -1, 64), "no request fits into a burst below 1")
		}
		k.checkHomes(record, t.HomeRegions)
		k.checkCommonHomes(record, &t)
	}
}

// checkCommonHomes reports the routes that cannot serve a team because their homes have no region in
// common.
func (k *checker) checkCommonHomes(record string, t *team.Team) {
	if len(t.HomeRegions) == 0 {
		return
	}
	var routes []string
	for i := range k.configuration.Routes {
		r := &k.configuration.Routes[i]
		if len(r.HomeRegions) > 0 && !slices.ContainsFunc(r.HomeRegions, t.AllowsRegion) {
			routes = append(routes, recordOf(r, i))
		}
	}
	if len(routes) > 0 {
		k.add(NoEffect, record, "home regions", strings.Join(t.HomeRegions, ","), "no region in common with "+strings.Join(routes, ", "))
	}
}
