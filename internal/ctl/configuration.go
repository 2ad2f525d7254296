package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"goldcresthinge.example/goldcresthinge/internal/inventory"
	"goldcresthinge.example/goldcresthinge/internal/operatorapi"
)

// statusPollInterval is the interval between status requests while the tool waits
// until a version is in force at all VMs.
const statusPollInterval = 500 * time.Millisecond

// readFile returns the content of file, or of standard input for "-".
func (t *Tool) readFile(file string) ([]byte, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(t.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}

// readDocument reads a document and checks it without a VM. The error for a document
// with faults is a *responseError, as if a VM had rejected it.
func (t *Tool) readDocument(file string) ([]byte, []inventory.Fault, error) {
	data, err := t.readFile(file)
	if err != nil {
		return nil, nil, err
	}
	_, warnings, err := inventory.Check(data)
	var faults *inventory.FaultsError
	if errors.As(err, &faults) {
		return nil, nil, &responseError{source: file, problem: operatorapi.Problem{
			Status: http.StatusUnprocessableEntity, Title: "rejected",
			Detail: fmt.Sprintf("the document has %d fault(s); nothing changed", len(faults.Faults)), Faults: faults.Faults,
		}}
	}
	return data, warnings, err
}

func (t *Tool) check(file string) int {
	_, warnings, err := t.readDocument(file)
	if err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(operatorapi.Checked{Warnings: warnings})
		return ExitDone
	}
	t.warn(warnings)
	t.printf("%s is valid\n", file)
	return ExitDone
}

// warn prints warnings of a document.
func (t *Tool) warn(warnings []inventory.Fault) {
	for _, w := range warnings {
		t.printf("warning: %s\n", w)
	}
}

func (t *Tool) get(ctx context.Context) int {
	var doc operatorapi.Document
	if err := t.call(ctx, request{method: http.MethodGet, path: "/v1/config"}, &doc); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(doc)
		return ExitDone
	}
	t.printf("# version %d\n%s", doc.Version, doc.Document)
	return ExitDone
}

func (t *Tool) diff(ctx context.Context, file string) int {
	data, _, err := t.readDocument(file)
	if err != nil {
		return t.fail(err)
	}
	var checked operatorapi.Checked
	if err := t.call(ctx, request{method: http.MethodPost, path: "/v1/config/check", body: data}, &checked); err != nil {
		return t.fail(err)
	}
	if t.args.JSON {
		t.writeJSON(checked)
		return ExitDone
	}
	t.warn(checked.Warnings)
	t.printf("%d change(s) to version %d\n", len(checked.Changes), checked.Base)
	for _, c := range checked.Changes {
		t.printf("%s\n", c)
	}
	return ExitDone
}

func (t *Tool) apply(ctx context.Context, a *applyArgs) int {
	// --base has no default: with the current version as default, applying an
	// edited copy of an old document would undo newer changes.
	if a.Base == nil {
		return t.fail(&usageError{"apply needs --base with the version that the document is based on; diff shows it"})
	}
	data, _, err := t.readDocument(a.File)
	if err != nil {
		return t.fail(err)
	}
	var applied operatorapi.Applied
	path := fmt.Sprintf("/v1/config?base=%d", *a.Base)
	if err := t.call(ctx, request{method: http.MethodPut, path: path, body: data, nonIdempotent: true}, &applied); err != nil {
		return t.fail(err)
	}
	return t.reportApplied(ctx, applied, a.Wait)
}

func (t *Tool) setOutOfService(ctx context.Context, a *domainArgs, verb string) int {
	var applied operatorapi.Applied
	path := "/v1/failure-domains/" + url.PathEscape(a.Name) + "/" + verb
	if err := t.call(ctx, request{method: http.MethodPost, path: path}, &applied); err != nil {
		return t.fail(err)
	}
	return t.reportApplied(ctx, applied, a.Wait)
}

// reportApplied polls the status until the version is in force at all VMs or wait
// has passed, prints the state at each VM and returns the exit code. One VM answers
// a poll for all VMs. Failed polls are ignored.
func (t *Tool) reportApplied(ctx context.Context, a operatorapi.Applied, wait time.Duration) int {
	deadline := t.Clock.Now().Add(wait)
	for !inForceEverywhere(a.VMs) && t.Clock.Now().Before(deadline) && ctx.Err() == nil {
		timer := t.Clock.NewTimer(min(statusPollInterval, t.Clock.Until(deadline)), "ctl", "wait")
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		var status operatorapi.Status
		path := fmt.Sprintf("/v1/status?version=%d", a.Version)
		if err := t.call(ctx, request{method: http.MethodGet, path: path}, &status); err == nil {
			a.VMs = status.VMs
		}
	}
	if t.args.JSON {
		t.writeJSON(a)
	} else {
		t.warn(a.Warnings)
		if a.Changed {
			t.printf("version %d is accepted\n", a.Version)
		} else {
			t.printf("nothing to change, version %d\n", a.Version)
		}
		t.vmTable(a.VMs)
	}
	if !inForceEverywhere(a.VMs) {
		_, _ = fmt.Fprintf(t.Stderr, "version %d is accepted, but not yet in force at all VMs\n", a.Version)
		return ExitPending
	}
	return ExitDone
}

// inForceEverywhere reports whether all VMs have the version in force. It leaves out
// a VM that is leaving and does not respond, since that one has stopped.
func inForceEverywhere(vms []operatorapi.VM) bool {
	for _, v := range vms {
		if v.State != "in-force" && (!v.Leaving || v.State != "not-heard") {
			return false
		}
	}
	return true
}
