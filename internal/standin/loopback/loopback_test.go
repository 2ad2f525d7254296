package loopback_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/standin/loopback"
)

// Guards against an address that listeners on the usual loopback address, or
// outgoing connections, can take before the test uses it.
func TestFreeAddressIsNotSharedWithOtherProcesses(t *testing.T) {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "127.0.0.1" || !strings.HasPrefix(host, "127.") {
		t.Fatalf("address %s, %v", address, err)
	}
	var lc net.ListenConfig
	taken, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:"+port)
	if err == nil {
		defer func() { _ = taken.Close() }()
	}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("the address was taken: %v", err)
	}
	_ = l.Close()
}
