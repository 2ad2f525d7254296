package lease

import (
	"cmp"
	"slices"
	"time"
)

// Times of the lease protocol. All VMs must use the same values, because a
// successor counts on the holder's.
const (
	// TTL is how long a renewal keeps a lease, from before it was sent.
	TTL = 3 * time.Second
	// safetyMargin is what the holder takes off TTL for the time between its
	// check and the system call that writes to the target.
	safetyMargin = 300 * time.Millisecond
	// evidenceAge is how long a renewal counter must stay unchanged before a
	// successor regards the lease as expired.
	evidenceAge = TTL + 500*time.Millisecond
	// RenewEvery is the interval of renewals.
	RenewEvery = time.Second
	// statementAge is how long a holder counts the answer of a witness, from
	// before its own request was written.
	statementAge = 2 * time.Second
	// promiseAge is how long a witness keeps its promise, and how long a
	// successor waits after a witness stopped supporting the former holder.
	// It exceeds statementAge, so clocks that run apart by 1 s in 3 s do no harm.
	promiseAge = 3 * time.Second
	// graceAge is how long a VM that registered or was isolated takes over no
	// pool without handover.
	graceAge = 5 * time.Second
	// firstAge is how long a VM that registered takes no pool that never had a
	// holder.
	firstAge = time.Second
	// candidateAge is the age of a registration from which a VM counts as a
	// successor. It is below graceAge, because the others see a registration
	// later; else the first of several VMs that start together takes all pools.
	candidateAge = graceAge - 1500*time.Millisecond
	// returnGrace follows a renewal after the end of the lease: the other VMs
	// of an outage get time to renew before one of them takes their pools.
	returnGrace = 2 * time.Second
	// isolatedAfter without any exchange with a sibling starts a new grace.
	isolatedAfter = 3 * time.Second

	scanEvery       = 5 * time.Second
	scanEveryAlert  = time.Second
	scanAllEvery    = 30 * time.Second
	silentAfter     = 1500 * time.Millisecond
	matureAge       = 10 * time.Second // registered this long before pools move to a VM
	handoverEvery   = time.Second
	handoverRetry   = 5 * time.Second
	cleanupAfter    = time.Minute
	noteKeep        = 10 * time.Minute
	goneAfter       = 10 * time.Second // least age of a revocation before the VM list counts
	unreachableWait = 500 * time.Millisecond
	maxConflicts    = 8
	scanLimit       = 5000
	// OpTimeout bounds one request to the table.
	OpTimeout = 900 * time.Millisecond
)

// elapsedValid returns how much time passed for the validity of a lease. The
// later of the two clocks counts: a suspended VM may stop the monotonic one.
func elapsedValid(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// Of n witnesses, the holder counted, the holder needs fullQuorum statements
// for full mode and reducedQuorum answers for reduced mode. A successor may
// start with beginQuorum witnesses that no longer support the holder, and
// exceeds half of the slots with liftQuorum of them. Any fullQuorum set shares
// a member with any beginQuorum set that leaves out the holder, and likewise
// reducedQuorum with liftQuorum.
func fullQuorum(n int) int    { return n - beginQuorum(n) + 1 }
func beginQuorum(n int) int   { return n / 2 }
func reducedQuorum(n int) int { return n - liftQuorum(n) + 1 }
func liftQuorum(n int) int    { return (n + 1) / 2 }

// window is the immutable answer to Mode. The zero value allows nothing.
type window struct {
	renewed time.Time // before the last renewal that took effect was sent
	full    time.Time // oldest statement that full mode needs
	reduced time.Time // oldest answer that reduced mode needs
	alone   bool      // reduced mode needs no other VM
}

func (w *window) mode(now time.Time) Mode {
	switch {
	case w == nil || w.renewed.IsZero():
		return ModeLost
	case elapsedValid(w.renewed, now) < TTL-safetyMargin:
		return ModeValid
	case !w.full.IsZero() && elapsedValid(w.full, now) < statementAge:
		return ModeFull
	case w.alone, !w.reduced.IsZero() && elapsedValid(w.reduced, now) < statementAge:
		return ModeReduced
	}
	return ModeLost
}

// quorumTime returns the time of the oldest of the need newest times, or the
// zero time if there are fewer.
func quorumTime(times []time.Time, need int) time.Time {
	if need <= 0 || len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return cmp.Compare(b.UnixNano(), a.UnixNano()) })
	return times[need-1]
}
