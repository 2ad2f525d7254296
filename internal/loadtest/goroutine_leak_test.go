package loadtest

import (
	"context"
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of targets, proxies or callers that still run after
// Run has returned.
func TestRunStopsAllGoroutines(t *testing.T) {
	s, err := Parse([]byte(smallScenario + faultsEvent("{truncate: 0.2, late: 0.2, late_ms: 5}")))
	if err != nil {
		t.Fatal(err)
	}
	before := goleak.IgnoreCurrent()
	if _, err := Run(context.Background(), s, Options{}); err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, before)
}
