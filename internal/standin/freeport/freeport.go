// Package freeport finds free TCP addresses for tests that must know an address
// before any process listens on it.
package freeport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
)

// Address returns ports above portBase, up to and including lastPort, each at most
// once per process. Ports chosen by the operating system are not used: it could
// choose a port that was already returned but that nothing listens on yet.
const portBase, lastPort = 10000, 60000

var nextPort atomic.Int64

// Address returns a host:port on the loopback network that nothing listens on. It
// never returns an address twice and may be called from any goroutine.
//
// The IP address is derived from the process ID and is never 127.0.0.1. Listeners on
// 127.0.0.1, and outgoing connections, which have 127.0.0.1 as their source address,
// therefore cannot occupy the port before the test does. Test processes that use
// this package are unlikely to do so, since few process IDs share an IP address.
//
// Address returns an error once all ports of the range were returned or are in use,
// or if listening fails for a reason other than a port in use.
func Address() (string, error) {
	for {
		port := portBase + nextPort.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("no free port: all ports up to %d were already returned or are in use", lastPort)
		}
		address := net.JoinHostPort(processIP(os.Getpid()), strconv.FormatInt(port, 10))
		if err := tryListen(address); errors.Is(err, syscall.EADDRINUSE) {
			continue
		} else if err != nil {
			return "", err
		}
		return address, nil
	}
}

// tryListen checks that address is free by opening and closing a listener on it.
// The fork lock is held meanwhile, since a process forked at that time would inherit
// the listener and occupy the port until its exec.
func tryListen(address string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// processIP returns an IP address in 127.64.0.0/10 that is derived from a process ID.
// Its last octet is neither 0 nor 255. A few process IDs share an address.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>16)%64, (pid>>8)%256, 1+pid%254)
}
