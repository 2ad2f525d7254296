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

// progress returns how far the server has warmed up: 0 after a start, 1 when warm.
func (w *warmupState) progress(now time.Time) float64 {
	if w.cold.WarmupCalls == 0 {
		return 1
	}
	progress := float64(w.served) / float64(w.cold.WarmupCalls)
	if w.cold.MinWarmupTime > 0 {
		progress = min(progress, float64(now.Sub(w.started))/float64(w.cold.MinWarmupTime))
	}
	return min(progress, 1)
}

// maxConcurrency returns the number of concurrent calls that the server accepts.
func (w *warmupState) maxConcurrency(now time.Time) int {
	progress := w.progress(now)
	if progress <= 0.5 {
		return 1
	}
	return 1 + int(math.Ceil(float64(w.slots-1)*(progress-0.5)*2))
}

// admit records the arrival of a call and reports whether the call is within the
// limits of a cold server. inFlight includes the call. A warm server has no limits
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
