package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
)

// RunCommand holds the arguments of the run subcommand.
type RunCommand struct {
	Scenario string `arg:"positional,required" help:"authority, authority-faults, taktwerk, demo or a file"`
	Seed     uint64 `arg:"--seed" help:"replaces the seed of the scenario"`
	Out      string `arg:"--out" help:"directory for table.txt, seconds.csv, targets.csv, latency.png and outcomes.png"`
	Direct   bool   `arg:"--direct" help:"no entry VMs: callers choose targets at random, as a baseline for the tool"`
}

// DemoCommand holds the arguments of the demo subcommand.
type DemoCommand struct {
	Seed uint64 `arg:"--seed" help:"replaces the seed of the scenario"`
	Out  string `arg:"--out" help:"directory for the same files as run"`
}

type arguments struct {
	Fleet *FleetCommand `arg:"subcommand:fleet" help:"measure what control costs per entry VM, without calls"`
	Run   *RunCommand   `arg:"subcommand:run" help:"run a scenario"`
	Demo  *DemoCommand  `arg:"subcommand:demo" help:"both regions, callers that wake together, a failure domain out and back; under a minute"`
}

// ErrGuarantee is returned by Main if the report of a run has Failed.
var ErrGuarantee = errors.New("the run violated a guarantee: see wrong_answer, run_twice and outside_home_regions in the last line, and \"refused as not run, but ran\" in the table")

// Main runs the program goldcresthinge-load with the given arguments. It returns
// ErrGuarantee if the run shows wrong answers, non-idempotent requests run twice,
// requests seen outside their home regions, or requests that ran although they
// were refused as not run.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, f Factory) error {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "goldcresthinge-load"}, &a)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := p.Parse(args); err != nil {
		p.WriteHelp(stderr)
		if errors.Is(err, arg.ErrHelp) {
			return nil
		}
		return merry.Prepend(err, "arguments")
	}
	switch {
	case a.Fleet != nil:
		if f.StartEntryVM == nil {
			return merry.New("this build has no entry VMs, which the fleet subcommand needs")
		}
		return runFleet(ctx, a.Fleet, stdout, f)
	case a.Demo != nil:
		a.Run = &RunCommand{Scenario: "demo", Seed: a.Demo.Seed, Out: a.Demo.Out}
	case a.Run == nil:
		p.WriteHelp(stderr)
		return merry.New("a subcommand is needed: run, demo or fleet")
	}
	if a.Run.Direct {
		f = Factory{}
	} else if f.StartEntryVM == nil || f.StartPlatform == nil {
		return merry.New("this build has no entry VMs; use run --direct")
	}
	return runScenario(ctx, a.Run, stdout, stderr, f)
}

func runScenario(ctx context.Context, c *RunCommand, stdout, stderr io.Writer, f Factory) error {
	s, err := Load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(stderr)), "part", "load")
	report, err := Run(ctx, s, Options{Factory: f, Progress: func(msg string, keyvals ...any) {
		_ = logger.Log(append([]any{"msg", msg}, keyvals...)...)
	}})
	if err != nil {
		return err
	}
	report.WriteTable(stdout)
	if c.Out != "" {
		if err := report.WriteFiles(c.Out); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintln(stdout, report.SummaryLine())
	if report.Failed() {
		return ErrGuarantee
	}
	return errors.Join(report.Errors...)
}
