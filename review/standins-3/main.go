// Command standins-3 plays the cases of the third review on loopback addresses: it starts the daemon as
// deploy/system.toml says, with stand-ins for the store, the targets and the callers, and judges what
// these have seen. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// timeLimit is the time after which a case ends as one that could not run. It leaves some seconds of the
// 120 that a script may take for the end of its processes.
const timeLimit = 110 * time.Second

// cases holds the cases by name. Each returns the violations of its rule.
var cases = map[string]func(rec *record, root string, trouble bool) (violations []string, err error){
	"incomplete-entry":  incompleteEntry,
	"restored-config":   restoredConfig,
	"restored-evacuate": restoredEvacuate,
	"restored-restart":  restoredRestart,
	"restored-revoke":   restoredRevoke,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return notRun
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
			rec.printf("ended by a signal")
		case <-time.After(timeLimit):
			rec.printf("the case took too long")
		}
		if s := current.Load(); s != nil {
			s.close()
		}
		os.Exit(notRun)
	}()
	violations, err := play(rec, absolute, *trouble)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	}
	for i, v := range violations {
		rec.printf("VIOLATION %s", v)
		if i < 10 {
			fmt.Println("VIOLATION", v)
		}
	}
	if len(violations) > 0 {
		fmt.Printf("rule broken: %d violations\n", len(violations))
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
