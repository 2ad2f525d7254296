package loadtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/olekukonko/tablewriter"
	"go.yaml.in/yaml/v3"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
)

// FleetCommand holds the arguments of the fleet subcommand.
type FleetCommand struct {
	VMs      int           `arg:"--vms" default:"14" help:"entry VMs"`
	Targets  int           `arg:"--targets" default:"60" help:"targets of all services"`
	Services int           `arg:"--services" default:"4" help:"services"`
	Domains  int           `arg:"--failure-domains" default:"4" help:"failure domains"`
	Regions  int           `arg:"--regions" default:"2" help:"regions"`
	Settle   time.Duration `arg:"--settle" default:"25s" help:"time before the measurement"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"time of the measurement"`
	Changes  int           `arg:"--changes" default:"0" help:"changes of configuration during the measurement, in even steps"`
}

// fleetPollInterval is the interval at which the configuration version of a VM is
// queried after a change.
const fleetPollInterval = 5 * time.Millisecond

// fleet is a set of entry VMs that receive no calls. It measures the processor
// time, memory and traffic that the VMs need for control alone, that is, for
// everything but calls and probes.
type fleet struct {
	command        *FleetCommand
	factory        Factory
	platform       Platform
	vms            []EntryVM
	specs          []EntryVMSpec
	document       *inventory.Document
	siblingTraffic traffic
	storeTraffic   traffic
}

// traffic counts connections and their bytes. Sent and received are seen from the
// side that opened the connection. It is safe for concurrent use.
type traffic struct{ sent, received, connections atomic.Int64 }

// usage holds the processor time and the bytes that a fleet has used until at.
type usage struct {
	at                       time.Time
	cpu                      time.Duration
	siblingBytes, storeBytes int64
}

// runFleet starts a fleet, measures the cost of control and writes one table to
// out. It returns the first error of the start or of a configuration change, or that
// of ctx.
func runFleet(ctx context.Context, c *FleetCommand, out io.Writer, f Factory) error {
	fl := &fleet{command: c, factory: f, document: fleetDocument(c)}
	defer fl.stop(context.WithoutCancel(ctx))
	memoryBefore := memoryInUse()
	if err := fl.start(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, c.Settle); err != nil {
		return err
	}
	first := fl.usage()
	slowest, err := fl.applyChanges(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(first.at.Add(c.Duration))); err != nil {
		return err
	}
	last := fl.usage()
	fl.report(out, first, last, memoryInUse()-memoryBefore, slowest)
	return nil
}

// fleetDocument returns a configuration with the numbers of regions, failure
// domains, services and targets that c asks for. The targets are distributed evenly
// over the services and failure domains.
func fleetDocument(c *FleetCommand) *inventory.Document {
	d := &inventory.Document{}
	for r := range c.Regions {
		d.Regions = append(d.Regions, inventory.Region{Name: fmt.Sprintf("region-%d", r), Store: r == 0})
	}
	for i := range c.Domains {
		d.FailureDomains = append(d.FailureDomains, inventory.FailureDomain{
			Name: fmt.Sprintf("domain-%02d", i), Region: d.Regions[i%c.Regions].Name,
		})
	}
	for i := range c.Services {
		// No process listens at the targets, so the probe rate is close to zero.
		// Probes have a separate budget and are not part of this measurement.
		svc := inventory.Service{Name: fmt.Sprintf("service-%02d", i), ProbesPerSecond: 0.0001}
		for t := i; t < c.Targets; t += c.Services {
			svc.Targets = append(svc.Targets, inventory.Target{
				Name:          fmt.Sprintf("target-%04d", t),
				Address:       fmt.Sprintf("127.1.%d.%d:9", t/250, t%250+1),
				FailureDomain: d.FailureDomains[(t/c.Services)%c.Domains].Name,
			})
		}
		d.Services = append(d.Services, svc)
		d.Rules.Routes = append(d.Rules.Routes, inventory.Route{
			Name: "route-" + strconv.Itoa(i), PathPrefix: "/" + svc.Name, Service: svc.Name,
		})
	}
	return d
}

