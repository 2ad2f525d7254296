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

// Ages and intervals of the rollout.
const (
	// MaxConfirmedAge is the maximum age of a confirmation. A version with an
	// older one does not count as confirmed.
	MaxConfirmedAge = 5 * time.Second
	// PollInterval is the mean time between two reads of the head, the store
	// row that names the current version.
	PollInterval = 2 * time.Second
	// firstRetryInterval is the mean time from the first failed read to the
	// next. The longest poll delay, one read that times out and this interval
	// together are shorter than MaxConfirmedAge, so a VM stays confirmed if a
	// single read is lost. Later reads use PollInterval, to put no extra load
	// on a store that is down.
	firstRetryInterval = 500 * time.Millisecond
	// pollJitter is the relative deviation from the mean interval, up or down.
	// It spreads the reads of VMs that started in the same second.
	pollJitter = 0.2
	// siblingRetention is how long a sibling that sends nothing is kept in the
	// report.
	siblingRetention = 10 * time.Minute
)

// NotConfirmed is the age that stands for a version without a confirmation.
const NotConfirmed = membership.NotConfirmed

// progress is what is known at this VM about versions of the configuration. It
// is not safe for concurrent use.
//
// A confirmation at time t means that no version higher than the one in force
// was accepted before t, that is, the head row named none until t.
type progress struct {
	current     uint64
	highest     uint64 // highest version seen at any VM or in the store
	confirmedAt time.Time
	// pendingAt is the time of a confirmation of version pending, which is not
	// in force at this VM yet.
	pending   uint64
	pendingAt time.Time
	siblings  map[vm.ID]sibling
}

type sibling struct {
	info        vm.Info
	version     uint64
	lastSeen    time.Time
	confirmedAt time.Time // zero: not confirmed
}

// recordConfirmation records that no version higher than version was accepted
// before time t. If version is lower than the one in force, the latter is
// confirmed too: no version above the lower one was accepted before t, so none
// above the one in force was.
func (p *progress) recordConfirmation(t time.Time, version uint64) {
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

// recordInstalled records the version in force. If a confirmation of it or of a
// lower version is pending, that confirmation takes effect.
func (p *progress) recordInstalled(version uint64) {
	p.current = version
	p.highest = max(p.highest, version)
	if p.pending != 0 && p.pending <= version {
		p.recordConfirmation(p.pendingAt, p.pending)
		p.pending, p.pendingAt = 0, time.Time{}
	}
}

// behind reports whether a version higher than the one in force has been seen.
func (p *progress) behind() bool { return p.highest > p.current }

// recordSibling records the version of a sibling and the age of its
// confirmation. A negative age means that the version is not confirmed.
func (p *progress) recordSibling(now time.Time, from vm.Info, version uint64, age time.Duration) {
	if p.siblings == nil {
		p.siblings = map[vm.ID]sibling{}
	}
	s := sibling{info: from, version: version, lastSeen: now}
	if old, ok := p.siblings[from.ID]; ok && from.SiblingAddress == "" {
		s.info.SiblingAddress = old.info.SiblingAddress
	}
	p.highest = max(p.highest, version)
	if age >= 0 {
		s.confirmedAt = now.Add(-age)
		p.recordConfirmation(s.confirmedAt, version)
	}
	p.siblings[from.ID] = s
}

// confirmedAge returns the age of the confirmation of the version in force. ok
// is false if the age exceeds MaxConfirmedAge, no version is in force, or the
// version in force was never confirmed.
func (p *progress) confirmedAge(now time.Time) (age time.Duration, ok bool) {
	if p.current == 0 || p.confirmedAt.IsZero() {
		return 0, false
	}
	age = elapsed(p.confirmedAt, now)
	return age, age <= MaxConfirmedAge
}

// elapsed returns the time between two moments by the monotonic or by the wall
// clock, whichever is longer, since either clock may stop or jump while the VM
// is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}

// pullSources returns the siblings with a higher version than the one in force,
// ordered by descending version; of the same version, siblings in region come
// first.
func (p *progress) pullSources(region string) []vm.Info {
	var newer []sibling
	for _, s := range p.siblings {
		if s.version > p.current && s.info.SiblingAddress != "" {
			newer = append(newer, s)
		}
	}
	slices.SortFunc(newer, func(a, b sibling) int {
		return cmp.Or(cmp.Compare(b.version, a.version), compareByRegion(a.info, b.info, region))
	})
	return lo.Map(newer, func(s sibling, _ int) vm.Info { return s.info })
}

// compareByRegion orders VMs of ownRegion before others, and VMs of the same
// group by ID.
func compareByRegion(a, b vm.Info, ownRegion string) int {
	rank := func(v vm.Info) int {
		if v.Region == ownRegion {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
}

func sortByRegion(vms []vm.Info, ownRegion string) {
	slices.SortFunc(vms, func(a, b vm.Info) int { return compareByRegion(a, b, ownRegion) })
}

func (p *progress) dropSilentSiblings(now time.Time) {
	for id, s := range p.siblings {
		if elapsed(s.lastSeen, now) > siblingRetention {
			delete(p.siblings, id)
		}
	}
}

// pushReceivers returns the siblings to which a version is pushed: all siblings
// of this VM's region and two of each other region. The two depend on the
// version, so successive versions go to different VMs.
func pushReceivers(self vm.Info, siblings []vm.Info, version uint64) []vm.Info {
	const perRegion = 2
	var receivers []vm.Info
	otherRegions := map[string][]vm.Info{}
	for _, s := range siblings {
		switch s.Region {
		case self.Region:
			if s.ID != self.ID {
				receivers = append(receivers, s)
			}
		default:
			otherRegions[s.Region] = append(otherRegions[s.Region], s)
		}
	}
	for _, list := range otherRegions {
		sortByRegion(list, self.Region)
		for i := range min(perRegion, len(list)) {
			receivers = append(receivers, list[(int(version%math.MaxInt32)+i)%len(list)])
		}
	}
	sortByRegion(receivers, self.Region)
	return receivers
}

// pollDelay returns the time until the next read of the head. failures is the
// number of consecutive failed reads, and jitter is in [0,1).
func pollDelay(failures int, jitter float64) time.Duration {
	interval := PollInterval
	if failures == 1 {
		interval = firstRetryInterval
	}
	return time.Duration(float64(interval) * (1 - pollJitter + 2*pollJitter*jitter))
}

// EncodeAge converts an age to milliseconds as sent in messages, rounded up.
// The highest uint32 means "not confirmed".
func EncodeAge(age time.Duration, ok bool) uint32 {
	if !ok || age < 0 || age.Milliseconds() >= math.MaxUint32 {
		return math.MaxUint32
	}
	return uint32((age + time.Millisecond - 1).Milliseconds()) //nolint:gosec // bounded above
}

// DecodeAge reverses EncodeAge. It returns NotConfirmed for the highest uint32.
func DecodeAge(ms uint32) time.Duration {
	if ms == math.MaxUint32 {
		return NotConfirmed
	}
	return time.Duration(ms) * time.Millisecond
}
