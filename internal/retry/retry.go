// Package retry bounds how many calls are sent a second time.
package retry

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// Minimum is the number of retries that a service has before its first
	// attempts have earned any, so that a quiet service can retry at all.
	Minimum = 3
	// burst bounds what a long quiet time saves up. A larger store would
	// multiply the load at the start of an outage.
	burst = 10
	// unit is the scale of the fixed-point tokens.
	unit = 1_000_000
)

// Budget allows retries as a share of first attempts, per service. It is safe
// for concurrent use. The retries of a service never exceed share times its
// first attempts plus Minimum.
type Budget struct {
	gain     int64 // tokens per first attempt, in units
	services sync.Map
}

// NewBudget returns a budget that allows share retries per first attempt.
func NewBudget(share float64) *Budget {
	return &Budget{gain: int64(math.Floor(min(max(share, 0), 1) * unit))}
}

func (b *Budget) tokens(service string) *atomic.Int64 {
	if t, ok := b.services.Load(service); ok {
		return t.(*atomic.Int64)
	}
	fresh := &atomic.Int64{}
	fresh.Store(Minimum * unit)
	t, _ := b.services.LoadOrStore(service, fresh)
	return t.(*atomic.Int64)
}

// RecordRequest records a first attempt of a call.
func (b *Budget) RecordRequest(service string) {
	t := b.tokens(service)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, min(old+b.gain, burst*unit)) {
			return
		}
	}
}

// Allow takes one retry from the budget, or returns false.
func (b *Budget) Allow(service string) bool {
	t := b.tokens(service)
	for {
		old := t.Load()
		if old < unit {
			return false
		}
		if t.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}
