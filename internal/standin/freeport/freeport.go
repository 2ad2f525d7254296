// Package freeport finds addresses for tests that have to name an address before
// something listens there.
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

// Ports that are given out, each once. A port that the system picks could be one
// that was given out and is not listened on yet.
const firstPort, lastPort = 10000, 60000

var nextPort atomic.Int64

// Address returns an address of the loopback network with a free port. The IP
// address is derived from the process, so that neither the listeners of tests
// that run in other processes nor outgoing connections, which use 127.0.0.1, take
// the port before it is used. No address is returned twice.
func Address() (string, error) {
	for {
		port := firstPort + nextPort.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("all ports up to %d were given out", lastPort)
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

// tryListen opens and closes a listener. No process is forked meanwhile, which
// would hold the port until its exec.
func tryListen(address string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// processIP returns an address of 127.64.0.0/10 for a process.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>16)%64, (pid>>8)%256, 1+pid%254)
}
