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

// EntryVM is a running entry VM: a machine of the load balancer that accepts
// calls of callers.
type EntryVM interface {
	Address() string // host:port at which the VM accepts calls
	Stop(ctx context.Context) error
}

// Platform is a running fake of the platform that hosts the entry VMs and
// their shared store.
type Platform interface {
	Address() string
	Stop(ctx context.Context) error
}

// EntryVMSpec holds the start settings of an entry VM. The addresses are free
// ports on loopback.
type EntryVMSpec struct {
	ID              string
	Region          string
	FailureDomain   string
	CallerAddress   string
	SiblingAddress  string
	OperatorAddress string
	PlatformAddress string
	// Dial, if set, connects to an address over the emulated network of the
	// scenario, with the delay between the region of this VM and the region of
	// the address. Nil: the VM connects directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Factory starts and controls the parts of a system that other packages
// implement.
type Factory struct {
	StartPlatform func(ctx context.Context, address string) (Platform, error)
	StartEntryVM  func(ctx context.Context, spec EntryVMSpec) (EntryVM, error)
	// ApplyConfig submits document to the entry VM via. It returns nil once the
	// document is the accepted configuration.
	ApplyConfig func(ctx context.Context, via EntryVMSpec, document []byte) error
	// Ready reports whether an entry VM accepts calls. If Ready is nil, a VM
	// counts as ready when StartEntryVM returns.
	Ready func(ctx context.Context, vm EntryVMSpec) bool
	// ConfigVersion returns the configuration version in force at an entry VM,
	// or 0 if it is not known.
	ConfigVersion func(ctx context.Context, vm EntryVMSpec) uint64
}

// runningVM is an entry VM with the address that callers use, which is that of
// a proxy if the scenario has a delay between callers and entry VMs.
type runningVM struct {
	spec    EntryVMSpec
	vm      EntryVM
	address string
	stopped bool
}

// System runs the targets, the platform and the entry VMs of a scenario in this
// process.
type System struct {
	scenario    *Scenario
	factory     Factory
	targets     []*fakebackend.Server
	serviceOf   map[*fakebackend.Server]string
	configMu    sync.Mutex
	document    *inventory.Document // guarded by configMu after the start
	platform    Platform
	interRegion *netem.Link   // between the regions
	localLinks  []*netem.Link // within a region
	proxies     *interRegionProxies

	mu  sync.Mutex
	vms []*runningVM
}

// StartSystem starts the targets, the platform and the entry VMs of s, applies
// the configuration and waits until all entry VMs are ready. With a zero Factory
// it starts only the targets, which callers then call directly; this gives a
// baseline for the load test itself. After an error it stops what it started.
func StartSystem(ctx context.Context, s *Scenario, f Factory) (*System, error) {
	sys := &System{scenario: s, factory: f, serviceOf: map[*fakebackend.Server]string{}}
	if err := sys.start(ctx); err != nil {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return nil, errors.Join(err, sys.Stop(stopCtx))
	}
	return sys, nil
}

func (sys *System) start(ctx context.Context) error {
	s := sys.scenario
	sys.interRegion = netem.New(milliseconds(s.Network.LinkMs), s.Network.LinkMbitPerS*1e6/8)
	sys.interRegion.SetRecording(true)
	sys.proxies = &interRegionProxies{regionOf: map[string]string{}, proxyAddress: map[proxyKey]string{}, link: sys.interRegion}
	intraRegion := netem.New(milliseconds(s.Network.RegionMs), 0)
	clientLink := netem.New(milliseconds(s.Network.ClientMs), 0)
	sys.localLinks = []*netem.Link{intraRegion, clientLink}
	if err := sys.startTargets(intraRegion); err != nil {
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
			if err := sys.startVM(ctx, d, i, clientLink); err != nil {
				return err
			}
		}
	}
	if err := sys.applyConfig(ctx); err != nil {
		return err
	}
	return sys.waitUntilReady(ctx)
}

