// Package hrtimer waits with a precision below that of the timers of the Go
// runtime, for stand-ins and tools that measure fractions of a millisecond.
package hrtimer

import (
	"errors"
	"syscall"
	"time"
)

// coarse is how much of a wait is left to the operating system's timer. An idle
// Go program wakes for its own timers only in steps of 1 ms.
const coarse = 1500 * time.Microsecond

// WaitUntil waits until at. It returns false if done is closed before; within
// the last 1.5 ms it does not look at done. It may be called from any
// goroutine and takes a thread for the last 1.5 ms.
func WaitUntil(done <-chan struct{}, at time.Time) bool {
	if left := time.Until(at); left > coarse {
		timer := time.NewTimer(left - coarse)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		}
	}
	select {
	case <-done:
		return false
	default:
	}
	for left := time.Until(at); left > 0; left = time.Until(at) {
		ts := syscall.NsecToTimespec(left.Nanoseconds())
		if err := syscall.Nanosleep(&ts, nil); err != nil && !errors.Is(err, syscall.EINTR) {
			time.Sleep(left)
		}
	}
	return true
}
