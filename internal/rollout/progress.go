package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/membership"

	"github.com/samber/lo"

	"goldcresthinge.example/goldcresthinge/internal/vm"
)

// Times of the rollout.
const (
	// ConfirmLimit is the age up to which a version counts as confirmed.
	ConfirmLimit = 5 * time.Second
	// PollInterval is the mean time between two reads of the head.
	PollInterval = 2 * time.Second
	// retryInterval is the mean time after the first failed read. The longest
	// poll delay, one read that times out and this delay fit into
	// ConfirmLimit, so that a single lost read does no harm. Later reads keep
	// to PollInterval, so that a store that is down is not loaded.
	retryInterval = 500 * time.Millisecond
	// pollJitter spreads the reads of VMs that started in the same second.
	pollJitter = 0.2
	// forgetAfter is the time after which a silent sibling is dropped from
	// the report.
	forgetAfter = 10 * time.Minute
)

// NotConfirmed is the age of a sibling that has no confirmation.
const NotConfirmed = membership.NotConfirmed

// progress is what this VM knows about versions. It is not safe for concurrent
// use.
//
// A confirmation at time t means that no version higher than the one in force
// was accepted before t.
type progress struct {
	current     uint64
	highest     uint64 // highest version seen anywhere
	confirmedAt time.Time
	// pendingAt is a confirmation of version pending, which is not in force
	// here yet.
	pending   uint64
	pendingAt time.Time
	siblings  map[vm.ID]sibling
}

type sibling struct {
	info        vm.Info
	version     uint64
	heard       time.Time
	confirmedAt time.Time // zero: not confirmed
}

// confirm notes that at time t no version higher than version was accepted.
func (p *progress) confirm(t time.Time, version uint64) {
	p.highest = max(p.highest, version)
	switch {
	case version <= p.current:
		if t.After(p.confirmedAt) {
			p.confirmedAt = t
		}
	case version > p.pending || (version == p.pending && t.After(p.pendingAt)):
		p.pending, p.pendingAt = version, t
	}
}

// installed notes the version in force.
func (p *progress) installed(version uint64) {
	p.current = version
	p.highest = max(p.highest, version)
	if p.pending != 0 && p.pending <= version {
		p.confirm(p.pendingAt, p.pending)
		p.pending, p.pendingAt = 0, time.Time{}
	}
}

// behind reports whether a higher version than the one in force is known.
func (p *progress) behind() bool { return p.highest > p.current }

// observe notes the version of a sibling. age below zero: not confirmed.
func (p *progress) observe(now time.Time, from vm.Info, version uint64, age time.Duration) {
	if p.siblings == nil {
		p.siblings = map[vm.ID]sibling{}
	}
	s := sibling{info: from, version: version, heard: now}
	if old, ok := p.siblings[from.ID]; ok && from.SiblingAddress == "" {
		s.info.SiblingAddress = old.info.SiblingAddress
	}
	p.highest = max(p.highest, version)
	if age >= 0 {
		s.confirmedAt = now.Add(-age)
		p.confirm(s.confirmedAt, version)
	}
	p.siblings[from.ID] = s
}

// confirmed returns the age of the confirmation of the version in force. ok is
// false above ConfirmLimit and before the first version.
func (p *progress) confirmed(now time.Time) (age time.Duration, ok bool) {
	if p.current == 0 || p.confirmedAt.IsZero() {
		return 0, false
	}
	age = elapsed(p.confirmedAt, now)
	return age, age <= ConfirmLimit
}

// elapsed returns the larger of the monotonic and the wall time between two
// moments, since either may stop or step while a VM is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}

// sources returns the siblings that have a higher version than the one in
// force: the highest first, and those of the own region before others.
func (p *progress) sources(region string) []vm.Info {
	var found []sibling
	for _, s := range p.siblings {
		if s.version > p.current && s.info.SiblingAddress != "" {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b sibling) int {
		return cmp.Or(cmp.Compare(b.version, a.version), byRegion(a.info, b.info, region))
	})
	return lo.Map(found, func(s sibling, _ int) vm.Info { return s.info })
}

// byRegion orders VMs of the own region before others, and then by ID.
func byRegion(a, b vm.Info, own string) int {
	rank := func(v vm.Info) int {
		if v.Region == own {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
}

func sortByRegion(vms []vm.Info, own string) {
	slices.SortFunc(vms, func(a, b vm.Info) int { return byRegion(a, b, own) })
}

func (p *progress) forget(now time.Time) {
	for id, s := range p.siblings {
		if elapsed(s.heard, now) > forgetAfter {
			delete(p.siblings, id)
		}
	}
}

// pushTargets picks the receivers of a push: all siblings of the own region
// and two of each other region, which differ from version to version.
func pushTargets(self vm.Info, siblings []vm.Info, version uint64) []vm.Info {
	const perRegion = 2
	var targets []vm.Info
	others := map[string][]vm.Info{}
	for _, s := range siblings {
		switch s.Region {
		case self.Region:
			if s.ID != self.ID {
				targets = append(targets, s)
			}
		default:
			others[s.Region] = append(others[s.Region], s)
		}
	}
	for _, list := range others {
		sortByRegion(list, self.Region)
		for i := range min(perRegion, len(list)) {
			targets = append(targets, list[(int(version%math.MaxInt32)+i)%len(list)])
		}
	}
	sortByRegion(targets, self.Region)
	return targets
}

// pollDelay returns the time to the next read of the head after a number of
// failed reads in a row; jitter is in [0,1).
func pollDelay(failures int, jitter float64) time.Duration {
	interval := PollInterval
	if failures == 1 {
		interval = retryInterval
	}
	return time.Duration(float64(interval) * (1 - pollJitter + 2*pollJitter*jitter))
}

// AgeToWire converts an age to the milliseconds of a message. The highest
// uint32 stands for not confirmed.
func AgeToWire(age time.Duration, ok bool) uint32 {
	if !ok || age < 0 || age.Milliseconds() >= math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32((age + time.Millisecond - 1).Milliseconds()) //nolint:gosec // bounded above
}

// AgeFromWire reverses AgeToWire; not confirmed becomes NotConfirmed.
func AgeFromWire(ms uint32) time.Duration {
	if ms == math.MaxUint32 {
		return NotConfirmed
	}
	return time.Duration(ms) * time.Millisecond
}
