package hrtimer_test

import (
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/hrtimer"
)

// Guards against a wait that ends early, which would make an emulated network
// faster than its configured delay, and against one that ignores done.
func TestWaitUntil(t *testing.T) {
	for _, d := range []time.Duration{-time.Second, 0, 100 * time.Microsecond, 3 * time.Millisecond} {
		at := time.Now().Add(d)
		if !hrtimer.WaitUntil(nil, at) || time.Now().Before(at) {
			t.Errorf("wait of %v ended early, or WaitUntil returned false although done was not closed", d)
		}
	}
	done := make(chan struct{})
	close(done)
	if hrtimer.WaitUntil(done, time.Now().Add(time.Hour)) {
		t.Error("WaitUntil returned true although done was closed")
	}
}
