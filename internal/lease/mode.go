// Package lease keeps the lease of an entry VM and the assignment of pools to
// their holders in the platform's table.
package lease

// Mode says what a holder may send to the targets of its pools.
type Mode uint8

const (
	// Lost allows no new send. It is the zero value.
	Lost Mode = iota
	// Valid allows all sends: the lease is valid.
	Valid
	// Full allows all sends although the lease has expired: the store is down
	// and a majority of the registered VMs of the region confirms that it
	// cannot reach the store either.
	Full
	// Reduced allows half of the slots of warm targets and no ramp step.
	Reduced
)

// String returns the name used in logs and state dumps.
func (m Mode) String() string {
	switch m {
	case Valid:
		return "valid"
	case Full:
		return "full"
	case Reduced:
		return "reduced"
	default:
		return "lost"
	}
}
