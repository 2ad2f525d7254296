package loadtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// compile validates an event and decodes its faults into faultUpdate. It returns
// all validation errors.
func (e *Event) compile(domains, services []string) []error {
	var errs []error
	fail := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("event %s at %g s: %w", e.Action, e.AtS, fmt.Errorf(format, args...)))
	}
	if !(e.AtS >= 0) || e.Count < 0 {
		fail("at_s and count must not be negative")
	}
	if e.FailureDomain != "" && !slices.Contains(domains, e.FailureDomain) {
		fail("failure domain %q is not defined in failure_domains", e.FailureDomain)
	}
	if e.Service != "" && !slices.Contains(services, e.Service) {
		fail("service %q is not defined in services", e.Service)
	}
	switch e.Action {
	case ActionTakeOut, ActionPutBack, ActionStopVM:
		if e.FailureDomain == "" {
			fail("failure_domain must be set")
		}
	case ActionCut, ActionHeal, ActionFreeze, ActionThaw:
	case ActionFaults:
		raw, err := json.Marshal(e.Faults)
		if err != nil {
			fail("faults: %w", err)
			break
		}
		d := json.NewDecoder(bytes.NewReader(raw))
		d.DisallowUnknownFields()
		if err := d.Decode(&e.faultUpdate); err != nil {
			fail("faults: %w", err)
		}
	default:
		fail("this action does not exist")
	}
	return errs
}
