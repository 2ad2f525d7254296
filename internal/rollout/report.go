package rollout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// State is what is known of a version at one VM.
type State string

// States of a version at a VM.
const (
	// StateApplied: the VM says that it has the version or a higher one.
	StateApplied State = "in-force"
	// StateOutdated: the VM says that it has a lower version.
	StateOutdated State = "not-confirmed"
	// StateUnreachable: the VM does not respond, so it may have any version.
	StateUnreachable State = "not-heard"
)

// VMReport is the version at one VM.
type VMReport struct {
	VM      vm.Info
	State   State
	Version uint64 // 0: none, or not heard of
	// ConfirmedAge is the age of the VM's confirmation of its version. Confirmed is false above
	// ConfirmLimit.
	ConfirmedAge time.Duration
	Confirmed    bool
	Leaving      bool // by the platform's list
}

// QueryVMs asks every known VM for its version and returns what is known of
// version at each, this VM included, by region and ID. It takes at most about
// siblingTimeout plus the read of the platform's list.
func (s *Syncer) QueryVMs(ctx context.Context, version uint64) []VMReport {
	asked := s.everyone(ctx)
	start := s.Clock.Now()
	s.askAll(ctx, asked)
	now := s.Clock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := map[string]bool{}
	for _, e := range s.listed {
		leaving[e.Address] = e.Leaving
	}
	heard := map[string]sibling{}
	for _, sib := range s.progress.siblings {
		if !sib.heard.Before(start) {
			heard[sib.info.SiblingAddress] = sib
		}
	}
	age, ok := s.progress.confirmed(now)
	reports := []VMReport{{
		VM: s.Self, State: stateOf(s.progress.current, version), Version: s.progress.current,
		ConfirmedAge: age, Confirmed: ok, Leaving: leaving[s.Self.SiblingAddress],
	}}
	for _, v := range asked {
		r := VMReport{VM: v, State: StateUnreachable, Leaving: leaving[v.SiblingAddress]}
		if sib, ok := heard[v.SiblingAddress]; ok {
			r.VM, r.Version, r.State = sib.info, sib.version, stateOf(sib.version, version)
			if !sib.confirmedAt.IsZero() {
				r.ConfirmedAge = elapsed(sib.confirmedAt, now)
				r.Confirmed = r.ConfirmedAge <= ConfirmLimit
			}
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b VMReport) int {
		return cmp.Or(cmp.Compare(a.VM.Region, b.VM.Region), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	return reports
}

func stateOf(has, version uint64) State {
	if has >= version {
		return StateApplied
	}
	return StateOutdated
}

// Description is the state of a Store for a state dump.
type Description struct {
	Version   uint64            `json:"version"`
	Digest    string            `json:"digest"`
	Highest   uint64            `json:"highest"` // highest version seen anywhere
	Confirmed bool              `json:"confirmed"`
	AgeMs     int64             `json:"age_ms"`
	Siblings  map[vm.ID]uint64  `json:"siblings"` // versions as last heard
	Failures  map[string]string `json:"failures"` // current errors by cause
}

// Describe returns the state for a state dump.
func (s *Syncer) Describe(now time.Time) Description {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.progress.confirmed(now)
	d := Description{
		Version: s.progress.current, Highest: s.progress.highest, Confirmed: ok, AgeMs: age.Milliseconds(),
		Siblings: map[vm.ID]uint64{}, Failures: lo.OmitByValues(s.failures, []string{""}),
	}
	if v := s.current.Load(); v != nil {
		d.Digest = v.digest
	}
	for id, sib := range s.progress.siblings {
		d.Siblings[id] = sib.version
	}
	return d
}
