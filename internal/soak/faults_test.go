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

// action is something that happens to a deployment. It ends by itself.
type action struct {
	name string
	run  func(w *world, rng *rand.Rand, lasting time.Duration) error
}

// event is an action at a time after the start of its phase.
type event struct {
	action
	at, lasting time.Duration
	rng         *rand.Rand
}

// draw returns events of actions within a phase.
func draw(rng *rand.Rand, from []action, count int, phase, longest time.Duration) []event {
	events := make([]event, count)
	for i := range events {
		events[i] = event{
			action: from[rng.IntN(len(from))],
			at:     time.Duration(rng.Int64N(int64(phase))), lasting: time.Duration(rng.Int64N(int64(longest))),
			rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), //nolint:gosec // no secret
		}
	}
	return events
}

// play runs events at their times and returns when all have ended.
func (w *world) play(events []event, log func(format string, args ...any)) {
	var running sync.WaitGroup
	for _, e := range events {
		running.Go(func() {
			time.Sleep(e.at)
			log("%s %s for %v", time.Now().Format("05.000"), e.name, e.lasting.Round(time.Millisecond))
			if err := e.run(w, e.rng, e.lasting); err != nil {
				w.ledger.fail("%s: %v", e.name, err)
			}
		})
	}
	running.Wait()
}

// fault marks an action as unplanned while it runs.
func fault(run func(w *world, rng *rand.Rand, lasting time.Duration) error) func(*world, *rand.Rand, time.Duration) error {
	return func(w *world, rng *rand.Rand, lasting time.Duration) error {
		defer w.ledger.begin()()
		return run(w, rng, lasting)
	}
}

// onVMs does something to one VM, or rarely to all at once.
func onVMs(do func(v *vm), undo func(v *vm)) func(*world, *rand.Rand, time.Duration) error {
	return fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		vms := []*vm{w.pickVM(rng)}
		if rng.IntN(8) == 0 {
			vms = w.allVMs()
		}
		for _, v := range vms {
			do(v)
		}
		time.Sleep(lasting)
		for _, v := range vms {
			undo(v)
		}
		return nil
	})
}

func nothing(*vm) {}

// onLink does something to a link that leads to a VM, the store or a server.
func onLink(do func(l *netem.Link, rng *rand.Rand)) func(*world, *rand.Rand, time.Duration) error {
	return fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		v := w.pickVM(rng)
		link := v.callerLink
		switch rng.IntN(4) {
		case 0:
			link = v.siblingLink
		case 1:
			link = v.storeLink
		case 2:
			s := w.sites[rng.IntN(len(w.sites))]
			link = s.link
			s.mu.Lock()
			id := s.server.ID
			s.mu.Unlock()
			defer w.ledger.beginLink(id)()
		}
		do(link, rng)
		time.Sleep(lasting)
		calmLink(link)
		return nil
	})
}

// onStore makes the store fail for some VMs or for all.
func onStore(draw func(rng *rand.Rand) platformtest.StoreFaults) func(*world, *rand.Rand, time.Duration) error {
	return fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		some := rng.IntN(2) == 0
		faults := draw(rng)
		var vms []*vm
		for _, v := range w.allVMs() {
			if !some || rng.IntN(2) == 0 {
				vms = append(vms, v)
				v.storeClient.SetFaults(faults)
			}
		}
		time.Sleep(lasting)
		for _, v := range vms {
			v.storeClient.SetFaults(platformtest.StoreFaults{})
		}
		return nil
	})
}

// onServers makes one server fail, or all of them.
func onServers(all bool, draw func(rng *rand.Rand) platformtest.ServerFaults) func(*world, *rand.Rand, time.Duration) error {
	return fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		sites := []*site{w.sites[rng.IntN(len(w.sites))]}
		if all {
			sites = w.sites
		}
		faults := draw(rng)
		var servers []*platformtest.Server
		for _, s := range sites {
			s.mu.Lock()
			servers = append(servers, s.server)
			s.mu.Unlock()
		}
		for _, s := range servers {
			s.SetFaults(faults)
		}
		time.Sleep(lasting)
		for _, s := range servers {
			s.SetFaults(platformtest.ServerFaults{})
		}
		return nil
	})
}

// drawServerFaults returns one kind of fault of a server.
func drawServerFaults(rng *rand.Rand) platformtest.ServerFaults {
	x := 0.2 + 0.8*rng.Float64()
	kinds := []platformtest.ServerFaults{
		{DropResponse: x},
		{Truncated: x},
		{Malformed: x},
		{Surplus: x},
		{Failed: x},
		{Hang: x},
		{Full: true},
		{Slowdown: 1 + 10*x},
		{InvertHealth: true},
	}
	return kinds[rng.IntN(len(kinds))]
}

// serverFaults come in every run, since each of them is met by few requests:
// other servers get the work soon.
var serverFaults = []action{{"server fails in part", onServers(false, drawServerFaults)}}

// serviceFaults leave no other server to turn to, so that retries add up.
var serviceFaults = []action{{"all servers fail in part", onServers(true, drawServerFaults)}}

