package ctl

import (
	"context"
	"fmt"

	"goldcresthinge.example/goldcresthinge/internal/configcheck"
	"goldcresthinge.example/goldcresthinge/internal/routing"
)

// EntryFormat decodes configurations of entry VMs in the form in which operators write them to the
// store.
type EntryFormat interface {
	// Decode decodes a configuration as an entry VM does.
	Decode(data []byte) (*routing.Configuration, error)
	// Check returns the faults of values that Decode accepts and replaces or ignores.
	Check(data []byte) ([]configcheck.Finding, error)
	// InForce reads the configuration in force from the store.
	InForce(ctx context.Context, address string) ([]byte, error)
}

// checkEntryArgs are the arguments of check-entry.
type checkEntryArgs struct {
	fileArgs
	InForce string   `arg:"--in-force" help:"file with the configuration in force, to show what changes"`
	Store   string   `arg:"--store" help:"read the configuration in force from the store at this address (IP:port)"`
	Regions []string `arg:"--regions,separate" help:"region of the deployment; may be given more than once"`
}

// checkedEntry is the result of check-entry.
type checkedEntry struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []string              `json:"changes,omitempty"`
}

// checkEntry checks a configuration of entry VMs. Its exit code is ExitDone without findings,
// ExitRejected with some, and ExitUsage or ExitUnreachable if it could not run.
func (t *Tool) checkEntry(ctx context.Context, a *checkEntryArgs) int {
	if a.InForce != "" && a.Store != "" {
		return t.fail(&usageError{"--in-force and --store exclude each other"})
	}
	data, err := t.readFile(a.File)
	if err != nil {
		return t.fail(err)
	}
	inForce, err := t.readInForce(ctx, a)
	if err != nil {
		return t.fail(err)
	}
	out := checkedEntry{Findings: []configcheck.Finding{}}
	next, err := t.EntryFormat.Decode(data)
	if err != nil {
		out.Findings = append(out.Findings, configcheck.Finding{Kind: configcheck.Error, Record: a.File, Field: "document", Reason: err.Error()})
		return t.writeChecked(a, out)
	}
	if out.Findings, err = t.EntryFormat.Check(data); err != nil {
		return t.fail(&usageError{err.Error()})
	}
	out.Findings = append(out.Findings, configcheck.Check(next, a.Regions)...)
	if inForce != nil {
		out.Findings = append(out.Findings, configcheck.CheckVersion(inForce, next)...)
		out.Changes = configcheck.Diff(inForce, next)
	}
	return t.writeChecked(a, out)
}

// readInForce returns the configuration in force, or nil if none is named.
func (t *Tool) readInForce(ctx context.Context, a *checkEntryArgs) (*routing.Configuration, error) {
	var data []byte
	var err error
	source := a.InForce
	switch {
	case a.InForce != "":
		data, err = t.readFile(a.InForce)
	case a.Store != "":
		source = a.Store
		ctx, cancel := context.WithTimeout(ctx, t.args.Timeout)
		defer cancel()
		data, err = t.EntryFormat.InForce(ctx, a.Store)
	default:
		return nil, nil //nolint:nilnil // no version to compare with
	}
	if err != nil {
		return nil, err
	}
	c, err := t.EntryFormat.Decode(data)
	if err != nil {
		return nil, &usageError{fmt.Sprintf("configuration in force, %s: %v", source, err)}
	}
	return c, nil
}

func (t *Tool) writeChecked(a *checkEntryArgs, out checkedEntry) int {
	if t.args.JSON {
		t.writeJSON(out)
	} else {
		for _, f := range out.Findings {
			t.printf("%s\n", f)
		}
		for _, c := range out.Changes {
			t.printf("change: %s\n", c)
		}
		if len(out.Findings) == 0 {
			t.printf("%s: nothing found\n", a.File)
		}
	}
	if len(out.Findings) > 0 {
		return ExitRejected
	}
	return ExitDone
}
