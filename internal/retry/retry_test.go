package retry_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/retry"
)

// Guards against retries that multiply the load of an outage, and against a
// quiet service that cannot retry at all.
func TestRetriesStayWithinShareAndMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := retry.NewBudget(share)
		firsts, retries := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			svc := rapid.SampledFrom([]string{"kreisplan", "buchkasse"}).Draw(t, "service")
			switch {
			case rapid.Bool().Draw(t, "first"):
				b.RecordRequest(svc)
				firsts[svc]++
			case b.Allow(svc):
				retries[svc]++
			case retries[svc] < retry.Minimum:
				t.Fatalf("only %d retries allowed", retries[svc])
			}
			if got, most := float64(retries[svc]), share*float64(firsts[svc])+retry.Minimum; got > most+1e-9 {
				t.Fatalf("%v retries, at most %v", got, most)
			}
		}
	})
}

// Guards against a lost update that grants one token to two goroutines.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	b := retry.NewBudget(0.1)
	var allowed atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.RecordRequest("kreisplan")
				if b.Allow("kreisplan") {
					allowed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := allowed.Load(); n > 8*100+retry.Minimum {
		t.Fatalf("%d retries of 8000 first attempts", n)
	}
}
