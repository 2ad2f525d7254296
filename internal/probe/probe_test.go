package probe_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/probe"
)

// Guards against probes beyond the budget under any sequence of takeovers, calls
// of Set with unchanged rates, and clocks that go back.
func TestProbesStayWithinBudgetUnderTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perTarget := rapid.Float64Range(0.1, 5).Draw(t, "probes/s")
		perPool := rapid.Float64Range(100, 5000).Draw(t, "bytes/s")
		names := []string{"a", "b", "c"}
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := start
		newBudget := func() *probe.Budget {
			b := probe.NewBudget(now, perTarget, perPool)
			for _, n := range names {
				b.Add(now, n)
			}
			return b
		}
		b := newBudget()
		sent := map[string]int{}
		total := 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			at := now
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				b = newBudget()
			case 1:
				b.Set(now, perTarget, perPool)
			case 2:
				at = now.Add(-time.Second)
			case 3:
				now = now.Add(10 * time.Second)
				at = now.Add(-9 * time.Second)
				b.Set(now, perTarget, perPool)
			default:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				at = now
			}
			for _, n := range names {
				for b.Take(at, n) {
					sent[n]++
					total++
				}
			}
			elapsed := now.Sub(start).Seconds()
			for n, k := range sent {
				if float64(k) > perTarget*elapsed+1e-6 {
					t.Fatalf("%d probes of target %s in %.3f s, budget %.3f probes/s", k, n, elapsed, perTarget)
				}
			}
			if bytes := float64(total * probe.MaxBytes); bytes > perPool*elapsed+1e-3 {
				t.Fatalf("probes used %.0f bytes in %.3f s, budget %.0f bytes/s", bytes, elapsed, perPool)
			}
		}
	})
}

// Guards against shares of pools that add up to more than the budget.
func TestBudgetSharesDoNotExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 20).Draw(t, "targets")
		all, sum := 0, 0.0
		for _, n := range sizes {
			all += n
		}
		for _, n := range sizes {
			sum += probe.BudgetShare(20000, n, all)
		}
		if sum > 20000*(1+1e-9) {
			t.Fatalf("shares of pools with %v targets add up to %f, want at most 20000", sizes, sum)
		}
	})
}
