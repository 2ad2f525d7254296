package loadtest

import (
	"context"
	"slices"
)

// maxPicks is how many addresses a caller tries when it gets no connection.
const maxPicks = 3

// pick returns addresses of running entry VMs of the caller's region, as the
// platform's balancer would choose them; without entry VMs, targets.
func (sys *System) pick(a *Arrival) []string {
	var addresses []string
	sys.mu.Lock()
	for _, v := range sys.vms {
		if !v.stopped && v.spec.Region == a.Region {
			addresses = append(addresses, v.address)
		}
	}
	sys.mu.Unlock()
	if sys.platform == nil {
		for _, t := range sys.targets {
			if t.Config().Region == a.Region && sys.service[t] == a.Route.Service {
				addresses = append(addresses, t.Address())
			}
		}
	}
	n := uint64(len(addresses))
	picks := make([]string, 0, maxPicks)
	for i := range min(n, maxPicks) {
		picks = append(picks, addresses[(a.Draw+i)%n])
	}
	return picks
}

// setOut takes a failure domain out of service, or puts it back.
func (sys *System) setOut(ctx context.Context, domain string, out bool) error {
	sys.applying.Lock() // changes follow one another, as those of one operator
	defer sys.applying.Unlock()
	doc := *sys.document
	doc.Rules.OutOfService = slices.DeleteFunc(slices.Clone(doc.Rules.OutOfService), func(d string) bool { return d == domain })
	if out {
		doc.Rules.OutOfService = append(doc.Rules.OutOfService, domain)
	}
	sys.document = &doc
	return sys.apply(ctx)
}

func (sys *System) applyFaults(e *Event) {
	left := e.Count
	for _, t := range sys.targets {
		c := t.Config()
		if (e.FailureDomain != "" && c.FailureDomain != e.FailureDomain) || (e.Service != "" && sys.service[t] != e.Service) {
			continue
		}
		t.Apply(e.change)
		if left--; left == 0 {
			return
		}
	}
}

func (sys *System) stopOneVM(ctx context.Context, domain string) error {
	sys.mu.Lock()
	i := slices.IndexFunc(sys.vms, func(v *runningVM) bool { return !v.stopped && v.spec.FailureDomain == domain })
	sys.mu.Unlock()
	if i < 0 {
		return nil
	}
	return sys.stopVM(ctx, sys.vms[i])
}
