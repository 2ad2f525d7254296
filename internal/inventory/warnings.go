package inventory

import (
	"fmt"
	"slices"
	"strings"
)

// Warnings returns the settings of a valid document that are allowed but probably
// not intended, such as a service without targets. The warnings have no line
// numbers; those that Check returns have them.
func Warnings(doc *Document) []Fault { return warnings(doc, lineIndex{}) }

func warnings(doc *Document, lines lineIndex) []Fault {
	// The version of the snapshot is not used.
	w := &warningCollector{snap: NewSnapshot(0, doc), validator: &validator{doc: doc, lines: lines}}
	root := position{}
	for i := range doc.Services {
		w.warnService(root.field("services").item(i, doc.Services[i].Name), &doc.Services[i])
	}
	for i := range doc.Rules.Routes {
		w.warnRoute(root.field("rules").field("routes").item(i, doc.Rules.Routes[i].Name), &doc.Rules.Routes[i])
	}
	w.warnRegions(root.field("rules").field("out_of_service"))
	return w.faults
}

type warningCollector struct {
	*validator
	snap *Snapshot
}

func (w *warningCollector) warnService(at position, s *Service) {
	pools := w.snap.Pools(s.Name)
	if len(pools) == 0 {
		w.addFault(at.field("targets"), "service has no targets")
		return
	}
	inService := func(id PoolID) bool { return !w.snap.OutOfService(id.FailureDomain) }
	if !slices.ContainsFunc(pools, inService) {
		w.addFault(at.field("targets"), "all targets are in failure domains out of service")
	}
}

func (w *warningCollector) warnRoute(at position, r *Route) {
	store := w.snap.StoreRegion()
	if r.NonIdempotent && len(r.HomeRegions) > 0 && !slices.Contains(r.HomeRegions, store) {
		w.addFault(at.field("home_regions"),
			"requests must run at most once, but home regions %s exclude %s, the region of the store: %s",
			strings.Join(r.HomeRegions, ", "), store, w.claimConsequence(r.HomeRegions))
	}
	if len(r.HomeRegions) > 0 && !w.hasTargetsIn(r.Service, r.HomeRegions) {
		w.addFault(at.field("home_regions"), "service %s has no targets in %s", r.Service, strings.Join(r.HomeRegions, ", "))
	}
	for _, t := range w.doc.Rules.Tenants {
		regions, restricted := w.snap.HomeRegions(r, t.Name)
		switch {
		case len(t.HomeRegions) == 0 || !restricted:
		case len(regions) == 0:
			w.addFault(at.field("home_regions"), "requests of tenant %s are served nowhere: its home regions are %s",
				t.Name, strings.Join(t.HomeRegions, ", "))
		case r.NonIdempotent && !slices.Contains(regions, store) && (len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, store)):
			w.addFault(at, "requests of tenant %s must run at most once, but its home regions %s exclude %s, the region of the store: %s",
				t.Name, strings.Join(t.HomeRegions, ", "), store, w.claimConsequence(regions))
		}
	}
}

// claimConsequence describes where the claims of requests with these home regions
// are kept, given that the region of the platform's store is not one of them, and
// what follows from that. The 10 minutes are regionclaim.Retention.
func (w *warningCollector) claimConsequence(homeRegions []string) string {
	region, _ := w.snap.ClaimRegion(homeRegions)
	text := fmt.Sprintf("their claims are kept in the memory of the VMs of %s, and the loss of one makes its keys uncertain for 10 minutes", region)
	if len(homeRegions) > 1 {
		text += "; the VMs of the other home regions refuse them as not run (no-claim-store)"
	}
	return text
}

func (w *warningCollector) hasTargetsIn(service string, regions []string) bool {
	return slices.ContainsFunc(w.snap.Pools(service), func(id PoolID) bool {
		return slices.Contains(regions, w.snap.RegionOf(id.FailureDomain))
	})
}

func (w *warningCollector) warnRegions(at position) {
	for _, r := range w.doc.Regions {
		total, out := 0, 0
		for _, d := range w.doc.FailureDomains {
			if d.Region != r.Name {
				continue
			}
			total++
			if w.snap.OutOfService(d.Name) {
				out++
			}
		}
		switch total {
		case 0:
			w.addFault(position{}.field("regions"), "region %s has no failure domain", r.Name)
		case out:
			w.addFault(at, "all %d failure domains of region %s are out of service", total, r.Name)
		}
	}
}
