// Command harness plays the scripted cases of the review. It starts the load balancer with the
// commands of the deploy file, on loopback addresses, with stand-ins for the store, the backend
// servers and the callers.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case
// could not run. With TROUBLE=0 in the environment, a case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

var cases = map[string]func(*world) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD")
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{out: io.MultiWriter(file, os.Stdout), started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption: %v", os.Args[1], trouble)
	w, err := newWorld(rec, os.Args[2], trouble)
	if err != nil {
		rec.note("the case could not run: %v", err)
		return 2
	}
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	w.close()
	switch {
	case err == nil:
		rec.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.note("result: %v", err)
		return 1
	default:
		rec.note("the case could not run: %v", err)
		return 2
	}
}

// recorder writes lines with the time since the start of the case.
type recorder struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
