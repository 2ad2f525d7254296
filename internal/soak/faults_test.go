package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
	"goldcresthinge.example/goldcresthinge/platform"
	"goldcresthinge.example/goldcresthinge/platform/platformtest"
)

// action is an unplanned fault or a planned change of a cluster. run performs the action
// and ends its effects if they do not end by themselves; some actions ignore duration.
// An error that run returns is recorded as a violation.
type action struct {
	name string
	run  func(cl *cluster, rng *rand.Rand, duration time.Duration) error
}

// event is an action that starts once the time in the field at has passed since the start
// of its phase, which is a part of a run. duration and rng are the arguments of the action.
type event struct {
	action
	at, duration time.Duration
	rng          *rand.Rand
}

// drawEvents draws count events from actions. They start within phaseLength, and their
// durations are less than maxDuration.
func drawEvents(rng *rand.Rand, actions []action, count int, phaseLength, maxDuration time.Duration) []event {
	events := make([]event, count)
	for i := range events {
		events[i] = event{
			action: actions[rng.IntN(len(actions))],
			at:     time.Duration(rng.Int64N(int64(phaseLength))), duration: time.Duration(rng.Int64N(int64(maxDuration))),
			rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), //nolint:gosec // no secret
		}
	}
	return events
}

// runEvents runs each event at its time, concurrently with the others, and returns when
// all have ended.
func (cl *cluster) runEvents(events []event, log func(format string, args ...any)) {
	var running sync.WaitGroup
	for _, e := range events {
		running.Go(func() {
			time.Sleep(e.at)
			log("%s start %s (drawn duration %v)", time.Now().Format("15:04:05.000"), e.name, e.duration.Round(time.Millisecond))
			if err := e.run(cl, e.rng, e.duration); err != nil {
				cl.checker.recordViolation("%s: %v", e.name, err)
			}
		})
	}
	running.Wait()
}

// unplannedFault returns run wrapped so that the checker records an unplanned fault from
// its start to its return.
func unplannedFault(run func(cl *cluster, rng *rand.Rand, duration time.Duration) error) func(*cluster, *rand.Rand, time.Duration) error {
	return func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		defer cl.checker.beginFault()()
		return run(cl, rng, duration)
	}
}

// vmFault returns an action that applies do to one VM, or with a probability of 1/8 to
// all, and undo at the end.
func vmFault(do func(v *vm), undo func(v *vm)) func(*cluster, *rand.Rand, time.Duration) error {
	return unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		vms := []*vm{cl.pickVM(rng)}
		if rng.IntN(8) == 0 {
			vms = cl.allVMs()
		}
		for _, v := range vms {
			do(v)
		}
		time.Sleep(duration)
		for _, v := range vms {
			undo(v)
		}
		return nil
	})
}

func noUndo(*vm) {}

// linkFault returns an action that applies do to one link of a random VM (to its callers,
// its siblings or the store) or to the link of a random backend server, and clears the
// faults of the link at the end.
func linkFault(do func(l *netem.Link, rng *rand.Rand)) func(*cluster, *rand.Rand, time.Duration) error {
	return unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		v := cl.pickVM(rng)
		link := v.callerLink
		switch rng.IntN(4) {
		case 0:
			link = v.siblingLink
		case 1:
			link = v.storeLink
		case 2:
			ep := cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]
			link = ep.link
			ep.mu.Lock()
			id := ep.server.ID
			ep.mu.Unlock()
			defer cl.checker.beginServerLinkFault(id)()
		}
		do(link, rng)
		time.Sleep(duration)
		clearLinkFaults(link)
		return nil
	})
}

// storeFault returns an action that makes the store fail for all VMs or, with a
// probability of 1/2, for a random selection of them.
func storeFault(drawFaults func(rng *rand.Rand) platformtest.StoreFaults) func(*cluster, *rand.Rand, time.Duration) error {
	return unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		onlySome := rng.IntN(2) == 0
		faults := drawFaults(rng)
		var vms []*vm
		for _, v := range cl.allVMs() {
			if !onlySome || rng.IntN(2) == 0 {
				vms = append(vms, v)
				v.storeClient.SetFaults(faults)
			}
		}
		time.Sleep(duration)
		for _, v := range vms {
			v.storeClient.SetFaults(platformtest.StoreFaults{})
		}
		return nil
	})
}

