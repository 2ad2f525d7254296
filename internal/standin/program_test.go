package standin_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/standin"
)

// Guards against targets of one process that fight for a port, and against a
// program that does not end with its context.
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

// Guards against a build without platform stand-in that claims to run one.
func TestPlatformMustBeInBuild(t *testing.T) {
	var out bytes.Buffer
	if err := standin.Run(context.Background(), []string{"platform"}, &out, nil); err == nil {
		t.Error("no error")
	}
}
