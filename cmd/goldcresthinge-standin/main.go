// Command goldcresthinge-standin runs stand-ins for backend servers and for the
// platform, for tests and experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"goldcresthinge.example/goldcresthinge/internal/standin"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return standin.Run(ctx, os.Args[1:], os.Stderr, startPlatform)
}
