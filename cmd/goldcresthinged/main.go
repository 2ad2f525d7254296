// Command goldcresthinged is the daemon of an entry VM. It has two modes:
//
//   - With the first argument "entry", the VM runs on the users' platform, to which
//     package platform is the adapter. Its settings come from the platform's settings
//     file and store. Package entry implements this mode.
//   - Otherwise, its settings come from flags and environment variables, and it uses the
//     services that internal/platform defines (a transactional table, an object store
//     and a list of VMs). Package daemon implements this mode.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"goldcresthinge.example/goldcresthinge/internal/daemon"
	"goldcresthinge.example/goldcresthinge/internal/settings"
)

func main() {
	if err := run(); err != nil && !errors.Is(err, settings.ErrHelp) {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// commandEntry is the first argument that selects the mode for the users' platform.
const commandEntry = "entry"

func run() error {
	if len(os.Args) > 1 && os.Args[1] == commandEntry {
		return runEntry(os.Args[2:])
	}
	s, err := settings.Parse(os.Args[1:], os.Stdout)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	d, err := daemon.Start(context.Background(), s)
	if err != nil {
		return err
	}
	go func() {
		// SIGTERM or interrupt starts draining, which ends in a stop. Further signals have
		// no effect: Drain does nothing when called again.
		for range signals {
			d.Drain()
		}
	}()
	<-d.Done()
	return nil
}
