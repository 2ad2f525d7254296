// Package lease keeps the lease of an entry VM and the assignment of pools to
// their holders. Both are stored as rows of the table in the platform's store.
// The store counts as unreachable while requests to this table fail.
//
// The holder of a pool is the VM that the assignment row names. The row names
// the incarnation under which that VM is registered; a VM registers under a new
// incarnation after a restart or the loss of its lease. When the lease of a
// holder has expired, a successor takes over its pools and revokes the lease. A
// handover moves a pool from a holder that is still running.
//
// If the store is unreachable, a holder may go on serving after its lease has
// expired, with the consent of other VMs:
//
//   - The witnesses of a lease are the incarnations listed in its row: the
//     holder itself, and the VMs of its region that it knew as registered when
//     it last renewed the lease.
//   - A supporting answer is an answer to a heartbeat of the holder from a VM
//     that knows the holder's lease as active and not revoked. Such a VM
//     supports the holder.
//   - A promise is a supporting answer of a VM that can't reach the store
//     either. For promiseDuration, that VM does not clear the holder, even if
//     it learns that the lease is revoked.
//   - A witness clears a revoked holder when it no longer supports it and its
//     last promise to it has ended. It reports this in its heartbeats. A
//     witness known to have stopped counts as if it had done so promiseDuration
//     after this became known.
//
// Promises permit full mode, supporting answers permit reduced mode. The
// successor waits until enough witnesses have cleared the former holder. Until
// it is certain that the former holder has stopped, the successor serves the
// pool under the half cap: it uses at most half of the slots of each target,
// rounded up, since the former holder may use the others in reduced mode.
package lease

// Mode states what a holder may send to the targets of its pools. If several
// modes apply, the holder is in the first of valid, full and reduced.
type Mode uint8

const (
	// ModeLost allows no new sends. It is the zero value.
	ModeLost Mode = iota
	// ModeValid allows all sends, because the lease is valid.
	ModeValid
	// ModeFull allows the same sends as ModeValid although the lease has
	// expired: the store is unreachable, and the holder has promises of
	// fullQuorum witnesses, a majority of the registered VMs of the region,
	// which can't reach the store either.
	ModeFull
	// ModeReduced allows half of the slots of warm targets and no warm-up step.
	// The lease has expired, and reducedQuorum witnesses support the holder.
	ModeReduced
)

// String returns the name of the mode as used in logs and state dumps.
func (m Mode) String() string {
	switch m {
	case ModeValid:
		return "valid"
	case ModeFull:
		return "full"
	case ModeReduced:
		return "reduced"
	default:
		return "lost"
	}
}
