package standin_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/standin"
)

// Checks that Run starts every target and returns when its context is already
// canceled.
func TestTargetsStartAndEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	if err := standin.Run(ctx, []string{"target", "--count", "3", "--address", "127.0.0.1:0"}, &out, nil); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "msg=listening"); n != 3 {
		t.Errorf("%d targets listened, want 3:\n%s", n, out.String())
	}
}

// Checks that the platform subcommand fails in a build without the platform
// stand-in, instead of running without one.
func TestPlatformSubcommandFailsWithoutStarter(t *testing.T) {
	var out bytes.Buffer
	if err := standin.Run(context.Background(), []string{"platform"}, &out, nil); err == nil {
		t.Error("Run of the platform subcommand without a platform starter returned no error")
	}
}