var unplanned = []action{
	{"kill VM", onVMs(func(v *vm) { v.signal(syscall.SIGKILL) }, nothing)},
	{"pause VM", onVMs(func(v *vm) { v.signal(syscall.SIGSTOP) }, (*vm).wake)},
	{"replace VM", fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		v := w.pickVM(rng)
		w.removeVM(v)
		time.Sleep(lasting / 2)
		_, err := w.addVM(v.domain, rng)
		return err
	})},
	{"reset connections", onLink(func(l *netem.Link, _ *rand.Rand) { l.Reset() })},
	{"silence connections", onLink(func(l *netem.Link, _ *rand.Rand) { l.Blackhole() })},
	{"cut link", onLink(func(l *netem.Link, _ *rand.Rand) { l.Pause() })},
	{"cut link one way", onLink(func(l *netem.Link, rng *rand.Rand) {
		l.PauseDirection([]netem.Direction{netem.AToB, netem.BToA}[rng.IntN(2)])
	})},
	{"delay link", onLink(func(l *netem.Link, rng *rand.Rand) {
		l.SetDelay(netem.AToB, time.Duration(rng.IntN(300))*time.Millisecond)
		l.SetDelay(netem.BToA, time.Duration(rng.IntN(300))*time.Millisecond)
	})},
	{"store down", onStore(func(*rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{Unavailable: true}
	})},
	{"store refuses", onStore(func(*rand.Rand) platformtest.StoreFaults { return platformtest.StoreFaults{TooMany: true} })},
	{"store slow", onStore(func(rng *rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{Delay: time.Duration(rng.IntN(900)) * time.Millisecond}
	})},
	{"store loses answers", onStore(func(rng *rand.Rand) platformtest.StoreFaults {
		return platformtest.StoreFaults{DropResponses: rng.Float64(), LateBy: time.Duration(rng.IntN(2000)) * time.Millisecond}
	})},
	{"store forgets", fault(func(w *world, _ *rand.Rand, _ time.Duration) error {
		w.store.Compact()
		return nil
	})},
	{"server crashes", fault(func(w *world, rng *rand.Rand, lasting time.Duration) error {
		s := w.sites[rng.IntN(len(w.sites))]
		s.mu.Lock()
		defer s.mu.Unlock()
		old := s.server
		old.Close()
		time.Sleep(lasting / 2)
		service := old.Service
		if rng.IntN(3) == 0 {
			// Another service gets the address before the entry is removed.
			service = map[string]string{serviceOne: serviceTwo, serviceTwo: serviceOne}[service]
		}
		if err := w.startServer(s, service, coldFor); err != nil {
			return err
		}
		time.Sleep(lasting / 2)
		w.store.Remove(platform.TableServers, old.ID)
		return nil
	})},
}

// burstCallers is several times what the servers can serve.
const burstCallers = 60

var planned = []action{
	{"burst", func(w *world, rng *rand.Rand, lasting time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), lasting)
		defer cancel()
		var load sync.WaitGroup
		for range burstCallers {
			c := w.newCaller("b", rng)
			c.pause = time.Millisecond
			load.Go(func() { c.run(ctx) })
		}
		load.Wait()
		return nil
	}},
	{"stop VM", func(w *world, rng *rand.Rand, _ time.Duration) error { return w.stop(w.pickVM(rng)) }},
	{"stop all VMs in turn", func(w *world, rng *rand.Rand, lasting time.Duration) error {
		for _, v := range w.allVMs() {
			if rng.IntN(2) == 0 {
				if err := w.stop(v); err != nil {
					return err
				}
			}
			if lasting -= graceS * time.Second / 4; lasting < 0 {
				break
			}
		}
		return nil
	}},
	{"change settings", func(w *world, rng *rand.Rand, _ time.Duration) error {
		v := w.pickVM(rng)
		if err := v.writeSettings(retrySlack - rng.IntN(5)); err != nil {
			return err
		}
		if rng.IntN(2) == 0 {
			v.signal(syscall.SIGHUP)
		}
		return nil
	}},
	{"configure", func(w *world, rng *rand.Rand, _ time.Duration) error { return w.configure(rng.IntN(2) == 0) }},
	{"configure often", func(w *world, rng *rand.Rand, _ time.Duration) error {
		for range 5 {
			if err := w.configure(rng.IntN(2) == 0); err != nil {
				return err
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		return nil
	}},
	{"take server away", func(w *world, rng *rand.Rand, _ time.Duration) error { return w.replace(rng) }},
	{"server turns cold", func(w *world, rng *rand.Rand, _ time.Duration) error {
		s := w.sites[rng.IntN(len(w.sites))]
		s.mu.Lock()
		defer s.mu.Unlock()
		s.server.SetCold(coldFor)
		return s.server.Register(w.store)
	}},
	{"evacuate", func(w *world, rng *rand.Rand, lasting time.Duration) error {
		domain := domains[rng.IntN(len(domains))]
		if !w.evacuating.TryLock() {
			return nil // another evacuation would end with this one
		}
		defer w.evacuating.Unlock()
		if err := w.store.Evacuate(domain); err != nil {
			return err
		}
		end := w.ledger.beginAbsence(absence{domain: domain}, evacuateWithin)
		time.Sleep(lasting + evacuateWithin)
		end()
		w.store.Return(domain)
		return nil
	}},
}

// stop stops a VM as the platform does. Its process is started again.
func (w *world) stop(v *vm) error {
	from := time.Now()
	if !v.terminate() {
		w.ledger.mu.Lock()
		defer w.ledger.mu.Unlock()
		if w.ledger.calm(from, time.Now()) {
			w.ledger.failLocked("%s was still there at the end of its time to stop", v.id)
		}
	}
	return nil
}

// replace takes a server away, with or without its own announcement, and starts
// another one at its address.
func (w *world) replace(rng *rand.Rand) error {
	s := w.sites[rng.IntN(len(w.sites))]
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.server
	if rng.IntN(2) == 0 {
		old.SetLeaving(true)
		if err := old.Register(w.store); err != nil {
			return err
		}
	} else {
		w.store.Remove(platform.TableServers, old.ID)
	}
	end := w.ledger.beginAbsence(absence{server: old.ID}, drainWithin)
	time.Sleep(drainWithin + time.Second)
	end()
	old.Close()
	w.store.Remove(platform.TableServers, old.ID)
	return w.startServer(s, old.Service, coldFor)
}
