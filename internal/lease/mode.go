// Package lease keeps the lease of an entry VM and the assignment of pools to
// their holders. Both are stored as rows in the platform's table.
package lease

// Mode states what a holder may send to the targets of its pools.
type Mode uint8

const (
	// ModeLost allows no new sends. It is the zero value.
	ModeLost Mode = iota
	// ModeValid allows all sends, because the lease is valid.
	ModeValid
	// ModeFull allows all sends although the lease has expired: the store is
	// unreachable, and a majority of the registered VMs of the region confirms
	// that it can't reach the store either.
	ModeFull
	// ModeReduced allows half of the slots of warm targets and no warm-up step.
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
