package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/retry"
)

var limits = retry.WindowLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// Guards against VMs that together send more repeated requests than the limits
// allow in some window, although each sees other VMs than the rest. At least
// as many VMs as take part are registered, so none sees fewer than nine tenths.
func TestSharesKeepTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 14).Draw(t, "vms")
		budgets := make([]*retry.WindowBudget, vms)
		seen := make([]int, vms)
		for i := range budgets {
			budgets[i] = retry.NewWindowBudget()
			seen[i] = rapid.IntRange((9*vms+9)/10, vms+3).Draw(t, fmt.Sprintf("seen by %d", i))
		}
		var firsts, repeats []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 600).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			budgets[vm].RecordRequest("s", now, limits)
			firsts = append(firsts, now)
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if budgets[vm].Allow("s", rapid.IntRange(0, 3).Draw(t, "rank"), now, limits, seen[vm]) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			inWindow := func(list []time.Time) (n int) {
				for _, at := range list {
					if !at.After(end) && at.After(end.Add(-limits.Window)) {
						n++
					}
				}
				return n
			}
			if got, limit := float64(inWindow(repeats)), limits.Ratio*float64(inWindow(firsts))+limits.Slack; got > limit {
				t.Fatalf("%v repeats in the window, limit %v", got, limit)
			}
		}
	})
}

// Guards against a budget that never allows a retry on a quiet VM.
func TestQuietVMHasAShareOfTheSlack(t *testing.T) {
	b := retry.NewWindowBudget()
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 {
		if b.Allow("s", 0, now, limits, 14) {
			allowed++
		}
	}
	if allowed != 3 {
		t.Errorf("%d retries, want 3: nine tenths of 56 divided by 14", allowed)
	}
}
