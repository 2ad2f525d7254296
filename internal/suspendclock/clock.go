// Package suspendclock is a monotonic clock that goes on while the VM is suspended. The monotonic
// clock of package time stops then, so that ages measured with it are too small.
package suspendclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time of the clock: the time since the start of the VM. The zero value means that
// there is none. Instants of different VMs cannot be compared.
type Instant time.Duration

// Now returns the present instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock no age can be bounded, so that every check would pass wrongly.
		panic(fmt.Sprintf("clock that counts suspended time: %v", err))
	}
	return Instant(ts.Nano())
}

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
