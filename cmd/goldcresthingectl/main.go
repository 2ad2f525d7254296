// Command goldcresthingectl is the tool with which operators change the
// configuration and inspect VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"goldcresthinge.example/goldcresthinge/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	tool := ctl.Tool{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, EntryFormat: entryFormat{}}
	code := tool.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
