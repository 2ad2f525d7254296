// Package standin holds the command-line program that runs, in a process of its own,
// a stand-in for the platform (its transactional table, object store and list of VMs)
// or one or more stand-ins for backend servers. The settings and logs of the program
// call a backend server a target.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"goldcresthinge.example/goldcresthinge/internal/standin/fakebackend"
)

// PlatformStandin is a running stand-in for the platform. Address returns the host:port
// that it listens on. Stop stops it; ctx bounds the time of a graceful stop.
type PlatformStandin interface {
	Address() string
	Stop(ctx context.Context) error
}

// PlatformStandinStarter starts a stand-in for the platform that listens on address, a
// host:port.
type PlatformStandinStarter func(ctx context.Context, address string) (PlatformStandin, error)

// TargetCommand holds the settings of the target subcommand, which runs one or more
// stand-ins for backend servers.
type TargetCommand struct {
	Address       string        `arg:"--address,env:GOLDCRESTHINGE_STANDIN_ADDRESS" default:"127.0.0.1:9100" help:"host:port of the first target; the next ones take the next ports"`
	Count         int           `arg:"--count" default:"1" help:"number of targets"`
	Service       string        `arg:"--service" default:"target" help:"prefix of the target names"`
	Region        string        `arg:"--region" help:"region of the targets"`
	FailureDomain string        `arg:"--failure-domain" help:"failure domain of the targets"`
	Slots         int           `arg:"--slots" default:"2" help:"calls that a warm target runs at once"`
	ServiceTime   time.Duration `arg:"--service-time" default:"20ms" help:"mean service time"`
	Distribution  string        `arg:"--distribution" default:"exponential" help:"fixed, exponential or lognormal"`
	ProbeTime     time.Duration `arg:"--probe-time" default:"6ms" help:"duration of GET /load and GET /healthz"`
	Warm          bool          `arg:"--warm" help:"no cold start"`
	Seed          uint64        `arg:"--seed" default:"1" help:"seed of service times and faults"`
}

// PlatformCommand holds the settings of the platform subcommand, which runs a
// stand-in for the platform.
type PlatformCommand struct {
	Address string `arg:"--address,env:GOLDCRESTHINGE_STANDIN_ADDRESS" default:"127.0.0.1:9000" help:"host:port to listen on"`
}

type arguments struct {
	Target   *TargetCommand   `arg:"subcommand:target" help:"run stand-ins for backend servers"`
	Platform *PlatformCommand `arg:"subcommand:platform" help:"run a stand-in for the platform"`
}

// Run parses args and runs the chosen subcommand until ctx ends. It writes usage
// and logs to out. startPlatform may be nil in a build without the platform
// stand-in; the platform subcommand then returns an error. Run also returns an
// error if the arguments are invalid or a stand-in cannot listen on its address.
func Run(ctx context.Context, args []string, out io.Writer, startPlatform PlatformStandinStarter) error {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "goldcresthinge-standin"}, &a)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := p.Parse(args); err != nil {
		p.WriteHelp(out)
		if errors.Is(err, arg.ErrHelp) {
			return nil
		}
		return merry.Prepend(err, "parse arguments")
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	switch {
	case a.Target != nil:
		return runTargets(ctx, a.Target, log.With(logger, "part", "target"))
	case a.Platform != nil && startPlatform != nil:
		return runPlatform(ctx, a.Platform, log.With(logger, "part", "platform"), startPlatform)
	case a.Platform != nil:
		return merry.New("subcommand platform: this build does not include the platform stand-in")
	}
	p.WriteHelp(out)
	return merry.New("no subcommand given; want target or platform")
}

func runTargets(ctx context.Context, c *TargetCommand, logger log.Logger) error {
	host, portText, err := net.SplitHostPort(c.Address)
	if err != nil {
		return merry.Prepend(err, "parse --address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return merry.Prepend(err, "parse port of --address")
	}
	cold := fakebackend.DefaultColdStart()
	if c.Warm {
		cold = fakebackend.ColdStart{}
	}
	for i := range c.Count {
		targetPort := port
		if port != 0 {
			targetPort += i
		}
		t, err := fakebackend.Start(fakebackend.Config{
			Name:    fmt.Sprintf("%s-%03d", c.Service, i+1),
			Address: net.JoinHostPort(host, strconv.Itoa(targetPort)),
			Region:  c.Region, FailureDomain: c.FailureDomain,
			Slots: c.Slots, ServiceTime: c.ServiceTime, Distribution: fakebackend.Distribution(c.Distribution),
			Seed: c.Seed + uint64(i), ColdStart: cold, ProbeTime: c.ProbeTime,
		})
		if err != nil {
			return merry.Wrap(err)
		}
		defer t.Stop()
		_ = logger.Log("msg", "listening", "target", t.Config().Name, "address", t.Address())
	}
	<-ctx.Done()
	return nil
}

// stopTimeout is the time that the platform stand-in gets for a graceful stop.
const stopTimeout = 5 * time.Second

func runPlatform(ctx context.Context, c *PlatformCommand, logger log.Logger, start PlatformStandinStarter) error {
	platform, err := start(ctx, c.Address)
	if err != nil {
		return merry.Wrap(err)
	}
	_ = logger.Log("msg", "listening", "address", platform.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return merry.Wrap(platform.Stop(stopCtx))
}
