// Command goldcresthinge-load generates load on entry VMs that it starts in this
// process, and measures the answers. Its subcommands are run (a scenario), demo (the
// scenario of the demonstration) and fleet (what control costs per entry VM, without
// calls).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"goldcresthinge.example/goldcresthinge/internal/loadtest"
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
	return loadtest.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, newFactory())
}