// serverFault returns an action that makes one server fail, or all of them if all is
// true.
func serverFault(all bool, drawFaults func(rng *rand.Rand) platformtest.ServerFaults) func(*cluster, *rand.Rand, time.Duration) error {
	return unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		endpoints := []*serverEndpoint{cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]}
		if all {
			endpoints = cl.serverEndpoints
		}
		faults := drawFaults(rng)
		var servers []*platformtest.Server
		for _, ep := range endpoints {
			ep.mu.Lock()
			servers = append(servers, ep.server)
			ep.mu.Unlock()
		}
		for _, s := range servers {
			s.SetFaults(faults)
		}
		time.Sleep(duration)
		for _, s := range servers {
			s.SetFaults(platformtest.ServerFaults{})
		}
		return nil
	})
}

// drawServerFaults draws one kind of server fault and its probability or factor. Surplus
// sends a second response after a complete one, Failed answers with status 500, and Full
// refuses every request without running it.
func drawServerFaults(rng *rand.Rand) platformtest.ServerFaults {
	intensity := 0.2 + 0.8*rng.Float64()
	kinds := []platformtest.ServerFaults{
		{DropResponse: intensity},
		{Truncated: intensity},
		{Malformed: intensity},
		{Surplus: intensity},
		{Failed: intensity},
		{Hang: intensity},
		{Full: true},
		{Slowdown: 1 + 10*intensity},
		{InvertHealth: true},
	}
	return kinds[rng.IntN(len(kinds))]
}

// serverFaults occur in every run, several times, since each affects few requests: the
// requests soon go to other servers.
var serverFaults = []action{{"fault at one server", serverFault(false, drawServerFaults)}}

// answerFaults are drawn from answerFaultStream, so that the other events of seeds that have failed
// before stay the same. One server answers before it has read the body of a request, or writes an
// earlier refusal once more.
var answerFaults = []action{{"answer fault at one server", serverFault(false, func(rng *rand.Rand) platformtest.ServerFaults {
	if rng.IntN(2) == 0 {
		return platformtest.ServerFaults{Early: 0.5}
	}
	return platformtest.ServerFaults{RepeatedRefusal: 0.5}
})}}

// allServerFaults affect all servers of all services at once. Retries then find no
// server without faults, so their number grows.
var allServerFaults = []action{{"fault at all servers", serverFault(true, drawServerFaults)}}

