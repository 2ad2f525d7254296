// Package lease keeps the lease of an entry VM and the assignment of pools to
// their holders in the platform's table.
package lease

// Mode says what a holder may send to the targets of its pools.
type Mode uint8

const (
	// ModeLost allows no new send. It is the zero value.
	ModeLost Mode = iota
	// ModeValid allows all sends: the lease is valid.
	ModeValid
	// ModeFull allows all sends although the lease has expired: the store is down
	// and a majority of the registered VMs of the region confirms that it
	// cannot reach the store either.
	ModeFull
	// ModeReduced allows half of the slots of warm targets and no ramp step.
	ModeReduced
)

// String returns the name used in logs and state dumps.
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
