// Package loopback finds addresses for tests that have to name an address before
// something listens there.
package loopback

import (
	"context"
	"fmt"
	"net"
	"os"
)

// FreeAddress returns an address of the loopback network with a free port. The IP
// address is derived from the process, so that neither the listeners of tests
// that run in other processes nor outgoing connections, which use 127.0.0.1, take
// the port before it is used.
func FreeAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(processIP(os.Getpid()), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// processIP returns an address of 127.64.0.0/10 for a process.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>16)%64, (pid>>8)%256, 1+pid%254)
}