var unplannedActions = []action{
	{"kill VM", vmFault(func(v *vm) { v.signal(syscall.SIGKILL) }, noUndo)},
	{"pause VM", vmFault(func(v *vm) { v.signal(syscall.SIGSTOP) }, (*vm).resume)},
	{"replace VM", unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		v := cl.pickVM(rng)
		cl.removeVM(v)
		time.Sleep(duration / 2)
		_, err := cl.addVM(v.domain, rng)
		return err
	})},
	{"reset connections", linkFault(func(l *netem.Link, _ *rand.Rand) { l.Reset() })},
	{"blackhole connections", linkFault(func(l *netem.Link, _ *rand.Rand) { l.Blackhole() })},
	{"pause link", linkFault(func(l *netem.Link, _ *rand.Rand) { l.Pause() })},
	{"pause link in one direction", linkFault(func(l *netem.Link, rng *rand.Rand) {
		l.PauseDirection([]netem.Direction{netem.AToB, netem.BToA}[rng.IntN(2)])
	})},
	{"delay link", linkFault(func(l *netem.Link, rng *rand.Rand) {
		l.SetDelay(netem.AToB, time.Duration(rng.IntN(300))*time.Millisecond)
		l.SetDelay(netem.BToA, time.Duration(rng.IntN(300))*time.Millisecond)
	})},
	{"store down", storeFault(func(*rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{Unavailable: true}
	})},
	{"store rejects with 429", storeFault(func(*rand.Rand) platformtest.StoreFaults { return platformtest.StoreFaults{TooMany: true} })},
	{"store slow", storeFault(func(rng *rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{Delay: time.Duration(rng.IntN(900)) * time.Millisecond}
	})},
	// LateBy is the time after which a write without a response takes effect.
	{"store drops responses", storeFault(func(rng *rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{DropResponses: rng.Float64(), LateBy: time.Duration(rng.IntN(2000)) * time.Millisecond}
	})},
	{"store drops change history", unplannedFault(func(cl *cluster, _ *rand.Rand, _ time.Duration) error {
		cl.store.Compact()
		return nil
	})},
	{"server crashes", unplannedFault(func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		ep := cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]
		ep.mu.Lock()
		defer ep.mu.Unlock()
		old := ep.server
		old.Close()
		time.Sleep(duration / 2)
		service := old.Service
		if rng.IntN(3) == 0 {
			// A server of another service gets the address before the entry of the old
			// server is removed from the store.
			service = map[string]string{serviceOne: serviceTwo, serviceTwo: serviceOne}[service]
		}
		if err := cl.startServer(ep, service, coldDuration); err != nil {
			return err
		}
		time.Sleep(duration / 2)
		cl.store.Remove(platform.TableServers, old.ID)
		return nil
	})},
}

// burstCallers is the number of callers of a burst. They send several times as many
// requests as the servers can handle.
const burstCallers = 60

var plannedActions = []action{
	{"burst", func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		var callersDone sync.WaitGroup
		for range burstCallers {
			c := cl.newCaller("b", rng) // "b" for burst begins the name of the caller
			c.requestInterval = time.Millisecond
			callersDone.Go(func() { c.run(ctx) })
		}
		callersDone.Wait()
		return nil
	}},
	{"stop VM", func(cl *cluster, rng *rand.Rand, _ time.Duration) error { return cl.terminateVM(cl.pickVM(rng)) }},
	// Each VM is stopped with a probability of 1/2. The number of VMs considered depends on
	// the duration, of which each VM uses up a quarter of the termination grace period,
	// whether it is stopped or not.
	{"stop some VMs in turn", func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		for _, v := range cl.allVMs() {
			if rng.IntN(2) == 0 {
				if err := cl.terminateVM(v); err != nil {
					return err
				}
			}
			if duration -= terminationGraceSeconds * time.Second / 4; duration < 0 {
				break
			}
		}
		return nil
	}},
	{"change settings", func(cl *cluster, rng *rand.Rand, _ time.Duration) error {
		v := cl.pickVM(rng)
		if err := v.writeSettings(retrySlack - rng.IntN(5)); err != nil {
			return err
		}
		// Without SIGHUP, the VM notices the change when it next polls the file.
		if rng.IntN(2) == 0 {
			v.signal(syscall.SIGHUP)
		}
		return nil
	}},
	// The argument of storeNextConfig says whether a route moves to the other service.
	{"store configuration", func(cl *cluster, rng *rand.Rand, _ time.Duration) error { return cl.storeNextConfig(rng.IntN(2) == 0) }},
	{"store configurations quickly", func(cl *cluster, rng *rand.Rand, _ time.Duration) error {
		for range 5 {
			if err := cl.storeNextConfig(rng.IntN(2) == 0); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		return nil
	}},
	{"replace server", func(cl *cluster, rng *rand.Rand, _ time.Duration) error { return cl.replaceServer(rng) }},
	{"server turns cold", func(cl *cluster, rng *rand.Rand, _ time.Duration) error {
		ep := cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]
		ep.mu.Lock()
		defer ep.mu.Unlock()
		ep.server.SetCold(coldDuration)
		return ep.server.Register(cl.store)
	}},
	{"evacuate", func(cl *cluster, rng *rand.Rand, duration time.Duration) error {
		domain := domains[rng.IntN(len(domains))]
		if !cl.evacuation.TryLock() {
			// Only one evacuation runs at a time: ending one of two evacuations of the same
			// failure domain would end both.
			return nil
		}
		defer cl.evacuation.Unlock()
		if err := cl.store.Evacuate(domain); err != nil {
			return err
		}
		end := cl.checker.beginExclusion(exclusion{domain: domain}, evacuationTimeout)
		time.Sleep(duration + evacuationTimeout)
		end()
		cl.store.Return(domain) // ends the evacuation
		return nil
	}},
}

