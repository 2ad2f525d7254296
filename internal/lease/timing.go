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
	// answerValidity is how long a supporting answer of a witness or a promise
	// keeps the holder in reduced or full mode, counted from before the holder
	// wrote its request.
	answerValidity = 2 * time.Second
	// promiseDuration is how long a witness keeps a promise. It is also how
	// long ago a witness must have cleared the former holder before a successor
	// counts the witness for lifting the half cap. It exceeds answerValidity by
	// 1 s, so the holder stops counting an answer before a successor counts the
	// same witness, as long as the clocks of the VMs drift apart by at most 1 s
	// in 3 s.
	promiseDuration = 3 * time.Second
	// takeoverGrace is how long a VM must wait before it may take over pools,
	// after it has registered, lost its lease or become isolated. Handovers and
	// first assignments do not wait for it.
	takeoverGrace = 5 * time.Second
	// firstAssignmentDelay is how long a VM that has registered waits before it
	// takes pools that never had a holder.
	firstAssignmentDelay = time.Second
	// takeoverCandidateAge is how long a VM must have been registered to count
	// as a successor in a takeover. Each VM counts this time from when it first
	// saw the registration. The time is 1.5 s shorter than takeoverGrace, for
	// registrations that are seen late: if both were equal, the first of
	// several VMs that start together would not count the others yet and would
	// take over all pools.
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
	earlyScanInterval      = time.Second // between scans while rows may have changed; mean delay of the next scan after a failed one
	allRegionsScanInterval = 30 * time.Second
	siblingSilentAfter     = 1500 * time.Millisecond
	handoverCandidateAge   = 10 * time.Second // a VM must have been registered this long to receive pools in a handover
	handoverInterval       = time.Second      // least time between the starts of two handovers, except in a planned stop
	handoverRetryDelay     = 5 * time.Second  // after a successor did not accept a pool
	cleanupDelay           = time.Minute      // least age of a released or revoked row before it is deleted
	recordRetention        = 10 * time.Minute // least age at which records of promises, answers and former incarnations are deleted
	vmListDelay            = 10 * time.Second // a revocation must be this old before the absence of a VM from the platform's VM list proves that the VM has stopped
	unreachableAfter       = 500 * time.Millisecond
	maxConflicts           = 8 // after as many in a row, the next attempt waits for a scan
	maxScanRows            = 5000
	// RequestTimeout limits each request to the table and each handover
	// message.
	RequestTimeout = 900 * time.Millisecond
)

// elapsedForValidity returns the time elapsed since from, for checks of lease
// validity. It is the larger of the readings of the monotonic clock and the
// wall clock, because the monotonic clock may stop while the VM is suspended.
func elapsedForValidity(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// Quorums for a lease row with n witnesses, the holder included; the package
// comment defines the terms.
//
//   - The holder is in full mode with the promises of fullQuorum witnesses, and
//     in reduced mode with the supporting answers of reducedQuorum witnesses.
//     It counts itself as one of them.
//   - A successor may start pools under the half cap when startQuorum
//     witnesses have cleared the former holder. It may lift the half cap when
//     halfCapLiftQuorum witnesses did so at least promiseDuration ago. The
//     former holder does not count as one of them.
//
// Any fullQuorum witnesses and any startQuorum witnesses other than the holder
// have a VM in common. The same is true of reducedQuorum and halfCapLiftQuorum.
// With n = 1, fullQuorum is 2, so full mode is impossible; reducedQuorum is 1,
// so the holder is in reduced mode without an answer.
func fullQuorum(n int) int        { return n - startQuorum(n) + 1 }
func startQuorum(n int) int       { return n / 2 }
func reducedQuorum(n int) int     { return n - halfCapLiftQuorum(n) + 1 }
func halfCapLiftQuorum(n int) int { return (n + 1) / 2 }

// modeTimes holds the times from which the mode at any time follows. It is
// immutable. The zero value means ModeLost.
type modeTimes struct {
	renewed time.Time // time just before the last renewal that took effect was sent
	full    time.Time // when the oldest request was sent whose answer is needed for full mode; zero: no quorum
	reduced time.Time // when the oldest request was sent whose answer is needed for reduced mode; zero: no quorum
	alone   bool      // reduced mode needs no answer of another VM
}

func (w *modeTimes) mode(now time.Time) Mode {
	switch {
	case w == nil || w.renewed.IsZero():
		return ModeLost
	case elapsedForValidity(w.renewed, now) < TTL-safetyMargin:
		return ModeValid
	case !w.full.IsZero() && elapsedForValidity(w.full, now) < answerValidity:
		return ModeFull
	case w.alone, !w.reduced.IsZero() && elapsedForValidity(w.reduced, now) < answerValidity:
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
