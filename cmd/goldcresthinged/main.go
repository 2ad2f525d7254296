// Command goldcresthinged is the daemon of an entry VM.
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

// commandEntry is the first argument that starts an entry VM on the users' platform.
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
		// The first signal starts a planned stop. Further ones have no effect on it.
		for range signals {
			d.Drain()
		}
	}()
	<-d.Done()
	return nil
}