func (fl *fleet) start(ctx context.Context) error {
	var err error
	if fl.platform, err = fl.factory.StartPlatform(ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	for i := range fl.command.VMs {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		domain := fl.document.FailureDomains[i%fl.command.Domains]
		spec := EntryVMSpec{
			ID: fmt.Sprintf("vm-%03d", i), Region: domain.Region, FailureDomain: domain.Name,
			CallerAddress: addresses[0], SiblingAddress: addresses[1], OperatorAddress: addresses[2],
			PlatformAddress: fl.platform.Address(), Dial: fl.dial,
		}
		vm, err := fl.factory.StartEntryVM(ctx, spec)
		if err != nil {
			return merry.Prependf(err, "start entry VM %s", spec.ID)
		}
		fl.vms, fl.specs = append(fl.vms, vm), append(fl.specs, spec)
	}
	return fl.applyConfig(ctx)
}

func (fl *fleet) applyConfig(ctx context.Context) error {
	data, err := yaml.Marshal(fl.document)
	if err != nil {
		return merry.Wrap(err)
	}
	return fl.factory.ApplyConfig(ctx, fl.specs[0], data)
}

// stop stops the platform and begins to stop the VMs. It neither waits for the VMs
// nor reports errors; the program ends after a fleet run.
func (fl *fleet) stop(ctx context.Context) {
	for _, vm := range fl.vms {
		go func() { _ = vm.Stop(ctx) }()
	}
	if fl.platform != nil {
		_ = fl.platform.Stop(ctx)
	}
}

// applyChanges applies the configuration changes at even intervals. It returns
// the longest time from the operator's request until the new version was in force
// at all VMs.
func (fl *fleet) applyChanges(ctx context.Context) (time.Duration, error) {
	var slowest time.Duration
	for i := range fl.command.Changes {
		begin := time.Now()
		fl.document.Rules.OutOfService = nil
		if i%2 == 0 {
			fl.document.Rules.OutOfService = []string{fl.document.FailureDomains[0].Name}
		}
		if err := fl.applyConfig(ctx); err != nil {
			return 0, err
		}
		version := uint64(i + 2)
		for _, spec := range fl.specs {
			for fl.factory.ConfigVersion(ctx, spec) < version {
				if err := sleep(ctx, fleetPollInterval); err != nil {
					return 0, err
				}
			}
		}
		slowest = max(slowest, time.Since(begin))
		if err := sleep(ctx, fl.command.Duration/time.Duration(fl.command.Changes)-time.Since(begin)); err != nil {
			return 0, err
		}
	}
	return slowest, nil
}

func (fl *fleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:           time.Now(),
		cpu:          time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		siblingBytes: fl.siblingTraffic.sent.Load() + fl.siblingTraffic.received.Load(),
		storeBytes:   fl.storeTraffic.sent.Load() + fl.storeTraffic.received.Load(),
	}
}

// report writes the table of figures per VM. The processor time is that of the
// whole process divided by the number of VMs. It includes the fake platform and is
// therefore an upper bound.
func (fl *fleet) report(out io.Writer, first, last usage, memoryBytes uint64, slowest time.Duration) {
	n := float64(fl.command.VMs)
	seconds := last.at.Sub(first.at).Seconds()
	t := tablewriter.NewWriter(out)
	t.SetHeader([]string{"Measure", "Value", "Unit"})
	row := func(name string, v float64, unit string) {
		t.Append([]string{name, strconv.FormatFloat(v, 'f', 3, 64), unit})
	}
	row("entry VMs", n, "")
	row("targets", float64(fl.command.Targets), "")
	row("pools, at most", float64(fl.command.Services*fl.command.Domains), "")
	row("processor time per VM", 100*(last.cpu-first.cpu).Seconds()/seconds/n, "% of a core")
	row("memory per VM", float64(memoryBytes)/n/(1<<20), "MiB of heap and stacks")
	// Each byte between siblings is sent by one VM and received by another.
	row("sibling traffic per VM, sent and received", 2*float64(last.siblingBytes-first.siblingBytes)/seconds/n, "bytes/s")
	row("store traffic per VM, sent and received", float64(last.storeBytes-first.storeBytes)/seconds/n, "bytes/s")
	row("configuration changes", float64(fl.command.Changes), "")
	row("slowest change until in force everywhere", slowest.Seconds(), "s")
	t.Render()
}

// dial connects to address and counts the bytes of the connection as store
// traffic if address is that of the platform, otherwise as sibling traffic.
func (fl *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counter := &fl.siblingTraffic
	if address == fl.platform.Address() {
		counter = &fl.storeTraffic
	}
	counter.connections.Add(1)
	return &countingConn{Conn: conn, counter: counter}, nil
}

// countingConn adds the bytes of a connection to a traffic counter.
type countingConn struct {
	net.Conn
	counter *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
