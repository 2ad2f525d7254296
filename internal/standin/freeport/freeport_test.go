package freeport_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"goldcresthinge.example/goldcresthinge/internal/standin/freeport"
)

// Checks that a listener on 127.0.0.1, or an outgoing connection, which has 127.0.0.1
// as its source address, cannot occupy the returned address before the test does.
func TestFreeAddressIsNotSharedWithOtherProcesses(t *testing.T) {
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "127.0.0.1" || !strings.HasPrefix(host, "127.") {
		t.Fatalf("address %s (error %v), want a loopback address other than 127.0.0.1", address, err)
	}
	var lc net.ListenConfig
	otherListener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:"+port)
	if err == nil {
		defer func() { _ = otherListener.Close() }()
	}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("the returned address was already in use: %v", err)
	}
	_ = l.Close()
}

// Guards against returning one address to two listeners of a test process, which
// happened when one process started several load-balancer clusters at once.
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
