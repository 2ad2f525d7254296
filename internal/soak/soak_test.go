// Package soak_test runs the daemon as separate processes on loopback, injects
// faults from outside them, and checks what callers and backend servers see. The
// faults of a run follow from its seed.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	seedCount = flag.Int("soak.seeds", 0, "number of fresh seeds; 0: the fixed ones")
	firstSeed = flag.Uint64("soak.first", 0, "first of the fresh seeds; 0: drawn from the time")
	vmCount   = flag.Int("soak.vms", 6, "VMs of a deployment")
	callers   = flag.Int("soak.callers", 12, "callers of a deployment")
	atOnce    = flag.Int("soak.at-once", 2, "runs at the same time")
	bounds    = flag.Bool("soak.bounds", false, "check the bounds in time as well, on a quiet machine")
	race      = flag.Bool("soak.race", false, "build the daemon with the race detector")
	keep      = flag.String("soak.keep", "", "directory for the logs of runs with broken promises")
)

// Lengths of the phases of a run. Bounds in time hold again some time after the
// last unplanned fault.
const (
	unplannedPhase = 6 * time.Second
	plannedPhase   = 5 * time.Second
	longestFault   = 3 * time.Second
	// startTimeout bounds a hanging system; no verdict depends on it.
	startTimeout = 60 * time.Second
)

// serviceFaultStream makes the draws of service faults independent of the others,
// whose seeds have failed before and keep their events.
const serviceFaultStream = 1

// fixedSeeds are played in CI: one run, and each seed that ever failed with its
// cause.
var fixedSeeds = []uint64{
	1,
	303, // a cold server got the shares of three processes: a VM was killed, another measured, the first was back at once
	306, // as 303
}

// knownRed are seeds with a broken promise that is not mended yet. They are listed
// in KNOWN-RED.txt and run with -soak.first only.
var knownRed = []uint64{
	1796376473, // a server that turns cold gets more than it bears from VMs without news of it
	1796376475, // as 1796376473
}

func TestSoak(t *testing.T) {
	t.Log("known to fail, not run: seeds", knownRed)
	seeds := fixedSeeds
	if *seedCount > 0 {
		seeds = nil
		first := *firstSeed
		if first == 0 {
			first = uint64(time.Now().Unix()) //nolint:gosec // after 1970
		}
		for i := range *seedCount {
			seeds = append(seeds, first+uint64(i)) //nolint:gosec // not negative
		}
	}
	program, err := buildDaemon(t.TempDir(), *race)
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, *atOnce)
	var runs sync.WaitGroup
	for _, seed := range seeds {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, program, seed) })
		})
	}
	runs.Wait()
}

func soak(t *testing.T, program string, seed uint64) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // no secret
	w, err := newWorld(dir, program, *vmCount, rng)
	if err != nil {
		t.Fatal(err)
	}
	defer w.close()
	w.awaitServing(t, rng)

	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	for range *callers {
		c := w.newCaller("c", rng)
		load.Go(func() { c.run(ctx) })
	}
	w.play(slices.Concat(
		draw(rng, unplanned, 10+rng.IntN(8), unplannedPhase, longestFault),
		draw(rng, serverFaults, 8, unplannedPhase, longestFault),
		draw(rand.New(rand.NewPCG(seed, serviceFaultStream)), serviceFaults, 1, unplannedPhase, longestFault), //nolint:gosec // no secret
		draw(rng, planned, 4, unplannedPhase, longestFault),
	), t.Logf)
	if err := w.heal(); err != nil {
		t.Error(err)
	}
	time.Sleep(settleAfterTrouble)
	w.play(draw(rng, planned, 8, plannedPhase, longestFault), t.Logf)
	if err := w.heal(); err != nil {
		t.Error(err)
	}
	healed := time.Now()
	w.awaitServing(t, rng)
	if took := time.Since(healed); *bounds && took > recoverWithin {
		w.ledger.fail("recovery took %v", took)
	}
	cancel()
	load.Wait()
	time.Sleep(patience) // servers may still get requests of callers that left

	t.Log(w.ledger.summary())
	if broken := w.ledger.check(*bounds); len(broken) > 0 {
		t.Errorf("seed %d: %d broken promises:\n%s", seed, len(broken), strings.Join(broken[:min(len(broken), 20)], "\n"))
		w.keepLogs(t, seed)
	}
}

// newCaller returns a caller whose name begins with prefix.
func (w *world) newCaller(prefix string, rng *rand.Rand) *caller {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers++
	return &caller{
		name: fmt.Sprint(prefix, w.callers), world: w, pause: usualPause,
		rng:   rand.New(rand.NewPCG(rng.Uint64(), 0)), //nolint:gosec // no secret
		conns: map[string]*callerConn{},
	}
}

// awaitServing waits until every VM is ready and serves.
func (w *world) awaitServing(t *testing.T, rng *rand.Rand) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	c := w.newCaller("w", rng)
	for _, v := range w.allVMs() {
		for !w.serving(ctx, v, c) {
			if ctx.Err() != nil {
				w.ledger.fail("%s does not serve", v.id)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// keepLogs copies the VMs' logs for the search for a cause.
func (w *world) keepLogs(t *testing.T, seed uint64) {
	t.Helper()
	if *keep == "" {
		return
	}
	to := filepath.Join(*keep, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o750); err != nil {
		t.Error(err)
		return
	}
	logs, err := filepath.Glob(filepath.Join(w.dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, log := range logs {
		data, err := os.ReadFile(log) //nolint:gosec // the soak's own file
		if err == nil {
			err = os.WriteFile(filepath.Join(to, filepath.Base(log)), data, 0o600) //nolint:gosec // by hand only
		}
		if err != nil {
			t.Error(err)
		}
	}
}
