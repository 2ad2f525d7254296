package lease

import (
	"cmp"
	"slices"
	"time"
)

// Durations of the lease protocol. All VMs must use the same values, because a
// successor relies on those of the holder.
const (
	// TTL is how long a lease is valid after a renewal, counted from before the
	// renewal was sent.
	TTL = 3 * time.Second
	// safetyMargin is subtracted from TTL by the holder to cover the time
	// between its check of the lease and the system call that writes to the
	// target.
	safetyMargin = 300 * time.Millisecond
	// expiryAge is how long a renewal counter must remain unchanged before a
	// successor treats the lease as expired.
	expiryAge = TTL + 500*time.Millisecond
	// RenewInterval is the interval between lease renewals.
	RenewInterval = time.Second
	// answerValidity is how long a holder counts the answer of a witness, from
	// before the holder wrote its request.
	answerValidity = 2 * time.Second
	// promiseDuration is how long a witness keeps a promise, and how long a
	// successor waits after a witness has stopped supporting the former holder.
	// It exceeds answerValidity, so clocks that diverge by up to 1 s in 3 s do
	// no harm.
	promiseDuration = 3 * time.Second
	// takeoverGrace is how long a VM takes over no pools without a handover,
	// after it has registered or become isolated.
	takeoverGrace = 5 * time.Second
	// firstAssignmentDelay is how long a VM that has registered waits before it
	// takes pools that never had a holder.
	firstAssignmentDelay = time.Second
	// takeoverCandidateAge is how long a VM must have been registered to count
	// as a successor in a takeover. It is shorter than takeoverGrace, because
	// other VMs learn of a registration later. Otherwise, the first of several
	// VMs that start together would take all pools.
	takeoverCandidateAge = takeoverGrace - 1500*time.Millisecond
	// lateRenewalGrace is the takeover grace after a renewal that came after
	// the end of the lease. It gives the other VMs affected by the same outage
	// time to renew before one of them takes over their pools.
	lateRenewalGrace = 2 * time.Second
	// isolatedAfter is the time without a heartbeat exchange with any sibling
	// of the region after which a VM counts as isolated and its takeover grace
	// starts again.
	isolatedAfter = 3 * time.Second

	scanInterval           = 5 * time.Second
	alertScanInterval      = time.Second // while rows may have changed
	allRegionsScanInterval = 30 * time.Second
	siblingSilentAfter     = 1500 * time.Millisecond
	handoverCandidateAge   = 10 * time.Second // a VM must have been registered this long to receive pools in a handover
	handoverInterval       = time.Second
	handoverRetryDelay     = 5 * time.Second // after a successor did not accept a pool
	cleanupDelay           = time.Minute     // least age of a released or revoked row before it is deleted
	recordRetention        = 10 * time.Minute
	vmListDelay            = 10 * time.Second // a revocation must be this old before the platform's VM list counts
	unreachableAfter       = 500 * time.Millisecond
	maxConflicts           = 8 // after as many in a row, the next attempt waits for a scan
	maxScanRows            = 5000
	// RequestTimeout limits each request to the table and each handover
	// message.
	RequestTimeout = 900 * time.Millisecond
)

// elapsedValid returns the time elapsed since from, for checks of lease
// validity. It is the larger of the readings of the monotonic clock and the
// wall clock, because the monotonic clock may stop while the VM is suspended.
func elapsedValid(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// Quorums for a lease row with n witnesses, the holder included. The holder
// needs fullQuorum promises for full mode and reducedQuorum supporting answers
// for reduced mode; it counts itself as one. A successor may start pools when
// startQuorum witnesses no longer support the former holder, and may use more
// than half of the slots when liftQuorum of them do not. Any fullQuorum
// witnesses and any startQuorum witnesses other than the holder have a VM in
// common; so do reducedQuorum and liftQuorum.
func fullQuorum(n int) int    { return n - startQuorum(n) + 1 }
func startQuorum(n int) int   { return n / 2 }
func reducedQuorum(n int) int { return n - liftQuorum(n) + 1 }
func liftQuorum(n int) int    { return (n + 1) / 2 }

// window determines the mode at any time. It is immutable. The zero value means
// ModeLost.
type window struct {
	renewed time.Time // time just before the last renewal that took effect was sent
	full    time.Time // send time of the oldest request whose answer full mode depends on
	reduced time.Time // send time of the oldest request whose answer reduced mode depends on
	alone   bool      // reduced mode needs no answer of another VM
}

func (w *window) mode(now time.Time) Mode {
	switch {
	case w == nil || w.renewed.IsZero():
		return ModeLost
	case elapsedValid(w.renewed, now) < TTL-safetyMargin:
		return ModeValid
	case !w.full.IsZero() && elapsedValid(w.full, now) < answerValidity:
		return ModeFull
	case w.alone, !w.reduced.IsZero() && elapsedValid(w.reduced, now) < answerValidity:
		return ModeReduced
	}
	return ModeLost
}

// nthNewest returns the need-th newest of times, or the zero time if there are
// fewer or need is not positive. It sorts times in place.
func nthNewest(times []time.Time, need int) time.Time {
	if need <= 0 || len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(b.UnixNano(), a.UnixNano()) })
	return times[need-1]
}
