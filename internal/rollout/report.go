package rollout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// State is the state of a version at one VM.
type State string

// States of a version at a VM. The reports to operators contain their texts.
const (
	// StateApplied means that the VM reports this version or a higher one.
	StateApplied State = "in-force"
	// StateOutdated means that the VM reports a lower version.
	StateOutdated State = "not-confirmed"
	// StateUnreachable means that the VM does not respond, so its version is
	// unknown.
	StateUnreachable State = "not-heard"
)

// VMReport is the state of a version at one VM.
type VMReport struct {
	VM      vm.Info
	State   State
	Version uint64 // 0: none, or the VM is unreachable
	// ConfirmedAge is the age of the VM's confirmation of its version.
	// Confirmed is false if the age exceeds MaxConfirmedAge or the VM has not
	// stated one.
	ConfirmedAge time.Duration
	Confirmed    bool
	Leaving      bool // the platform's list says that the VM is leaving
}

// QueryVMs asks every known VM for its version and returns the state of version
// at each of them and at this VM, sorted by region and ID. VMs are asked up to
// maxConcurrentExchanges at a time; with no more VMs than that, it takes about
// exchangeTimeout plus the time to read the platform's list.
func (s *Syncer) QueryVMs(ctx context.Context, version uint64) []VMReport {
	queried := s.knownVMs(ctx)
	start := s.Clock.Now()
	s.queryVersions(ctx, queried)
	now := s.Clock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := map[string]bool{}
	for _, e := range s.lastVMList {
		leaving[e.Address] = e.Leaving
	}
	responded := map[string]sibling{}
	for _, sib := range s.progress.siblings {
		if !sib.lastSeen.Before(start) {
			responded[sib.info.SiblingAddress] = sib
		}
	}
	age, ok := s.progress.confirmedAge(now)
	reports := []VMReport{{
		VM: s.Self, State: stateOf(s.progress.current, version), Version: s.progress.current,
		ConfirmedAge: age, Confirmed: ok, Leaving: leaving[s.Self.SiblingAddress],
	}}
	for _, v := range queried {
		r := VMReport{VM: v, State: StateUnreachable, Leaving: leaving[v.SiblingAddress]}
		if sib, ok := responded[v.SiblingAddress]; ok {
			r.VM, r.Version, r.State = sib.info, sib.version, stateOf(sib.version, version)
			if !sib.confirmedAt.IsZero() {
				r.ConfirmedAge = elapsed(sib.confirmedAt, now)
				r.Confirmed = r.ConfirmedAge <= MaxConfirmedAge
			}
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b VMReport) int {
		return cmp.Or(cmp.Compare(a.VM.Region, b.VM.Region), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	return reports
}

func stateOf(actual, wanted uint64) State {
	if actual >= wanted {
		return StateApplied
	}
	return StateOutdated
}

// Description is the state of a Syncer for a state dump.
type Description struct {
	Version   uint64            `json:"version"`
	Digest    string            `json:"digest"`
	Highest   uint64            `json:"highest"` // highest version seen at any VM or in the store
	Confirmed bool              `json:"confirmed"`
	AgeMs     int64             `json:"age_ms"`
	Siblings  map[vm.ID]uint64  `json:"siblings"` // last version that each sibling reported
	Failures  map[string]string `json:"failures"` // current errors by cause
}

// Describe returns the state for a state dump.
func (s *Syncer) Describe(now time.Time) Description {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.progress.confirmedAge(now)
	d := Description{
		Version: s.progress.current, Highest: s.progress.highest, Confirmed: ok, AgeMs: age.Milliseconds(),
		Siblings: map[vm.ID]uint64{}, Failures: lo.OmitByValues(s.loggedErrors, []string{""}),
	}
	if v := s.current.Load(); v != nil {
		d.Digest = v.digest
	}
	for id, sib := range s.progress.siblings {
		d.Siblings[id] = sib.version
	}
	return d
}
