// Package probe limits the rate of load probes to targets.
//
// Bucket and Budget do no I/O: their methods take the current time and return
// values, start no goroutine and read no clock. They are not safe for concurrent
// use; the holder of the pool serializes access.
package probe

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// MaxBytes is the fixed number of bytes charged for one probe, request and
// response together. The prober limits only the body of the response to MaxBytes,
// so request, headers and body together may exceed the charge.
const MaxBytes = 512

// Bucket is a token bucket that starts empty. A holder that takes over a pool
// therefore waits one refill interval before its first probe, and repeated
// changes of the holder cannot cause probes beyond the budget.
type Bucket struct {
	limiter *rate.Limiter
	latest  time.Time
}

// NewBucket returns an empty bucket that gains perSecond tokens per second and
// holds at most burst.
func NewBucket(now time.Time, perSecond float64, burst int) *Bucket {
	l := rate.NewLimiter(rate.Limit(perSecond), burst)
	l.AllowN(now, burst) // a new rate.Limiter is full
	return &Bucket{limiter: l, latest: now}
}

// monotonic returns the latest time seen so far, because rate.Limiter adds the
// tokens of an interval twice when time goes back.
func (b *Bucket) monotonic(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// Has reports whether at least n tokens are available.
func (b *Bucket) Has(now time.Time, n int) bool {
	return b.limiter.TokensAt(b.monotonic(now)) >= float64(n)
}

// Take takes n tokens. If fewer are available, it takes none and returns false.
func (b *Bucket) Take(now time.Time, n int) bool {
	return b.limiter.AllowN(b.monotonic(now), n)
}

// Set changes rate and burst. It adds no tokens.
func (b *Bucket) Set(now time.Time, perSecond float64, burst int) {
	now = b.monotonic(now)
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst)
}

// BudgetShare returns a pool's share of total, the probe budget of a region or
// of a link between regions. poolTargets is the number of the pool's targets, and
// allTargets that of all targets that share the budget. The shares of all pools add up to total, so holders need no
// coordination.
func BudgetShare(total float64, poolTargets, allTargets int) float64 {
	if allTargets < 1 || poolTargets < 1 {
		return 0
	}
	return total * float64(min(poolTargets, allTargets)) / float64(allTargets)
}

// Budget limits the probes of one pool: for each target in probes per second,
// and for the whole pool in bytes per second.
type Budget struct {
	perTargetRate float64
	poolBytes     *Bucket
	targets       map[string]*Bucket
}

// NewBudget returns a budget without targets. All of its buckets start empty.
func NewBudget(now time.Time, probesPerSecond, bytesPerSecond float64) *Budget {
	return &Budget{
		perTargetRate: probesPerSecond,
		poolBytes:     NewBucket(now, bytesPerSecond, byteBurst(bytesPerSecond)),
		targets:       map[string]*Bucket{},
	}
}

// byteBurst returns the bytes of one second, but at least those of one probe,
// because a smaller burst would never allow a probe.
func byteBurst(bytesPerSecond float64) int {
	return max(MaxBytes, int(math.Floor(bytesPerSecond)))
}

// Set changes the rates. It adds no tokens.
func (b *Budget) Set(now time.Time, probesPerSecond, bytesPerSecond float64) {
	b.perTargetRate = probesPerSecond
	b.poolBytes.Set(now, bytesPerSecond, byteBurst(bytesPerSecond))
	for _, t := range b.targets {
		t.Set(now, probesPerSecond, 1)
	}
}

// Add adds an empty bucket for a target. An existing bucket is kept.
func (b *Budget) Add(now time.Time, target string) {
	if _, ok := b.targets[target]; !ok {
		b.targets[target] = NewBucket(now, b.perTargetRate, 1)
	}
}

// Remove deletes the bucket of a target.
func (b *Budget) Remove(target string) { delete(b.targets, target) }

// Allows reports whether the budget allows a probe of the target now.
func (b *Budget) Allows(now time.Time, target string) bool {
	t, ok := b.targets[target]
	return ok && t.Has(now, 1) && b.poolBytes.Has(now, MaxBytes)
}

// Take charges one probe of the target to the budget. If the budget does not
// allow it, Take charges nothing and returns false.
func (b *Budget) Take(now time.Time, target string) bool {
	if !b.Allows(now, target) {
		return false
	}
	return b.targets[target].Take(now, 1) && b.poolBytes.Take(now, MaxBytes)
}
