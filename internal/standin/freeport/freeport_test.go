package freeport_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
)

// Guards against an address that listeners on the usual loopback address, or
// outgoing connections, can take before the test uses it.
func TestFreeAddressIsNotSharedWithOtherProcesses(t *testing.T) {
	address, err := freeport.Address()
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

// Guards against two listeners of one test process that were given the same
// address, which happened with several deployments at once.
func TestFreeAddressReturnsNoAddressTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 600 {
		address, err := freeport.Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
