package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

const (
	// heartbeatInterval is the longest time until a server writes its row again after a drill.
	heartbeatInterval = 1500 * time.Millisecond
	// maxCopyAge is the longest time between the copy and the drill.
	maxCopyAge = 4 * time.Second
	// maxDrillOutage is the longest time for which the store is away in a drill.
	maxDrillOutage = 1200 * time.Millisecond
	maxDrills      = 3
	// maxReadRate is the share of a VM of the reads per second that the store allows all VMs of the largest
	// deployment in force, 6,000 for 140 VMs.
	maxReadRate = 6000.0 / 140
)

// drillSeeds are the seeds of TestDrills that run in CI.
var drillSeeds = []uint64{1, 2}

// TestDrills guards against violations while the store goes away and comes back from copies that lack
// what was written last: configurations, evacuations and their ends, servers that have left or have
// started, and rows of VMs. VMs are killed and stopped meanwhile.
func TestDrills(t *testing.T) { runSeeds(t, drillSeeds, runDrills) }

func runDrills(t *testing.T, program string, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // no secret
	cl, err := newCluster(t.TempDir(), program, *vmCount, rng)
	if err != nil {
		t.Fatal(err)
	}
	defer cl.close()
	cl.awaitAllServing(t, rng)
	ctx, cancel := context.WithCancel(t.Context())
	var callersDone sync.WaitGroup
	for range *callerCount {
		c := cl.newCaller("c", rng)
		callersDone.Go(func() { c.run(ctx) })
	}
	for range 1 + rng.IntN(maxDrills) {
		if err := cl.drill(rng, t.Logf); err != nil {
			t.Error(err)
		}
	}
	// What operators have lost is written again.
	if err := cl.storeNextConfig(false); err != nil {
		t.Error(err)
	}
	if err := cl.clearFaults(); err != nil {
		t.Error(err)
	}
	cl.awaitAllServing(t, rng)
	cancel()
	callersDone.Wait()
	time.Sleep(callerTimeout) // servers may still get requests of callers that have stopped
	cl.report(t, seed)
}

// evacuationCase is when a failure domain is taken out of service and returned, relative to a drill.
type evacuationCase uint8

const (
	noEvacuation evacuationCase = iota
	evacuatedBeforeCopy
	evacuationLost
	returnLost
	evacuationCases
)

// drill takes a copy of the store, lets some seconds pass with changes, and lets the store come back from
// the copy. An evacuation that was not taken back is checked and ended afterwards.
func (cl *cluster) drill(rng *rand.Rand, log func(format string, args ...any)) error {
	domain := domains[rng.IntN(len(domains))]
	evacuation := evacuationCase(rng.IntN(int(evacuationCases)))
	if evacuation == evacuatedBeforeCopy || evacuation == returnLost {
		if err := cl.store.Evacuate(domain); err != nil {
			return err
		}
	}
	saved := cl.store.Copy()
	log("%s copy of the store, evacuation case %d of %s", time.Now().Format("15:04:05.000"), evacuation, domain)
	var changes sync.WaitGroup
	defer changes.Wait()
	cl.startChanges(rng, &changes)
	switch evacuation {
	case evacuationLost:
		if err := cl.store.Evacuate(domain); err != nil {
			return err
		}
	case returnLost:
		cl.store.Return(domain)
	case noEvacuation, evacuatedBeforeCopy, evacuationCases:
	}
	written := time.Now()
	time.Sleep(time.Duration(rng.Int64N(int64(maxCopyAge))))

	endFault := cl.checker.beginFault()
	vms := cl.allVMs()
	started, reads := time.Now(), cl.store.Reads()
	defer func() {
		rate := float64(cl.store.Reads()-reads) / float64(len(vms)) / time.Since(started).Seconds()
		log("%s drill over, %.1f reads of the store a VM and second", time.Now().Format("15:04:05.000"), rate)
		if *checkBounds && rate > maxReadRate {
			cl.checker.recordViolation("%.1f reads of the store a VM and second in a drill, want at most %.1f", rate, maxReadRate)
		}
	}()
	for _, v := range vms {
		v.storeClient.SetFaults(platformtest.StoreFaults{Unavailable: true})
	}
	time.Sleep(time.Duration(rng.Int64N(int64(maxDrillOutage))))
	cl.store.Restore(saved)
	for _, v := range vms {
		v.storeClient.SetFaults(platformtest.StoreFaults{})
	}
	if evacuation == evacuationLost && started.Sub(written) < configApplyTimeout {
		// Perhaps no VM has read it before the loss, and it is not checked that one has.
		if err := cl.store.Evacuate(domain); err != nil {
			return err
		}
	}
	log("%s store back", time.Now().Format("15:04:05.000"))
	changes.Go(func() { cl.writeServersAgain(time.Now()) })
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		if v := cl.pickVM(rng); v != nil {
			v.signal(syscall.SIGKILL)
		}
	}
	endFault()
	if rng.IntN(2) == 0 {
		if err := cl.storeNextConfig(rng.IntN(2) == 0); err != nil {
			return err
		}
	}
	time.Sleep(faultSettleTime + time.Second)
	if evacuation == evacuatedBeforeCopy || evacuation == evacuationLost {
		end := cl.checker.beginExclusion(exclusion{domain: domain}, 0)
		time.Sleep(faultSettleTime)
		end()
	}
	cl.store.Return(domain)
	return nil
}

// startChanges starts changes of which the store loses some or all.
func (cl *cluster) startChanges(rng *rand.Rand, changes *sync.WaitGroup) {
	start := func(probability float64, change func() error) {
		if rng.Float64() >= probability {
			return
		}
		changes.Go(func() {
			if err := change(); err != nil {
				cl.checker.recordViolation("change beside a drill: %v", err)
			}
		})
	}
	move := rng.IntN(2) == 0
	serverRNG := rand.New(rand.NewPCG(rng.Uint64(), 0)) //nolint:gosec // no secret
	stopped := cl.pickVM(rng)
	start(0.7, func() error { return cl.storeNextConfig(move) })
	start(0.7, func() error { return cl.replaceServer(serverRNG) })
	start(0.3, func() error { return cl.terminateVM(stopped) })
}

// writeServersAgain lets the servers write their rows within heartbeatInterval, and removes the rows of
// those that have ended once they would have expired. A server that is being replaced writes no row.
func (cl *cluster) writeServersAgain(back time.Time) {
	for i, ep := range cl.serverEndpoints {
		time.Sleep(time.Until(back.Add(heartbeatInterval * time.Duration(i) / time.Duration(len(cl.serverEndpoints)))))
		if !ep.mu.TryLock() {
			continue
		}
		if err := ep.server.Register(cl.store); err != nil {
			cl.checker.recordViolation("heartbeat: %v", err)
		}
		ep.mu.Unlock()
	}
	time.Sleep(time.Until(back.Add(3 * heartbeatInterval)))
	for _, ep := range cl.serverEndpoints {
		ep.mu.Lock()
		for n := 1; n < ep.serversStarted; n++ {
			cl.store.Remove(platform.TableServers, fmt.Sprintf("%s-%d", ep.name, n))
		}
		ep.mu.Unlock()
	}
}
