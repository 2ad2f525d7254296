// Package retry limits the number of retries. Budget is used where backend servers are
// listed in an inventory: each VM allows retries in proportion to its own first attempts.
// WindowBudget is used where servers register themselves: the limit applies to all VMs
// together within a time window.
//
// A request, also named call, is sent to a server once in its first attempt and once in
// each retry.
package retry

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// InitialRetries is the number of retries that a service may use before its first
	// attempts have earned any. It is granted once. Without it, a service with few
	// calls could not retry at all.
	InitialRetries = 3
	// maxSavedRetries is the number of unused retries that a service can save. A
	// larger number would multiply the load at the start of an outage.
	maxSavedRetries = 10
	// tokensPerRetry is the number of tokens that one retry costs. Tokens are
	// integers, so that a first attempt can earn a fraction of a retry.
	tokensPerRetry = 1_000_000
)

// Budget allows retries in proportion to first attempts, separately for each
// service. The retries of a service never exceed its first attempts times the
// share passed to NewBudget, plus InitialRetries. Budget is safe for concurrent use.
type Budget struct {
	tokensPerFirstAttempt int64    // tokens that a first attempt earns
	services              sync.Map // service name to *atomic.Int64, the tokens of the service
}

// NewBudget returns a budget that allows share retries per first attempt. A share
// outside [0, 1] is clamped to it.
func NewBudget(share float64) *Budget {
	return &Budget{tokensPerFirstAttempt: int64(math.Floor(min(max(share, 0), 1) * tokensPerRetry))}
}

// tokens returns the token counter of a service and creates it on first use.
func (b *Budget) tokens(service string) *atomic.Int64 {
	if t, ok := b.services.Load(service); ok {
		return t.(*atomic.Int64)
	}
	fresh := &atomic.Int64{}
	fresh.Store(InitialRetries * tokensPerRetry)
	t, _ := b.services.LoadOrStore(service, fresh)
	return t.(*atomic.Int64)
}

// RecordRequest records the first attempt of a call to a service. It must be called once
// per call and not for retries.
func (b *Budget) RecordRequest(service string) {
	t := b.tokens(service)
	for {
		old := t.Load()
		if t.CompareAndSwap(old, min(old+b.tokensPerFirstAttempt, maxSavedRetries*tokensPerRetry)) {
			return
		}
	}
}

// Allow takes one retry of a service from the budget. It returns false if none is
// left.
func (b *Budget) Allow(service string) bool {
	t := b.tokens(service)
	for {
		old := t.Load()
		if old < tokensPerRetry {
			return false
		}
		if t.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}