// silentConnections lets all open connections of the VMs to the store, to each other and to the servers
// go silent for good, while new ones work, and a server leave at the same time. When that server may no
// longer get requests is not checked, since the fault has just been; internal/entry does.
var silentConnections = []action{{"all connections go silent", func(cl *cluster, rng *rand.Rand, _ time.Duration) error {
	end := cl.checker.beginFault()
	for _, v := range cl.allVMs() {
		v.siblingLink.Blackhole()
		v.storeLink.Blackhole()
	}
	for _, ep := range cl.serverEndpoints {
		ep.link.Blackhole()
	}
	end()
	return cl.replaceServer(rng)
}}}

// lateHeartbeats let the store do a heartbeat of a server late, after the server has reported that it
// drains or its row was removed.
var lateHeartbeats = []action{{"late heartbeat of a server that leaves", func(cl *cluster, rng *rand.Rand, _ time.Duration) error {
	ep := cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]
	ep.mu.Lock()
	defer ep.mu.Unlock()
	old := ep.server
	late := cl.store.Get(platform.TableServers, old.ID)
	if err := old.Register(cl.store); err != nil {
		return err
	}
	time.Sleep(drainTimeout) // the VMs have read the later heartbeat
	old.SetLeaving(true)
	reports := rng.IntN(2) == 0
	if reports {
		if err := old.Register(cl.store); err != nil {
			return err
		}
	} else {
		cl.store.Remove(platform.TableServers, old.ID)
	}
	end := cl.checker.beginExclusion(exclusion{server: old.ID, lateWrite: true}, drainTimeout)
	time.Sleep(drainTimeout)
	if late != nil {
		cl.store.PutRaw(platform.TableServers, old.ID, late)
	}
	time.Sleep(drainTimeout)
	end()
	old.Close()
	cl.store.Remove(platform.TableServers, old.ID)
	return cl.startServer(ep, old.Service, coldDuration)
}}}

// terminateVM stops the process of a VM as the platform does; supervise starts a new one.
// It records a violation if the process does not end within its grace period and there
// was no unplanned fault meanwhile.
func (cl *cluster) terminateVM(v *vm) error {
	started := time.Now()
	if !v.terminate() {
		cl.checker.mu.Lock()
		defer cl.checker.mu.Unlock()
		if cl.checker.withoutFault(started, time.Now()) {
			cl.checker.recordViolationLocked("%s did not end within its grace period after SIGTERM", v.id)
		}
	}
	return nil
}

// replaceServer removes a server and starts another one at its address. The old
// server either announces first that it leaves, or its entry in the store is removed
// without an announcement.
func (cl *cluster) replaceServer(rng *rand.Rand) error {
	ep := cl.serverEndpoints[rng.IntN(len(cl.serverEndpoints))]
	ep.mu.Lock()
	defer ep.mu.Unlock()
	old := ep.server
	if rng.IntN(2) == 0 {
		old.SetLeaving(true)
		if err := old.Register(cl.store); err != nil {
			return err
		}
	} else {
		cl.store.Remove(platform.TableServers, old.ID)
	}
	end := cl.checker.beginExclusion(exclusion{server: old.ID}, drainTimeout)
	time.Sleep(drainTimeout + time.Second)
	end()
	old.Close()
	cl.store.Remove(platform.TableServers, old.ID)
	return cl.startServer(ep, old.Service, coldDuration)
}
