// Package ctl implements goldcresthingectl, the operator tool.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/coder/quartz"
)

// Exit codes.
const (
	ExitDone        = 0 // command succeeded
	ExitRejected    = 1 // document rejected, or name not found; nothing changed
	ExitUsage       = 2 // wrong use of the tool
	ExitConflict    = 3 // another change was accepted first; nothing changed
	ExitUnreachable = 4 // VM or store not reachable, or no answer
	ExitPending     = 5 // accepted, but not yet in force at all VMs
)

const description = `Operator tool of goldcresthinge.

Exit codes: 0 done; 1 rejected or not found, nothing changed; 2 wrong use;
3 conflict with another change, nothing changed; 4 VM or store not reachable;
5 accepted, but not yet in force at all VMs.
`

// fileArgs are the arguments of commands that read a document.
type fileArgs struct {
	File string `arg:"positional,required" help:"YAML document, - for standard input"`
}

// waitArgs are the arguments of commands that change the configuration.
type waitArgs struct {
	Wait time.Duration `arg:"--wait" help:"wait up to this time until the version is in force everywhere, for example 10s"`
}

// applyArgs are the arguments of apply.
type applyArgs struct {
	fileArgs
	waitArgs
	Base *uint64 `arg:"--base" help:"required: version that the document is based on, as diff shows it; 0 for the first one"`
}

// domainArgs are the arguments of out and return.
type domainArgs struct {
	waitArgs
	Name string `arg:"positional,required" help:"failure domain"`
}

// noArgs stands for a command without arguments.
type noArgs struct{}

// arguments is the command line. The field of the chosen command is not nil.
type arguments struct {
	Address string        `arg:"--address,env:GOLDCRESTHINGE_ADDRESS" default:"127.0.0.1:8081" help:"operator addresses of VMs (IP:port,...), tried in turn"`
	JSON    bool          `arg:"--json" help:"write JSON in place of tables"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"time for one request"`

	Check      *fileArgs       `arg:"subcommand:check" help:"check a document without a VM"`
	Get        *noArgs         `arg:"subcommand:get" help:"write the document in force"`
	CheckEntry *checkEntryArgs `arg:"subcommand:check-entry" help:"check a configuration of entry VMs before it is written to the store"`
	Diff       *fileArgs       `arg:"subcommand:diff" help:"show what a document would change"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"make a document the next version"`
	Out        *domainArgs     `arg:"subcommand:out" help:"take a failure domain out of service"`
	Return     *domainArgs     `arg:"subcommand:return" help:"return a failure domain to service"`
	Drain      *noArgs         `arg:"subcommand:drain" help:"start a graceful shutdown of the VM at --address"`
	Status     *noArgs         `arg:"subcommand:status" help:"show a VM and the version at all VMs"`
	Targets    *noArgs         `arg:"subcommand:targets" help:"show the targets of the pools held by the VMs at --address"`
	Holders    *noArgs         `arg:"subcommand:holders" help:"show the holders of the pools in the regions of the VMs at --address"`
	Dump       *noArgs         `arg:"subcommand:dump" help:"write the whole state of the VM at --address as JSON"`
}

// Description returns the text at the top of the help. go-arg calls it.
func (arguments) Description() string { return description }

// Tool runs commands. If HTTP is nil, it uses a client without a time limit of its
// own; if Clock is nil, the system clock. It is not safe for concurrent use.
type Tool struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	HTTP           *http.Client
	// EntryFormat decodes configurations of entry VMs; needed by check-entry only.
	EntryFormat EntryFormat
	Clock       quartz.Clock

	args      arguments
	addresses []string
}

// usageError is an error in the command line or in reading the file that it names.
type usageError struct{ reason string }

func (e *usageError) Error() string { return e.reason }

// Run runs one command and returns its exit code. args does not include the name of
// the program.
func (t *Tool) Run(ctx context.Context, args []string) int {
	if t.HTTP == nil {
		t.HTTP = &http.Client{}
	}
	if t.Clock == nil {
		t.Clock = quartz.NewReal()
	}
	p, err := arg.NewParser(arg.Config{Program: "goldcresthingectl"}, &t.args)
	if err != nil {
		return t.fail(err)
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(t.Stdout, p.SubcommandNames()...)
		return ExitDone
	case err != nil:
		return t.fail(&usageError{err.Error()})
	case p.Subcommand() == nil:
		p.WriteHelp(t.Stderr)
		return ExitUsage
	}
	if err := t.checkAddresses(); err != nil {
		return t.fail(err)
	}
	return t.command(ctx)
}

// checkAddresses splits --address into t.addresses and checks each.
func (t *Tool) checkAddresses() error {
	t.addresses = strings.Split(t.args.Address, ",")
	for _, a := range t.addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return &usageError{fmt.Sprintf("--address: %q is not an IP address with a port", a)}
		}
	}
	return nil
}

// command runs the command on the command line.
func (t *Tool) command(ctx context.Context) int {
	a := &t.args
	switch {
	case a.Check != nil:
		return t.check(a.Check.File)
	case a.Get != nil:
		return t.get(ctx)
	case a.Diff != nil:
		return t.diff(ctx, a.Diff.File)
	case a.CheckEntry != nil:
		return t.checkEntry(ctx, a.CheckEntry)
	case a.Apply != nil:
		return t.apply(ctx, a.Apply)
	case a.Out != nil:
		return t.setOutOfService(ctx, a.Out, "out")
	case a.Return != nil:
		return t.setOutOfService(ctx, a.Return, "return")
	case a.Drain != nil:
		return t.drain(ctx)
	case a.Status != nil:
		return t.status(ctx)
	case a.Targets != nil:
		return t.targets(ctx)
	case a.Holders != nil:
		return t.holders(ctx)
	default:
		return t.dump(ctx)
	}
}

// fail writes err and the faults that it contains to standard error and returns the
// exit code. With --json it also writes the operatorapi.Problem of an error response
// to standard output.
func (t *Tool) fail(err error) int {
	code, text := ExitUnreachable, err.Error()
	var usage *usageError
	var response *responseError
	switch {
	case errors.As(err, &usage):
		code = ExitUsage
	case errors.As(err, &response):
		code = response.exitCode()
		var lines []string
		for _, f := range response.problem.Faults {
			lines = append(lines, f.String())
		}
		text = strings.Join(append([]string{text}, lines...), "\n")
		if t.args.JSON {
			t.writeJSON(response.problem)
		}
	}
	_, _ = fmt.Fprintln(t.Stderr, text)
	return code
}

func (t *Tool) writeJSON(value any) {
	enc := json.NewEncoder(t.Stdout)
	enc.SetIndent("", "  ")
	_ = enc.Encode(value) // fails only if standard output is closed; that is not reported
}

func (t *Tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Stdout, format, args...)
}
