package fakebackend

import (
	"math"
	"slices"
	"time"
)

// warmupState is the state of a cold start. It does no locking of its own; the
// server's mu guards it.
type warmupState struct {
	cold           ColdStart
	slots          int
	started        time.Time
	served         int
	recentArrivals []time.Time // times of the arrivals within the last second; nil once warm
}

func newWarmupState(cold ColdStart, slots int, now time.Time) warmupState {
	return warmupState{cold: cold, slots: slots, started: now}
}

// progress returns how far the target has warmed up: 0 after a start, 1 when warm.
func (w *warmupState) progress(now time.Time) float64 {
	if w.cold.Calls == 0 {
		return 1
	}
	progress := float64(w.served) / float64(w.cold.Calls)
	if w.cold.Time > 0 {
		progress = min(progress, float64(now.Sub(w.started))/float64(w.cold.Time))
	}
	return min(progress, 1)
}

// maxConcurrency returns the number of concurrent calls that the target accepts.
func (w *warmupState) maxConcurrency(now time.Time) int {
	progress := w.progress(now)
	if progress <= 0.5 {
		return 1
	}
	return 1 + int(math.Ceil(float64(w.slots-1)*(progress-0.5)*2))
}

// admit records the arrival of a call and reports whether the call is within the
// limits of a cold target. inFlight includes the call. A warm target has no limits
// here.
func (w *warmupState) admit(now time.Time, inFlight int) bool {
	progress := w.progress(now)
	if progress >= 1 {
		w.recentArrivals = nil
		return true
	}
	w.recentArrivals = slices.DeleteFunc(w.recentArrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	w.recentArrivals = append(w.recentArrivals, now)
	if w.cold.Rate > 0 && float64(len(w.recentArrivals)) > w.cold.Rate/(1-progress) {
		return false
	}
	return inFlight <= w.maxConcurrency(now)
}

// slowdownFactor returns the factor by which service times are multiplied: Slowdown
// after a start, 1 when warm.
func (w *warmupState) slowdownFactor(now time.Time) float64 {
	if w.cold.Slowdown <= 1 {
		return 1
	}
	return w.cold.Slowdown - (w.cold.Slowdown-1)*w.progress(now)
}
