package loadtest

import (
	"context"
	"slices"
)

// maxAddressesPerCall is the maximum number of addresses that a caller tries for
// one call. It tries the next address only if the connection to the previous one
// could not be opened.
const maxAddressesPerCall = 3

// pickAddresses returns the addresses that a caller tries, in order: running
// entry VMs of the caller's region, starting at a random one, as the platform's
// balancer would choose them. In a system without entry VMs it returns targets
// of the service in that region.
func (sys *System) pickAddresses(a *Arrival) []string {
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
			if t.Config().Region == a.Region && sys.serviceOf[t] == a.Route.Service {
				addresses = append(addresses, t.Address())
			}
		}
	}
	n := uint64(len(addresses))
	chosen := make([]string, 0, maxAddressesPerCall)
	for i := range min(n, maxAddressesPerCall) {
		chosen = append(chosen, addresses[(a.RandomBits+i)%n])
	}
	return chosen
}

// setOutOfService takes a failure domain out of service (out is true) or puts it
// back into service, by applying a changed configuration.
func (sys *System) setOutOfService(ctx context.Context, domain string, out bool) error {
	sys.configMu.Lock() // applies one change at a time, as a single operator would
	defer sys.configMu.Unlock()
	doc := *sys.document
	doc.Rules.OutOfService = slices.DeleteFunc(slices.Clone(doc.Rules.OutOfService), func(d string) bool { return d == domain })
	if out {
		doc.Rules.OutOfService = append(doc.Rules.OutOfService, domain)
	}
	sys.document = &doc
	return sys.applyConfig(ctx)
}

// applyFaults applies the fault update of e to the first e.Count targets of its
// service and failure domain, or to all of them if e.Count is 0.
func (sys *System) applyFaults(e *Event) {
	remaining := e.Count
	for _, t := range sys.targets {
		c := t.Config()
		if (e.FailureDomain != "" && c.FailureDomain != e.FailureDomain) || (e.Service != "" && sys.serviceOf[t] != e.Service) {
			continue
		}
		t.Apply(e.faultUpdate)
		if remaining--; remaining == 0 {
			return
		}
	}
}

// stopOneVM stops the first running entry VM of a failure domain gracefully. It
// does nothing if no entry VM runs there.
func (sys *System) stopOneVM(ctx context.Context, domain string) error {
	sys.mu.Lock()
	i := slices.IndexFunc(sys.vms, func(v *runningVM) bool { return !v.stopped && v.spec.FailureDomain == domain })
	sys.mu.Unlock()
	if i < 0 {
		return nil
	}
	return sys.stopVM(ctx, sys.vms[i])
}
