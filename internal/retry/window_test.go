package retry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"goldcresthinge.example/goldcresthinge/internal/retry"
)

var limits = retry.WindowLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// Guards against VMs that together send more retries than the limits allow within
// some window, while they disagree on the number of VMs. As the VMs that take
// part are registered, the test assumes that every VM counts at least nine tenths of
// them; safetyShare covers the rest.
func TestVMsTogetherStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 14).Draw(t, "vms")
		budgets := make([]*retry.WindowBudget, vms)
		knownVMs := make([]int, vms)
		for i := range budgets {
			budgets[i] = retry.NewWindowBudget()
			knownVMs[i] = rapid.IntRange((9*vms+9)/10, vms+3).Draw(t, fmt.Sprintf("seen by %d", i))
		}
		var requests, retries []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 600).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			budgets[vm].RecordRequest("s", now, limits)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if budgets[vm].Allow("s", rapid.IntRange(0, 3).Draw(t, "rank"), now, limits, knownVMs[vm]) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			inWindow := func(list []time.Time) (n int) {
				for _, at := range list {
					if !at.After(end) && at.After(end.Add(-limits.Window)) {
						n++
					}
				}
				return n
			}
			if got, limit := float64(inWindow(retries)), limits.Ratio*float64(inWindow(requests))+limits.Slack; got > limit {
				t.Fatalf("%v retries of all VMs within the window, limit %v", got, limit)
			}
		}
	})
}

// Guards against a budget that never allows a retry on a VM without requests.
func TestIdleVMMayRetryFromSlack(t *testing.T) {
	b := retry.NewWindowBudget()
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 {
		if b.Allow("s", 0, now, limits, 14) {
			allowed++
		}
	}
	if allowed != 3 {
		t.Errorf("%d retries allowed, want 3: nine tenths of the slack 56 divided by 14 VMs", allowed)
	}
}
