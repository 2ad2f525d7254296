// Package hrtimer waits with a higher resolution than the timers of the Go
// runtime, for emulated delays and measurements of less than a millisecond.
package hrtimer

import (
	"errors"
	"syscall"
	"time"
)

// nanosleepWindow is the last part of a wait, which is spent in the nanosleep
// system call. The Go runtime's timers are too coarse for it: an idle Go program
// wakes for them only in steps of 1 ms.
const nanosleepWindow = 1500 * time.Microsecond

// WaitUntil waits until deadline and returns true, or returns false if done is
// closed before. Once the remaining time is at most nanosleepWindow, it checks done
// one last time and then sleeps in a system call, which occupies an operating system
// thread. It may be called from any goroutine.
func WaitUntil(done <-chan struct{}, deadline time.Time) bool {
	if left := time.Until(deadline); left > nanosleepWindow {
		timer := time.NewTimer(left - nanosleepWindow)
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
	for left := time.Until(deadline); left > 0; left = time.Until(deadline) {
		ts := syscall.NsecToTimespec(left.Nanoseconds())
		if err := syscall.Nanosleep(&ts, nil); err != nil && !errors.Is(err, syscall.EINTR) {
			time.Sleep(left)
		}
	}
	return true
}
