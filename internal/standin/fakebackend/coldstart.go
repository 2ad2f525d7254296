package fakebackend

import (
	"math"
	"slices"
	"time"
)

// warmth is the state of a cold start. The caller locks it.
type warmth struct {
	cold    ColdStart
	slots   int
	started time.Time
	served  int
	arrived []time.Time // arrivals within the last second, while cold
}

func newWarmth(cold ColdStart, slots int, now time.Time) warmth {
	return warmth{cold: cold, slots: slots, started: now}
}

// level returns 0 for a cold target up to 1 for a warm one.
func (w *warmth) level(now time.Time) float64 {
	if w.cold.Calls == 0 {
		return 1
	}
	level := float64(w.served) / float64(w.cold.Calls)
	if w.cold.Time > 0 {
		level = min(level, float64(now.Sub(w.started))/float64(w.cold.Time))
	}
	return min(level, 1)
}

// concurrency returns how many calls at once the target bears.
func (w *warmth) concurrency(now time.Time) int {
	level := w.level(now)
	if level <= 0.5 {
		return 1
	}
	return 1 + int(math.Ceil(float64(w.slots-1)*(level-0.5)*2))
}

// arrive notes a call and reports whether the target bears it. inFlight counts
// the call. A warm target bears everything.
func (w *warmth) arrive(now time.Time, inFlight int) bool {
	level := w.level(now)
	if level >= 1 {
		w.arrived = nil
		return true
	}
	w.arrived = slices.DeleteFunc(w.arrived, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	w.arrived = append(w.arrived, now)
	if w.cold.Rate > 0 && float64(len(w.arrived)) > w.cold.Rate/(1-level) {
		return false
	}
	return inFlight <= w.concurrency(now)
}

// slowdown returns the factor on the service time.
func (w *warmth) slowdown(now time.Time) float64 {
	if w.cold.Slowdown <= 1 {
		return 1
	}
	return w.cold.Slowdown - (w.cold.Slowdown-1)*w.level(now)
}