// startTargets starts the targets of all services, with a proxy in front of each if
// the scenario has a delay within a region, and creates the configuration document.
func (sys *System) startTargets(intraRegion *netem.Link) error {
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
				// Outgoing connections use local ports of 127.0.0.1. Targets
				// listen at other addresses of 127/8, so no outgoing connection
				// can occupy the port of a target that is down.
				Address: fmt.Sprintf("127.1.%d.%d:0", si+1, i%250+1),
				Region:  d.Region, FailureDomain: d.Name,
				Slots: v.Slots, ServiceTime: milliseconds(v.ServiceMs), Distribution: fakebackend.Distribution(v.Distribution),
				Seed: s.Seed + uint64(len(sys.targets)), AnswerBytes: v.AnswerBytes, ColdStart: cold,
				ProbeTime: milliseconds(s.Network.ProbeMs), ConnectTime: milliseconds(s.Network.ConnectMs),
			})
			if err != nil {
				return err
			}
			sys.targets = append(sys.targets, t)
			sys.serviceOf[t] = v.Name
			address := t.Address()
			if s.Network.RegionMs > 0 {
				proxy, err := intraRegion.StartProxy("127.0.0.1:0", address, netem.AToB)
				if err != nil {
					return err
				}
				address = proxy.Address()
			}
			addresses = append(addresses, TargetAddress{v.Name, inventory.Target{
				Name: t.Config().Name, Address: address, FailureDomain: d.Name,
			}})
		}
	}
	sys.document = s.Document(addresses)
	return nil
}

// startVM starts the i-th entry VM of a failure domain, and a proxy in front of it
// if the scenario has a delay between callers and entry VMs.
func (sys *System) startVM(ctx context.Context, d FailureDomain, i int, clientLink *netem.Link) error {
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
	sys.proxies.setRegion(spec.SiblingAddress, d.Region)
	if s.Network.LinkMs > 0 {
		spec.Dial = sys.proxies.dialer(d.Region)
		if d.Region != s.storeRegion() {
			sys.proxies.setRegion(spec.PlatformAddress, s.storeRegion())
			if spec.PlatformAddress, err = sys.proxies.addressFrom(d.Region, spec.PlatformAddress); err != nil {
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
		proxy, err := clientLink.StartProxy("127.0.0.1:0", r.address, netem.AToB)
		if err != nil {
			return err
		}
		r.address = proxy.Address()
	}
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.vms = append(sys.vms, r)
	return nil
}

// applyConfig makes the current document the accepted configuration: it submits
// the document to one entry VM after the other until one accepts it. If all fail,
// it returns all their errors.
func (sys *System) applyConfig(ctx context.Context) error {
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

// Limits and interval of the waits for a start or a stop.
const (
	readyTimeout      = 15 * time.Second // until all entry VMs are ready
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 20 * time.Second // for one entry VM or a whole System
)

func (sys *System) waitUntilReady(ctx context.Context) error {
	if sys.factory.Ready == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range sys.vms {
		for !sys.factory.Ready(ctx, v.spec) {
			select {
			case <-ctx.Done():
				return merry.Errorf("entry VM %s is not ready %v after the configuration was applied", v.spec.ID, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Records returns the record of each target: the requests that it received and
// ran, and its probes and faults.
func (sys *System) Records() []fakebackend.Record {
	records := make([]fakebackend.Record, len(sys.targets))
	for i, t := range sys.targets {
		records[i] = t.Record()
	}
	return records
}

// Stop stops all entry VMs gracefully and concurrently, then the platform, the
// network links and the targets. It returns the errors of all stops.
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
	for _, l := range append(sys.localLinks, sys.interRegion) {
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
	v.stopped = true // removes it from pickAddresses, as the platform's balancer would
	sys.mu.Unlock()
	if stopped {
		return nil
	}
	return merry.Prependf(v.vm.Stop(ctx), "stop entry VM %s", v.spec.ID)
}

// storeRegion returns the name of the region that hosts the store.
func (s *Scenario) storeRegion() string {
	for _, r := range s.Regions {
		if r.Store {
			return r.Name
		}
	}
	return ""
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
