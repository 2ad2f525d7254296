// Package probe bounds the load probes of targets.
//
// The budgets are decisions: they take the time and return values, start no
// goroutine and read no clock. They are not safe for concurrent use; the owner
// of the pool locks them.
package probe

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// MaxBytes is what one probe is charged for, request and response together.
// A prober must not read more of a response than this leaves.
const MaxBytes = 512

// Bucket is a token bucket that starts empty. A holder that takes a pool over
// therefore waits one refill interval before its first probe, and a change of
// holder cannot double the budget.
type Bucket struct {
	limiter *rate.Limiter
	latest  time.Time
}

// NewBucket returns an empty bucket that gains perSecond tokens per second and
// keeps at most burst.
func NewBucket(now time.Time, perSecond float64, burst int) *Bucket {
	l := rate.NewLimiter(rate.Limit(perSecond), burst)
	l.AllowN(now, burst) // a limiter starts full
	return &Bucket{limiter: l, latest: now}
}

// forward returns the latest time seen, because a limiter whose clock goes
// back counts the same interval twice.
func (b *Bucket) forward(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

// Has reports whether n tokens are available.
func (b *Bucket) Has(now time.Time, n int) bool {
	return b.limiter.TokensAt(b.forward(now)) >= float64(n)
}

// Take takes n tokens, or none and returns false.
func (b *Bucket) Take(now time.Time, n int) bool {
	return b.limiter.AllowN(b.forward(now), n)
}

// Set changes rate and burst. It adds no tokens.
func (b *Bucket) Set(now time.Time, perSecond float64, burst int) {
	now = b.forward(now)
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst)
}

// BudgetShare returns the part of a region's or link's budget that a pool of own
// targets gets when all targets of that region or link number all. The parts
// add up to total, so holders need no coordination.
func BudgetShare(total float64, own, all int) float64 {
	if all < 1 || own < 1 {
		return 0
	}
	return total * float64(min(own, all)) / float64(all)
}

// Budget bounds the probes of one pool: per target in probes per second, and
// for the pool in bytes per second.
type Budget struct {
	perTarget float64
	bytes     *Bucket
	targets   map[string]*Bucket
}

// NewBudget returns a budget without targets. All its buckets start empty.
func NewBudget(now time.Time, probesPerSecond, bytesPerSecond float64) *Budget {
	return &Budget{
		perTarget: probesPerSecond,
		bytes:     NewBucket(now, bytesPerSecond, byteBurst(bytesPerSecond)),
		targets:   map[string]*Bucket{},
	}
}

// byteBurst is one second of the rate, and at least one probe, since otherwise
// a small share would never allow any.
func byteBurst(bytesPerSecond float64) int {
	return max(MaxBytes, int(math.Floor(bytesPerSecond)))
}

// Set changes the rates. It adds no tokens.
func (b *Budget) Set(now time.Time, probesPerSecond, bytesPerSecond float64) {
	b.perTarget = probesPerSecond
	b.bytes.Set(now, bytesPerSecond, byteBurst(bytesPerSecond))
	for _, t := range b.targets {
		t.Set(now, probesPerSecond, 1)
	}
}

// Add starts an empty bucket for a target. A known target keeps its bucket.
func (b *Budget) Add(now time.Time, target string) {
	if _, ok := b.targets[target]; !ok {
		b.targets[target] = NewBucket(now, b.perTarget, 1)
	}
}

// Forget drops the bucket of a target.
func (b *Budget) Forget(target string) { delete(b.targets, target) }

// Allows reports whether a probe of the target is within the budget.
func (b *Budget) Allows(now time.Time, target string) bool {
	t, ok := b.targets[target]
	return ok && t.Has(now, 1) && b.bytes.Has(now, MaxBytes)
}

// Take charges one probe of the target, or nothing and returns false.
func (b *Budget) Take(now time.Time, target string) bool {
	if !b.Allows(now, target) {
		return false
	}
	return b.targets[target].Take(now, 1) && b.bytes.Take(now, MaxBytes)
}
