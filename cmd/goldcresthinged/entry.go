package main

import (
	"os"
	"os/signal"
	"syscall"

	"goldcresthinge.example/goldcresthinge/internal/entry"
	"goldcresthinge.example/goldcresthinge/internal/logging"
	"goldcresthinge.example/goldcresthinge/internal/settings"
)

// runEntry runs an entry VM on the users' platform until it has stopped. SIGTERM and
// interrupt start draining, after which the VM stops. SIGHUP makes it read the
// platform's settings file again.
func runEntry(args []string) error {
	options, err := settings.ParseEntrySettings(args, os.Stdout)
	if err != nil {
		return err
	}
	log := logging.NewWriter(os.Stdout)
	defer log.Close()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	e, err := entry.Start(options, log)
	if err != nil {
		return err
	}
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				e.Reload()
				continue
			}
			e.Drain()
		case <-e.Done():
			return nil
		}
	}
}
