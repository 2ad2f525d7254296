package retry_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/retry"
)

// Guards against retries that multiply the load during an outage, and against a
// service with few calls that cannot retry at all.
func TestRetriesStayWithinShareAndInitialAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := retry.NewBudget(share)
		firstAttempts, retries := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			svc := rapid.SampledFrom([]string{"svc-a", "svc-b"}).Draw(t, "service")
			switch {
			case rapid.Bool().Draw(t, "first"):
				b.RecordRequest(svc)
				firstAttempts[svc]++
			case b.Allow(svc):
				retries[svc]++
			case retries[svc] < retry.InitialRetries:
				t.Fatalf("retry refused after %d retries, although the initial allowance is not used up", retries[svc])
			}
			if got, limit := float64(retries[svc]), share*float64(firstAttempts[svc])+retry.InitialRetries; got > limit+1e-9 {
				t.Fatalf("%v retries allowed, want at most %v", got, limit)
			}
		}
	})
}

// Guards against a lost update that lets two goroutines use the same retry.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	b := retry.NewBudget(0.1)
	var allowed atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.RecordRequest("svc-a")
				if b.Allow("svc-a") {
					allowed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := allowed.Load(); n > 8*100+retry.InitialRetries {
		t.Fatalf("%d retries allowed for 8000 first attempts with a share of 0.1, want at most 803", n)
	}
}
