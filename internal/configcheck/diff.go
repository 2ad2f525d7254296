package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"goldcresthinge.example/goldcresthinge/internal/routing"
	"goldcresthinge.example/goldcresthinge/internal/team"
)

// CheckVersion returns a finding if next is not newer than the version in force.
func CheckVersion(inForce, next *routing.Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "configuration", "version", fmt.Sprintf("%08x", next.Version), fmt.Sprintf("not newer than %08x, which is in force", inForce.Version)}}
}

// Diff tells in words what next changes of the configuration in force. Keys appear as the start of
// their hashes.
func Diff(inForce, next *routing.Configuration) []string {
	var out []string
	out = append(out, diffRecords("route", routesByName(inForce), routesByName(next), describeRoute)...)
	out = append(out, diffRecords("service", inForce.Services, next.Services, describeService)...)
	out = append(out, diffRecords("team", teamsByName(inForce), teamsByName(next), describeTeam)...)
	if inForce.Limits != next.Limits {
		out = append(out, fmt.Sprintf("limits: %+v instead of %+v", next.Limits, inForce.Limits))
	}
	return append(out, diffTeams(teamsByName(inForce), teamsByName(next))...)
}

// diffRecords lists the records that were added, removed or changed, by name.
func diffRecords[T any](kind string, before, after map[string]T, describe func(T) string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, kept := after[name]; !kept {
			out = append(out, fmt.Sprintf("%s %s removed (%s)", kind, name, describe(before[name])))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, known := before[name]
		switch now := describe(after[name]); {
		case !known:
			out = append(out, fmt.Sprintf("%s %s added (%s)", kind, name, now))
		case describe(old) != now:
			out = append(out, fmt.Sprintf("%s %s changed: %s, was %s", kind, name, now, describe(old)))
		}
	}
	return out
}

func routesByName(c *routing.Configuration) map[string]routing.Route {
	out := map[string]routing.Route{}
	for _, r := range c.Routes {
		out[r.Name] = r
	}
	return out
}

func teamsByName(c *routing.Configuration) map[string]team.Team {
	out := map[string]team.Team{}
	if c.Teams != nil {
		for _, t := range c.Teams.All() {
			out[t.Name] = t
		}
	}
	return out
}

func describeRoute(r routing.Route) string {
	services := make([]string, 0, len(r.Backends))
	for _, b := range r.Backends {
		services = append(services, fmt.Sprintf("%s:%g", b.Service, b.Weight))
	}
	return fmt.Sprintf("%s%s to %s, timeout %v, goal %v, priority %d, attempts %d, idempotent %v, homes %v, anonymous %v",
		r.Host, r.Prefix, strings.Join(services, ","), r.Timeout, r.LatencyGoal, r.Priority, r.MaxAttempts, r.Idempotent, r.HomeRegions, r.AllowAnonymous)
}

func describeService(s routing.Service) string {
	return fmt.Sprintf("health path %s, connections %d, cold rate %g", s.HealthPath, s.MaxConnections, s.ColdRate)
}

func describeTeam(t team.Team) string {
	priority := "of the route"
	if t.Priority != nil {
		priority = fmt.Sprint(*t.Priority)
	}
	return fmt.Sprintf("priority %s, homes %v", priority, t.HomeRegions)
}

// diffTeams lists the keys that teams get or lose and the limits that change, of teams in both.
func diffTeams(before, after map[string]team.Team) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, known := before[name]
		now := after[name]
		for _, key := range now.Keys {
			if !slices.Contains(old.Keys, key) {
				out = append(out, fmt.Sprintf("team %s: key %s given", name, key.Short()))
			}
		}
		if !known {
			continue
		}
		for _, key := range old.Keys {
			if !slices.Contains(now.Keys, key) {
				out = append(out, fmt.Sprintf("team %s: key %s taken away", name, key.Short()))
			}
		}
		if old.RatePerSecond == now.RatePerSecond && old.Burst == now.Burst {
			continue
		}
		text := fmt.Sprintf("team %s: limit %s, was %s", name, limitText(now), limitText(old))
		if now.Limited() && (!old.Limited() || now.RatePerSecond < old.RatePerSecond || now.Burst < old.Burst) {
			text += "; a lower limit binds one window after it is in force at all VMs"
		}
		out = append(out, text)
	}
	return out
}

func limitText(t team.Team) string {
	if !t.Limited() {
		return "none"
	}
	return fmt.Sprintf("%g/s with bursts of %g", t.RatePerSecond, t.Burst)
}
