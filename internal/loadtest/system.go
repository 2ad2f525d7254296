package loadtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.yaml.in/yaml/v3"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
	"goldcresthinge.example/goldcresthinge/internal/standin/netem"
)

// EntryVM is a running entry VM.
type EntryVM interface {
	Address() string // host:port for callers
	Stop(ctx context.Context) error
}

// Platform is a running stand-in for the platform.
type Platform interface {
	Address() string
	Stop(ctx context.Context) error
}

// EntryVMSpec is what an entry VM learns from its start settings. The
// addresses are free ports on loopback.
type EntryVMSpec struct {
	ID              string
	Region          string
	FailureDomain   string
	CallerAddress   string
	SiblingAddress  string
	OperatorAddress string
	PlatformAddress string
	// Dial, if set, connects to an address over the network of the scenario,
	// with the delay from this VM's region to that of the address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Factory starts the parts of a system that other packages provide.
type Factory struct {
	StartPlatform func(ctx context.Context, address string) (Platform, error)
	StartEntryVM  func(ctx context.Context, spec EntryVMSpec) (EntryVM, error)
	// ApplyConfig makes document the accepted configuration, through one entry VM.
	ApplyConfig func(ctx context.Context, via EntryVMSpec, document []byte) error
	// Ready reports whether an entry VM takes calls. Nil: a VM is ready when
	// StartEntryVM returns.
	Ready func(ctx context.Context, vm EntryVMSpec) bool
	// ConfigVersion returns the configuration version in force at an entry VM, or 0.
	ConfigVersion func(ctx context.Context, vm EntryVMSpec) uint64
}

// runningVM is an entry VM with the address that callers use.
type runningVM struct {
	spec    EntryVMSpec
	vm      EntryVM
	address string
	stopped bool
}

// System is a scenario's targets, platform and entry VMs, running in this
// process.
type System struct {
	scenario *Scenario
	factory  Factory
	targets  []*fakebackend.Server
	service  map[*fakebackend.Server]string
	applying sync.Mutex
	document *inventory.Document // guarded by applying after the start
	platform Platform
	link     *netem.Link   // between the regions
	local    []*netem.Link // within a region
	relays   *relays

	mu  sync.Mutex
	vms []*runningVM
}

// StartSystem starts everything. With a zero Factory only the targets start,
// and callers call them directly: a baseline for the tool itself.
func StartSystem(ctx context.Context, s *Scenario, f Factory) (*System, error) {
	sys := &System{scenario: s, factory: f, service: map[*fakebackend.Server]string{}}
	if err := sys.start(ctx); err != nil {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return nil, errors.Join(err, sys.Stop(stopCtx))
	}
	return sys, nil
}

func (sys *System) start(ctx context.Context) error {
	s := sys.scenario
	sys.link = netem.New(ms(s.Network.LinkMs), s.Network.LinkMbitPerS*1e6/8)
	sys.link.SetRecording(true)
	sys.relays = &relays{regionOf: map[string]string{}, made: map[relayKey]string{}, between: sys.link}
	inside := netem.New(ms(s.Network.RegionMs), 0)
	clients := netem.New(ms(s.Network.ClientMs), 0)
	sys.local = []*netem.Link{inside, clients}
	if err := sys.startTargets(inside); err != nil {
		return err
	}
	if sys.factory.StartEntryVM == nil {
		return nil
	}
	platform, err := sys.factory.StartPlatform(ctx, "127.0.0.1:0")
	if err != nil {
		return merry.Prepend(err, "start platform stand-in")
	}
	sys.platform = platform
	for _, d := range s.FailureDomains {
		for i := range d.EntryVMs {
			if err := sys.startVM(ctx, d, i, clients); err != nil {
				return err
			}
		}
	}
	if err := sys.apply(ctx); err != nil {
		return err
	}
	return sys.awaitReady(ctx)
}

func (sys *System) startTargets(inside *netem.Link) error {
	s := sys.scenario
	var addresses []TargetAddress
	for si, v := range s.Services {
		for i := range v.Targets {
			d := s.FailureDomains[i%len(s.FailureDomains)]
			cold := fakebackend.DefaultColdStart()
			if v.Warm {
				cold = fakebackend.ColdStart{}
			}
			t, err := fakebackend.Start(fakebackend.Config{
				Name: fmt.Sprintf("%s-%s-%02d", d.Name, v.Name, i/len(s.FailureDomains)+1),
				// Connections leave from 127.0.0.1, so no outgoing connection
				// can take the port of a target that is down.
				Address: fmt.Sprintf("127.1.%d.%d:0", si+1, i%250+1),
				Region:  d.Region, FailureDomain: d.Name,
				Slots: v.Slots, ServiceTime: ms(v.ServiceMs), Distribution: fakebackend.Distribution(v.Distribution),
				Seed: s.Seed + uint64(len(sys.targets)), AnswerBytes: v.AnswerBytes, ColdStart: cold,
				ProbeTime: ms(s.Network.ProbeMs), ConnectTime: ms(s.Network.ConnectMs),
			})
			if err != nil {
				return err
			}
			sys.targets = append(sys.targets, t)
			sys.service[t] = v.Name
			address := t.Address()
			if s.Network.RegionMs > 0 {
				relay, err := inside.StartProxy("127.0.0.1:0", address, netem.AToB)
				if err != nil {
					return err
				}
				address = relay.Address()
			}
			addresses = append(addresses, TargetAddress{v.Name, inventory.Target{
				Name: t.Config().Name, Address: address, FailureDomain: d.Name,
			}})
		}
	}
	sys.document = s.Document(addresses)
	return nil
}

func (sys *System) startVM(ctx context.Context, d FailureDomain, i int, clients *netem.Link) error {
	s := sys.scenario
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	spec := EntryVMSpec{
		ID: fmt.Sprintf("vm-%s-%d", d.Name, i+1), Region: d.Region, FailureDomain: d.Name,
		CallerAddress: addresses[0], SiblingAddress: addresses[1], OperatorAddress: addresses[2],
		PlatformAddress: sys.platform.Address(),
	}
	sys.relays.add(spec.SiblingAddress, d.Region)
	if s.Network.LinkMs > 0 {
		spec.Dial = sys.relays.dialer(d.Region)
		if d.Region != s.storeRegion() {
			sys.relays.add(spec.PlatformAddress, s.storeRegion())
			if spec.PlatformAddress, err = sys.relays.address(d.Region, spec.PlatformAddress); err != nil {
				return err
			}
		}
	}
	vm, err := sys.factory.StartEntryVM(ctx, spec)
	if err != nil {
		return merry.Prependf(err, "start entry VM %s", spec.ID)
	}
	r := &runningVM{spec: spec, vm: vm, address: vm.Address()}
	if s.Network.ClientMs > 0 {
		relay, err := clients.StartProxy("127.0.0.1:0", r.address, netem.AToB)
		if err != nil {
			return err
		}
		r.address = relay.Address()
	}
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.vms = append(sys.vms, r)
	return nil
}

// apply makes the current document the accepted configuration, through the
// first entry VM that takes it.
func (sys *System) apply(ctx context.Context) error {
	if sys.factory.ApplyConfig == nil {
		return nil
	}
	data, err := yaml.Marshal(sys.document)
	if err != nil {
		return merry.Wrap(err)
	}
	sys.mu.Lock()
	vms := slices.Clone(sys.vms)
	sys.mu.Unlock()
	var errs []error
	for _, v := range vms {
		if err := sys.factory.ApplyConfig(ctx, v.spec, data); err != nil {
			errs = append(errs, merry.Prependf(err, "apply through %s", v.spec.ID))
			continue
		}
		return nil
	}
	return errors.Join(errs...)
}

// Waits of awaitReady and of the stop of one process.
const (
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 20 * time.Second
)

func (sys *System) awaitReady(ctx context.Context) error {
	if sys.factory.Ready == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range sys.vms {
		for !sys.factory.Ready(ctx, v.spec) {
			select {
			case <-ctx.Done():
				return merry.Errorf("entry VM %s is not ready after %v", v.spec.ID, readyTimeout)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Records returns what all targets saw.
func (sys *System) Records() []fakebackend.Record {
	records := make([]fakebackend.Record, len(sys.targets))
	for i, t := range sys.targets {
		records[i] = t.Record()
	}
	return records
}

// Stop stops the entry VMs gracefully and at the same time, then the rest.
func (sys *System) Stop(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make([]error, len(sys.vms)+1)
	for i, v := range sys.vms {
		wg.Go(func() { errs[i] = sys.stopVM(ctx, v) })
	}
	wg.Wait()
	if sys.platform != nil {
		errs[len(sys.vms)] = sys.platform.Stop(ctx)
	}
	for _, l := range append(sys.local, sys.link) {
		if l != nil {
			l.Close()
		}
	}
	for _, t := range sys.targets {
		t.Stop()
	}
	return errors.Join(errs...)
}

func (sys *System) stopVM(ctx context.Context, v *runningVM) error {
	sys.mu.Lock()
	stopped := v.stopped
	v.stopped = true // callers no longer choose it, as the platform's balancer would
	sys.mu.Unlock()
	if stopped {
		return nil
	}
	return merry.Prependf(v.vm.Stop(ctx), "stop entry VM %s", v.spec.ID)
}

func (s *Scenario) storeRegion() string {
	for _, r := range s.Regions {
		if r.Store {
			return r.Name
		}
	}
	return ""
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
