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

// FleetCommand are the settings of the fleet subcommand.
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

// fleetPollInterval is the time between two looks at the versions of the VMs
// after a change.
const fleetPollInterval = 5 * time.Millisecond

// fleet is a set of entry VMs without calls, to measure what control costs.
type fleet struct {
	c        *FleetCommand
	factory  Factory
	platform Platform
	vms      []EntryVM
	specs    []EntryVMSpec
	document *inventory.Document
	sibling  traffic
	store    traffic
}

// traffic counts the bytes of connections by the side that opened them.
type traffic struct{ sent, received, connections atomic.Int64 }

// usage is what a fleet has used since its start.
type usage struct {
	at             time.Time
	cpu            time.Duration
	sibling, store int64
}

// runFleet measures the cost of control and writes one table.
func runFleet(ctx context.Context, c *FleetCommand, out io.Writer, f Factory) error {
	fl := &fleet{c: c, factory: f, document: fleetDocument(c)}
	defer fl.stop(context.WithoutCancel(ctx))
	before := memory()
	if err := fl.start(ctx); err != nil {
		return err
	}
	if err := wait(ctx, c.Settle); err != nil {
		return err
	}
	first := fl.usage()
	slowest, err := fl.change(ctx)
	if err != nil {
		return err
	}
	if err := wait(ctx, time.Until(first.at.Add(c.Duration))); err != nil {
		return err
	}
	last := fl.usage()
	fl.report(out, first, last, memory()-before, slowest)
	return nil
}

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
		// No process listens at the targets, so probes are as good as off; their
		// cost has a budget of its own.
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
	for i := range fl.c.VMs {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		domain := fl.document.FailureDomains[i%fl.c.Domains]
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
	return fl.apply(ctx)
}

func (fl *fleet) apply(ctx context.Context) error {
	data, err := yaml.Marshal(fl.document)
	if err != nil {
		return merry.Wrap(err)
	}
	return fl.factory.ApplyConfig(ctx, fl.specs[0], data)
}

func (fl *fleet) stop(ctx context.Context) {
	for _, vm := range fl.vms {
		go func() { _ = vm.Stop(ctx) }()
	}
	if fl.platform != nil {
		_ = fl.platform.Stop(ctx)
	}
}

// change applies the changes and returns the longest time from the request of
// the operator until the version was in force at all VMs.
func (fl *fleet) change(ctx context.Context) (time.Duration, error) {
	var slowest time.Duration
	for i := range fl.c.Changes {
		begin := time.Now()
		fl.document.Rules.OutOfService = nil
		if i%2 == 0 {
			fl.document.Rules.OutOfService = []string{fl.document.FailureDomains[0].Name}
		}
		if err := fl.apply(ctx); err != nil {
			return 0, err
		}
		version := uint64(i + 2)
		for _, spec := range fl.specs {
			for fl.factory.ConfigVersion(ctx, spec) < version {
				if err := wait(ctx, fleetPollInterval); err != nil {
					return 0, err
				}
			}
		}
		slowest = max(slowest, time.Since(begin))
		if err := wait(ctx, fl.c.Duration/time.Duration(fl.c.Changes)-time.Since(begin)); err != nil {
			return 0, err
		}
	}
	return slowest, nil
}

func (fl *fleet) usage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:      time.Now(),
		cpu:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		sibling: fl.sibling.sent.Load() + fl.sibling.received.Load(),
		store:   fl.store.sent.Load() + fl.store.received.Load(),
	}
}

// report writes figures per VM. The processor time is that of the whole
// process, so it includes the stand-in for the platform and is an upper bound.
func (fl *fleet) report(out io.Writer, first, last usage, bytes uint64, slowest time.Duration) {
	n := float64(fl.c.VMs)
	seconds := last.at.Sub(first.at).Seconds()
	t := tablewriter.NewWriter(out)
	t.SetHeader([]string{"Measure", "Value", "Unit"})
	row := func(name string, v float64, unit string) {
		t.Append([]string{name, strconv.FormatFloat(v, 'f', 3, 64), unit})
	}
	row("entry VMs", n, "")
	row("targets", float64(fl.c.Targets), "")
	row("pools, at most", float64(fl.c.Services*fl.c.Domains), "")
	row("processor time per VM", 100*(last.cpu-first.cpu).Seconds()/seconds/n, "% of a core")
	row("memory per VM", float64(bytes)/n/(1<<20), "MiB of heap and stacks")
	// Each byte between siblings is sent by one VM and received by another.
	row("sibling traffic per VM, sent and received", 2*float64(last.sibling-first.sibling)/seconds/n, "bytes/s")
	row("store traffic per VM, sent and received", float64(last.store-first.store)/seconds/n, "bytes/s")
	row("configuration changes", float64(fl.c.Changes), "")
	row("slowest change until in force everywhere", slowest.Seconds(), "s")
	t.Render()
}

// dial counts the bytes to the store and to siblings.
func (fl *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	to := &fl.sibling
	if address == fl.platform.Address() {
		to = &fl.store
	}
	to.connections.Add(1)
	return &countingConn{Conn: conn, to: to}, nil
}

type countingConn struct {
	net.Conn
	to *traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.to.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.to.sent.Add(int64(n))
	return n, err
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func wait(ctx context.Context, d time.Duration) error {
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
