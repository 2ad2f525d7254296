// Command standins-2 plays the cases of the review in review/6 to review/10: it starts entry VMs
// with the command of the deploy file, and the store, the backend servers and the callers around
// them, all on loopback addresses. It exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds the time of a case.
const timeLimit = 116 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name.
var cases = map[string]func(*run) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	keep := flag.String("logs", "", "folder for the logs of the VMs; by default they are deleted")
	limit := flag.Duration("limit", timeLimit, "time after which the case is given up")
	seed := flag.Uint64("seed", 1, "seed for the times of the callers")
	flag.Parse()
	os.Exit(play(*name, *record, *keep, *trouble, *seed, *limit))
}

func play(name, record, logs string, trouble bool, seed uint64, limit time.Duration) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	r, err := newRun(record, logs, trouble, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	defer r.close()
	go r.giveUp(limit)
	if err := f(r); err != nil {
		r.notef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	n := r.report()
	if err := r.writeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	if n > 0 {
		return exitBroken
	}
	return exitHeld
}

// giveUp ends the run, with all that it has started, after the limit or when this program is to end.
func (r *run) giveUp(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		fmt.Fprintln(os.Stderr, "error: ended by", s)
	case <-time.After(limit):
		fmt.Fprintln(os.Stderr, "error: the case took too long")
	}
	r.close()
	os.Exit(exitFailed)
}
