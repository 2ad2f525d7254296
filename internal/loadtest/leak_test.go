package loadtest

import (
	"context"
	"testing"

	"go.uber.org/goleak"
)

// Guards against targets, relays and callers that outlive a run.
func TestRunLeavesNothingRunning(t *testing.T) {
	s, err := Parse([]byte(small + faults("{truncate: 0.2, late: 0.2, late_ms: 5}")))
	if err != nil {
		t.Fatal(err)
	}
	before := goleak.IgnoreCurrent()
	if _, err := Run(context.Background(), s, Options{}); err != nil {
		t.Fatal(err)
	}
	goleak.VerifyNone(t, before)
}
